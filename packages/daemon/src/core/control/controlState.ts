import { UpstreamDirectory, type DirectoryChange } from '@cowsliplead/core/core/membership/upstreamDirectory.js'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { RouteConfig } from '@cowsliplead/core/types/routes.js'
import type { Upstream } from '@cowsliplead/core/types/upstream.js'
import type { UpstreamEntry } from '@cowsliplead/core/types/upstreamEntry.js'
import type { ControlStore, TableRecord } from '../../types/controlStore.js'
import type { ChangeFeed } from '../feed/changeFeed.js'
import type { Journal } from '../operators/journal.js'
import { logContact } from './contactLog.js'
import { TableReader, type TableConsumer } from './tableReader.js'

/** Key of the configuration in its table. */
const CONFIGURATION_KEY = 'config'

/**
 * Longest wait of a read for changes. VMs that follow this one learn from each answer that they are up to date, and an
 * upstream that leaves must be known within seconds, also where the connection of a read has gone silent.
 */
const READ_WAIT_MS: Milliseconds = 800

/** Pause between two reads of the upstreams: each read has its price, and changes come in groups. */
const UPSTREAMS_PAUSE_MS: Milliseconds = 200

/** How old what a followed VM has read may be: its read waits and pauses, and the store may answer slowly. */
const MAX_FEED_AGE_MS: Milliseconds = 1400

const MIN_TIMER_MS: Milliseconds = 1

/** What follows the tables. */
export interface ControlTarget {
  /** The configuration in force; undefined before the first one. */
  readonly config: RouteConfig | undefined
  setConfig (config: RouteConfig): void
  setUpstreams (upstreams: readonly Upstream[]): void
}

/** What the control state is made of. */
export interface ControlStateOptions {
  readonly store: ControlStore
  readonly clock: Clock
  readonly services: ControlTarget
  readonly journal: Journal
  readonly renewalMs: Milliseconds
  readonly feed: ChangeFeed
  /** Called after a configuration was put in force. */
  readonly onConfig: () => void
}

/** What this VM knows of the routes in force and of the upstreams, as read from the control store. */
export class ControlState {
  private readonly directory: UpstreamDirectory
  private readonly configReader: TableReader
  private readonly upstreamReader: TableReader
  private hasUpstreams = false
  private expiryTimer: NodeJS.Timeout | undefined

  private constructor (private readonly options: ControlStateOptions) {
    const { store, clock, renewalMs, feed } = options
    this.directory = UpstreamDirectory.create({ renewalMs })
    this.configReader = TableReader.create({
      store, clock, feed, table: 'configuration', consumer: this.configConsumer(), waitMs: READ_WAIT_MS, pauseMs: 0, maxFeedAgeMs: MAX_FEED_AGE_MS
    })
    this.upstreamReader = TableReader.create({
      store, clock, feed, table: 'upstreams', consumer: this.upstreamConsumer(), waitMs: READ_WAIT_MS, pauseMs: UPSTREAMS_PAUSE_MS, maxFeedAgeMs: MAX_FEED_AGE_MS
    })
  }

  static create (options: ControlStateOptions): ControlState {
    return new ControlState(options)
  }

  /** What follows the tables, for the supervisor. */
  get readers (): readonly TableReader[] {
    return [this.configReader, this.upstreamReader]
  }

  /** Ends the timer that removes lapsed entries. */
  close (): void {
    clearTimeout(this.expiryTimer)
  }

  /** What is missing before requests can be served. */
  missing (): string[] {
    const missing: string[] = []
    if (this.options.services.config === undefined) missing.push('no configuration is known')
    if (!this.hasUpstreams) missing.push('the upstreams are not known')
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
      upstreams: this.directory.list()
    }
  }

  private configConsumer (): TableConsumer {
    const take = (records: readonly TableRecord[]): void => records.forEach(record => this.takeConfig(record))
    return { ...logContact(this.options.journal, 'configuration'), onSnapshot: take, onChanges: take }
  }

  private upstreamConsumer (): TableConsumer {
    const { clock, journal } = this.options
    const contact = logContact(journal, 'upstreams')
    return {
      ...contact,
      onReturn: () => {
        contact.onReturn()
        this.directory.onRegistryReturn(clock.now())
      },
      onSnapshot: records => this.takeAllUpstreams(records),
      onChanges: records => {
        const changes = records.map(record => this.takeUpstream(record))
        // Most records are heartbeats that change nothing.
        if (changes.some(change => change !== 'renewed' && change !== 'ignored')) this.publishUpstreams()
      }
    }
  }

  private takeConfig (record: TableRecord): void {
    if (record.key !== CONFIGURATION_KEY) return
    const { store, services, journal } = this.options
    const config = store.decodeRoutes(record)
    if (config === undefined) return void journal.warn('configuration cannot be read', { bytes: record.value?.length })
    const inForce = services.config?.version
    // Reads may bring an older version back, for instance from a snapshot that overtook a change.
    if (inForce !== undefined && config.version <= inForce) return
    this.applyConfig(config, inForce)
  }

  private applyConfig (config: RouteConfig, previous: number | undefined): void {
    const { services, journal, onConfig } = this.options
    services.setConfig(config)
    onConfig()
    journal.info('configuration in force', { version: config.version, previous, routes: config.routes.length, services: config.services.size })
  }

  private takeAllUpstreams (records: readonly TableRecord[]): void {
    const { store, clock, journal } = this.options
    const entries: UpstreamEntry[] = []
    for (const record of records) {
      const entry = store.decodeUpstream(record)
      if (entry !== undefined) entries.push(entry)
      else journal.warn('upstream entry cannot be used', { key: record.key })
    }
    const removed = this.directory.replaceAll(entries, clock.now())
    this.hasUpstreams = true
    journal.info('upstreams read', { count: entries.length, removed })
    this.publishUpstreams()
  }

  private takeUpstream (record: TableRecord): DirectoryChange {
    const { store, clock, journal } = this.options
    const now = clock.now()
    const entry = record.value === undefined ? undefined : store.decodeUpstream(record)
    const change = entry === undefined ? this.directory.remove(record.key, now) : this.directory.put(entry, now)
    if (change !== 'renewed' && change !== 'ignored') {
      journal.info('upstream changed', { upstream: record.key, change, service: entry?.service, incarnation: entry?.incarnation })
    }
    return change
  }

  private publishUpstreams (): void {
    const { clock, services, journal } = this.options
    const lapsed = this.directory.expire(clock.now())
    if (lapsed.length > 0) journal.info('upstreams did not renew their entries', { upstreams: lapsed })
    services.setUpstreams(this.directory.list())
    this.scheduleExpiry()
  }

  /** Entries that were not renewed are gone even where no further change arrives. */
  private scheduleExpiry (): void {
    clearTimeout(this.expiryTimer)
    const at = this.directory.nextExpiryAt()
    if (at === undefined) return
    // A timer may fire a little before the clock shows its time; it is then set again.
    const delayMs = Math.max(Math.ceil(at - this.options.clock.now()), MIN_TIMER_MS)
    this.expiryTimer = setTimeout(() => this.publishUpstreams(), delayMs)
  }
}
