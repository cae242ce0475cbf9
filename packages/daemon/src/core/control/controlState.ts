import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { CallerLimits, RouteConfig } from '@cowsliplead/core/types/routes.js'
import type { Upstream } from '@cowsliplead/core/types/upstream.js'
import type { ControlStore, TableRecord } from '../../types/controlStore.js'
import type { TableConsumer } from '../../types/tableConsumer.js'
import type { KeyConfirmation } from '../customers/keyConfirmation.js'
import type { ChangeFeed } from '../feed/changeFeed.js'
import type { Logger } from '../operators/logger.js'
import { EvacuationState } from './evacuationState.js'
import { RegisteredUpstreams } from './registeredUpstreams.js'
import { logStoreOutages } from './storeOutageLog.js'
import { TableReader } from './tableReader.js'

/** Key of the configuration in its table. */
const CONFIGURATION_KEY = 'config'

/**
 * Long-poll timeout of a read for changes. Each answer confirms to this VM's followers that they are up to date, and a
 * leaving upstream must be noticed within seconds even if the connection of a read hangs.
 */
const READ_WAIT_MS: Milliseconds = 800

/** Pause between two reads of the upstreams: each read has a cost, and changes arrive in bursts. */
const UPSTREAMS_PAUSE_MS: Milliseconds = 200

/**
 * Maximum age of another VM's last read: its long poll and its pause, plus time for a slow answer of the store and for two
 * VMs that pass it on.
 */
const MAX_FEED_AGE_MS: Milliseconds = 1500

/** A configuration may have thousands of entries. */
const MAX_LOGGED_ENTRIES = 20

/** Receives the configuration and the upstreams that are read from the control store. */
export interface ControlTarget {
  /** The configuration in force; undefined before the first one. */
  readonly config: RouteConfig | undefined
  setConfig (config: RouteConfig): void
  setUpstreams (upstreams: readonly Upstream[]): void
  /** Sets the failure domains whose upstreams must get no new work. */
  setEvacuatedDomains (domains: ReadonlySet<string>): void
}

/** Options of the control state. */
export interface ControlStateOptions {
  readonly store: ControlStore
  readonly clock: Clock
  readonly services: ControlTarget
  readonly logger: Logger
  readonly renewalMs: Milliseconds
  readonly feed: ChangeFeed
  /** Undefined if the age of keys is not limited. */
  readonly keyConfirmation?: KeyConfirmation | undefined
  /** Called when the store answers again after an outage, this VM or one that it follows. */
  readonly onStoreContact?: () => void
  /** Called after a configuration has come into force. */
  readonly onConfig: (limits: CallerLimits) => void
}

/** This VM's copy of the configuration and of the upstreams, kept up to date from the control store. */
export class ControlState {
  private readonly upstreams: RegisteredUpstreams
  readonly evacuations: EvacuationState
  private readonly configReader: TableReader
  private readonly upstreamReader: TableReader
  /** Records of the configuration that could not be used at all. */
  unreadableConfigs = 0

  private constructor (private readonly options: ControlStateOptions) {
    const { store, clock, logger, renewalMs, feed, services, keyConfirmation } = options
    this.upstreams = RegisteredUpstreams.create({
      store,
      clock,
      logger,
      feed,
      renewalMs,
      onUpdate: upstreams => services.setUpstreams(upstreams),
      onSnapshot: () => this.evacuations.logUnknownDomains(),
      onStoreContact: () => options.onStoreContact?.()
    })
    this.evacuations = EvacuationState.create({
      store, clock, logger, target: services, upstreams: () => this.upstreams.isLoaded ? this.upstreams.list() : undefined
    })
    this.configReader = TableReader.create({
      store, clock, feed, table: 'configuration', consumer: this.createConfigConsumer(), waitMs: READ_WAIT_MS, pauseMs: 0, maxFeedAgeMs: MAX_FEED_AGE_MS, startsFromCopy: true, confirmation: keyConfirmation
    })
    if (keyConfirmation !== undefined) keyConfirmation.position = () => this.configReader.position
    this.upstreamReader = TableReader.create({
      store, clock, feed, table: 'upstreams', consumer: this.upstreams.consumer, waitMs: READ_WAIT_MS, pauseMs: UPSTREAMS_PAUSE_MS, maxFeedAgeMs: MAX_FEED_AGE_MS, startsFromCopy: true
    })
  }

