import { UpstreamDirectory, type DirectoryChange } from '@cowsliplead/core/core/membership/upstreamDirectory.js'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Upstream } from '@cowsliplead/core/types/upstream.js'
import type { UpstreamEntry } from '@cowsliplead/core/types/upstreamEntry.js'
import type { ControlStore, TableRecord } from '../../types/controlStore.js'
import type { TableConsumer } from '../../types/tableConsumer.js'
import type { ChangeFeed } from '../feed/changeFeed.js'
import type { Logger } from '../operators/logger.js'
import { logStoreOutages } from './storeOutageLog.js'

const MIN_TIMER_MS: Milliseconds = 1

/** How often it is checked, while entries are missing after an outage, whether other VMs have seen one too. */
const OUTAGE_CHECK_INTERVAL_MS: Milliseconds = 100

/** Options of the registered upstreams. */
export interface RegisteredUpstreamsOptions {
  readonly store: ControlStore
  readonly clock: Clock
  readonly logger: Logger
  readonly feed: ChangeFeed
  readonly renewalMs: Milliseconds
  /** Called when the upstreams may have changed. */
  readonly onUpdate: (upstreams: readonly Upstream[]) => void
  /** Called after each snapshot, before `onUpdate`. */
  readonly onSnapshot: () => void
  /** Called when the store answers again after an outage, this VM or one that it follows. */
  readonly onStoreContact: () => void
}

/** The upstreams according to their entries in the control store, with the time that missing entries have to be renewed. */
export class RegisteredUpstreams {
  readonly consumer: TableConsumer
  /** Whether the entries have been read since the start. */
  isLoaded = false
  private readonly directory: UpstreamDirectory
  private expiryTimer: NodeJS.Timeout | undefined
  /** When the last outage began, as this VM saw it; undefined once it is known whether other VMs have seen it. */
  private outageStartedAt: Milliseconds | undefined

  private constructor (private readonly options: RegisteredUpstreamsOptions) {
    this.directory = UpstreamDirectory.create(options)
    this.consumer = this.createConsumer()
  }

  static create (options: RegisteredUpstreamsOptions): RegisteredUpstreams {
    return new RegisteredUpstreams(options)
  }

  list (): readonly Upstream[] {
    return this.directory.list()
  }

  /** Cancels the timer that removes expired entries. */
  close (): void {
    clearTimeout(this.expiryTimer)
  }

  private createConsumer (): TableConsumer {
    const { clock, logger } = this.options
    const outageLog = logStoreOutages(logger, 'upstreams')
    return {
      ...outageLog,
      isOutdated: record => this.isOutdated(record),
      onRecovery: outageMs => {
        outageLog.onRecovery(outageMs)
        this.onRecovery(outageMs)
      },
      // Upstreams that registered after the copy write their entries again.
      onRestore: restore => {
        outageLog.onRestore(restore)
        this.outageStartedAt = undefined
        this.directory.onStoreRecovered(clock.now())
      },
      onSnapshot: records => this.replaceAll(records),
      onChanges: records => {
        const changes = records.map(record => this.applyRecord(record))
        // Most records are heartbeats that change nothing.
        if (changes.some(change => change !== 'renewed' && change !== 'ignored')) this.update()
      }
    }
  }

  /** Entries may have lapsed during an outage of the store, but not while only this VM was cut off from it. */
  private onRecovery (outageMs: Milliseconds): void {
    const now = this.options.clock.now()
    this.outageStartedAt = now - outageMs
    this.directory.onStoreRecovered(now)
    this.options.onStoreContact()
  }

  /** Other VMs' reads may show at once or somewhat later that the store was up. */
  private checkOutage (): void {
    if (this.outageStartedAt === undefined || !this.options.feed.wasReadSince('upstreams', this.outageStartedAt)) return
    this.outageStartedAt = undefined
    this.directory.endRenewal()
  }

  private isOutdated (record: TableRecord): boolean {
    const entry = this.options.store.decodeUpstream(record)
    return entry !== undefined && this.directory.isOutdated(entry)
  }

  private replaceAll (records: readonly TableRecord[]): void {
    const { store, clock, logger } = this.options
    const entries: UpstreamEntry[] = []
    for (const record of records) {
      const entry = store.decodeUpstream(record)
      if (entry !== undefined) entries.push(entry)
      else this.logUnusableEntry(record)
    }
    this.checkOutage()
    const removed = this.directory.replaceAll(entries, clock.now())
    this.isLoaded = true
    logger.info('upstreams read', { count: entries.length, removed, kept: this.directory.missing() })
    this.options.onSnapshot()
    this.update()
  }

  private logUnusableEntry ({ key }: TableRecord): void {
    this.options.logger.warn('upstream entry cannot be used', { key })
  }

  private applyRecord (record: TableRecord): DirectoryChange {
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

  private update (): void {
    const { clock, logger, onUpdate } = this.options
    this.checkOutage()
    const expired = this.directory.expire(clock.now())
    if (expired.length > 0) logger.info('upstreams removed: entries not renewed in time', { upstreams: expired })
    onUpdate(this.directory.list())
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
    this.expiryTimer = setTimeout(() => this.update(), delayMs)
  }
}
