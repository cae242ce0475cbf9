import { UpstreamDirectory, type DirectoryChange } from '@cowsliplead/core/core/membership/upstreamDirectory.js'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { CallerLimits, RouteConfig } from '@cowsliplead/core/types/routes.js'
import type { Upstream } from '@cowsliplead/core/types/upstream.js'
import type { UpstreamEntry } from '@cowsliplead/core/types/upstreamEntry.js'
import type { ControlStore, TableRecord } from '../../types/controlStore.js'
import type { TableConsumer } from '../../types/tableConsumer.js'
import type { KeyConfirmation } from '../customers/keyConfirmation.js'
import type { ChangeFeed } from '../feed/changeFeed.js'
import type { Logger } from '../operators/logger.js'
import { EvacuationState } from './evacuationState.js'
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

const MIN_TIMER_MS: Milliseconds = 1

/** How often it is checked, while entries are missing after an outage, whether other VMs have seen one too. */
const OUTAGE_CHECK_INTERVAL_MS: Milliseconds = 100

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
  private readonly directory: UpstreamDirectory
  readonly evacuations: EvacuationState
  private readonly configReader: TableReader
  private readonly upstreamReader: TableReader
  /** Records of the configuration that could not be used at all. */
  unreadableConfigs = 0
  private hasReadUpstreams = false
  private expiryTimer: NodeJS.Timeout | undefined
  /** When the last outage began, as this VM saw it; undefined once it is known whether other VMs have seen it. */
  private outageStartedAt: Milliseconds | undefined

  private constructor (private readonly options: ControlStateOptions) {
    const { store, clock, renewalMs, feed, keyConfirmation } = options
    this.directory = UpstreamDirectory.create({ renewalMs })
    this.evacuations = EvacuationState.create({
      store, clock, logger: options.logger, target: options.services, upstreams: () => this.hasReadUpstreams ? this.directory.list() : undefined
    })
    this.configReader = TableReader.create({
      store, clock, feed, table: 'configuration', consumer: this.createConfigConsumer(), waitMs: READ_WAIT_MS, pauseMs: 0, maxFeedAgeMs: MAX_FEED_AGE_MS, startsFromCopy: true, confirmation: keyConfirmation
    })
    if (keyConfirmation !== undefined) keyConfirmation.position = () => this.configReader.position
    this.upstreamReader = TableReader.create({
      store, clock, feed, table: 'upstreams', consumer: this.createUpstreamConsumer(), waitMs: READ_WAIT_MS, pauseMs: UPSTREAMS_PAUSE_MS, maxFeedAgeMs: MAX_FEED_AGE_MS, startsFromCopy: true
    })
  }

  static create (options: ControlStateOptions): ControlState {
    return new ControlState(options)
  }

  /** Readers of the tables, for the supervisor to run. */
  get readers (): readonly TableReader[] {
    return [this.configReader, this.upstreamReader]
  }

  /** Cancels the timer that removes expired entries. */
  close (): void {
    clearTimeout(this.expiryTimer)
    this.evacuations.close()
  }

  /** Reasons why requests cannot be served yet; empty once all state has been read. */
  missing (): string[] {
    const missing: string[] = []
    if (this.options.services.config === undefined) missing.push('no configuration is known')
    if (!this.hasReadUpstreams) missing.push('the upstreams are not known')
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
      upstreams: this.directory.list()
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

  private createUpstreamConsumer (): TableConsumer {
    const { clock, logger } = this.options
    const outageLog = logStoreOutages(logger, 'upstreams')
    return {
      ...outageLog,
      isOutdated: record => this.isOutdatedUpstream(record),
      onRecovery: outageMs => {
        outageLog.onRecovery(outageMs)
        this.onUpstreamsRecovery(outageMs)
      },
      // Upstreams that registered after the copy write their entries again.
      onRestore: restore => {
        outageLog.onRestore(restore)
        this.outageStartedAt = undefined
        this.directory.onStoreRecovered(clock.now())
      },
      onSnapshot: records => this.replaceUpstreams(records),
      onChanges: records => {
        const changes = records.map(record => this.applyUpstreamRecord(record))
        // Most records are heartbeats that change nothing.
        if (changes.some(change => change !== 'renewed' && change !== 'ignored')) this.updateUpstreams()
      }
    }
  }

  /** Entries may have lapsed during an outage of the store, but not while only this VM was cut off from it. */
  private onUpstreamsRecovery (outageMs: Milliseconds): void {
    const now = this.options.clock.now()
    this.outageStartedAt = now - outageMs
    this.directory.onStoreRecovered(now)
    this.options.onStoreContact?.()
  }

  /** Other VMs' reads may show at once or somewhat later that the store was up. */
  private checkOutage (): void {
    if (this.outageStartedAt === undefined || !this.options.feed.wasReadSince('upstreams', this.outageStartedAt)) return
    this.outageStartedAt = undefined
    this.directory.endRenewal()
  }

  private isOutdatedConfig (record: TableRecord): boolean {
    const { store, services: { config: inForce } } = this.options
    if (record.key !== CONFIGURATION_KEY || inForce === undefined) return false
    return store.decodeRoutes(record).mapOr(false, ({ version }) => version < inForce.version)
  }

  private isOutdatedUpstream (record: TableRecord): boolean {
    const entry = this.options.store.decodeUpstream(record)
    return entry !== undefined && this.directory.isOutdated(entry)
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

  private replaceUpstreams (records: readonly TableRecord[]): void {
    const { store, clock, logger } = this.options
    const entries: UpstreamEntry[] = []
    for (const record of records) {
      const entry = store.decodeUpstream(record)
      if (entry !== undefined) entries.push(entry)
      else this.logUnusableEntry(record)
    }
    this.checkOutage()
    const removed = this.directory.replaceAll(entries, clock.now())
    this.hasReadUpstreams = true
    logger.info('upstreams read', { count: entries.length, removed, kept: this.directory.missing() })
    this.evacuations.logUnknownDomains()
    this.updateUpstreams()
  }

  private logUnusableEntry ({ key }: TableRecord): void {
    this.options.logger.warn('upstream entry cannot be used', { key })
  }

  private applyUpstreamRecord (record: TableRecord): DirectoryChange {
    const { store, clock, logger } = this.options
    const now = clock.now()
    const entry = record.value === undefined ? undefined : store.decodeUpstream(record)
    if (record.value !== undefined && entry === undefined) this.logUnusableEntry(record)
    const change = entry === undefined ? this.directory.remove(record.key, now) : this.directory.put(entry, now)
    if (change !== 'renewed' && change !== 'ignored') {
      logger.info('upstream changed', { upstream: record.key, change, service: entry?.service, incarnation: entry?.incarnation, warmupLeftMs: entry?.warmupLeftMs || undefined })
    }
    return change
  }

  private updateUpstreams (): void {
    const { clock, services, logger } = this.options
    this.checkOutage()
    const expired = this.directory.expire(clock.now())
    if (expired.length > 0) logger.info('upstreams removed: entries not renewed in time', { upstreams: expired })
    services.setUpstreams(this.directory.list())
    this.scheduleExpiry()
  }

  /** Removes entries that were not renewed, even if no further change arrives. */
  private scheduleExpiry (): void {
    clearTimeout(this.expiryTimer)
    const expiryAt = this.directory.nextExpiryAt()
    if (expiryAt === undefined) return
    // A timer may fire slightly early by the clock; nothing has expired then, and it is set again.
    const leftMs = Math.max(Math.ceil(expiryAt - this.options.clock.now()), MIN_TIMER_MS)
    const delayMs = this.outageStartedAt === undefined ? leftMs : Math.min(leftMs, OUTAGE_CHECK_INTERVAL_MS)
    this.expiryTimer = setTimeout(() => this.updateUpstreams(), delayMs)
  }
}

function logRejectedEntries ({ version, rejectedEntries = [] }: RouteConfig, logger: Logger): void {
  for (const entry of rejectedEntries.slice(0, MAX_LOGGED_ENTRIES)) logger.warn('configuration entry cannot be used', { version, entry })
  if (rejectedEntries.length > MAX_LOGGED_ENTRIES) logger.warn('further configuration entries cannot be used', { version, count: rejectedEntries.length - MAX_LOGGED_ENTRIES })
}