  static create (options: ControlStateOptions): ControlState {
    return new ControlState(options)
  }

  /** Readers of the tables, for the supervisor to run. */
  get readers (): readonly TableReader[] {
    return [this.configReader, this.upstreamReader]
  }

  /** Cancels the timers. */
  close (): void {
    this.upstreams.close()
    this.evacuations.close()
  }

  /** Reasons why requests cannot be served yet; empty once all state has been read. */
  missing (): string[] {
    const missing: string[] = []
    if (this.options.services.config === undefined) missing.push('no configuration is known')
    if (!this.upstreams.isLoaded) missing.push('the upstreams are not known')
    return missing
  }

  /** Time since the store last answered a read of the configuration; undefined before the first answer. */
  get storeAgeMs (): Milliseconds | undefined {
    const { ageMs } = this.configReader
    return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined
  }

  /** The state for the dump. */
  describe (): Record<string, unknown> {
    return {
      configVersion: this.options.services.config?.version,
      configAgeMs: this.configReader.ageMs,
      upstreamsAgeMs: this.upstreamReader.ageMs,
      evacuations: this.evacuations.describe(),
      upstreams: this.upstreams.list()
    }
  }

  private createConfigConsumer (): TableConsumer {
    const applyRecords = (records: readonly TableRecord[]): void => records.forEach(record => this.applyConfigRecord(record))
    const outageLog = logStoreOutages(this.options.logger, 'configuration')
    return {
      ...outageLog,
      isOutdated: record => this.isOutdatedConfig(record),
      onRestore: restore => {
        outageLog.onRestore(restore)
        this.evacuations.onStoreRestored()
      },
      heldRecords: () => this.evacuations.heldRecords(),
      onHeldRecords: held => this.evacuations.onHeldRecords(held),
      // Evacuations first: the configuration lets calls begin.
      onSnapshot: records => {
        this.evacuations.onSnapshot(records)
        applyRecords(records)
      },
      onChanges: records => {
        this.evacuations.onChanges(records)
        applyRecords(records)
      }
    }
  }

  private isOutdatedConfig (record: TableRecord): boolean {
    const { store, services: { config: inForce } } = this.options
    if (record.key !== CONFIGURATION_KEY || inForce === undefined) return false
    return store.decodeRoutes(record).mapOr(false, ({ version }) => version < inForce.version)
  }

  private applyConfigRecord (record: TableRecord): void {
    if (record.key !== CONFIGURATION_KEY) return
    const { store, services } = this.options
    const decoded = store.decodeRoutes(record)
    if (decoded.isErr) return this.onUnreadableConfig(record, decoded.error)
    const config = decoded.value
    const inForce = services.config?.version
    // A read may return an older version than the one in force, for instance a snapshot taken before the latest change.
    if (inForce !== undefined && config.version <= inForce) return
    this.applyConfig(config, inForce)
  }

  private onUnreadableConfig ({ value }: TableRecord, reason: string): void {
    this.unreadableConfigs += 1
    this.options.logger.warn('configuration cannot be read', { bytes: value?.length, reason })
  }

  private applyConfig (config: RouteConfig, previous: number | undefined): void {
    const { services, logger, onConfig } = this.options
    services.setConfig(config)
    onConfig(config.limits)
    logger.info('configuration in force', { version: config.version, previous, routes: config.routes.length, services: config.services.size, customers: config.customers?.size })
    logRejectedEntries(config, logger)
  }
}

function logRejectedEntries ({ version, rejectedEntries = [] }: RouteConfig, logger: Logger): void {
  for (const entry of rejectedEntries.slice(0, MAX_LOGGED_ENTRIES)) logger.warn('configuration entry cannot be used', { version, entry })
  if (rejectedEntries.length > MAX_LOGGED_ENTRIES) logger.warn('further configuration entries cannot be used', { version, count: rejectedEntries.length - MAX_LOGGED_ENTRIES })
}
