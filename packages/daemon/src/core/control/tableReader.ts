import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Instant } from '@cowsliplead/core/types/elapsedClock.js'
import type { ControlStore, StoreEpoch, StoreFailure, TableName, TablePosition, TableRecord } from '../../types/controlStore.js'
import type { Component } from '../../types/component.js'
import type { FeedTable, HeldRecords, OffsetChanges, TableCopy } from '../../types/feedTable.js'
import { includes, isAhead } from '../../utils/tablePosition.js'
import { sleep } from '../../utils/sleep.js'
import type { ReadConfirmation } from '../customers/keyConfirmation.js'
import type { ChangeFeed } from '../feed/changeFeed.js'
import { readSnapshot, type TableSnapshot } from './tableSnapshot.js'

/** Backoff after a failed call; doubles up to the maximum. Even a refused call has a cost. */
const INITIAL_RETRY_MS = 100
const MAX_RETRY_MS = 500
/** Maximum for a VM that is in contact with those that it follows, which notify it once the store answers them. */
const MAX_FOLLOWER_RETRY_MS = 1500

/** A restore of the store from a copy, as a reader has noticed it. */
export interface StoreRestore {
  readonly epoch: StoreEpoch
  readonly previousEpoch: StoreEpoch
  /** Offset that the reader had reached in the previous epoch. */
  readonly offset: number
}

/** Receives the content of a table. */
export interface TableConsumer {
  /** Whether a record is older than what the consumer knows of its key, as in a store that is restored from a copy. */
  isOutdated (record: TableRecord): boolean
  /** All records of the table. */
  onSnapshot (records: readonly TableRecord[]): void
  /** Changes in order, after a snapshot. */
  onChanges (records: readonly TableRecord[]): void
  /** The store answers again after a failure. Called before the content of that answer is delivered. */
  onRecovery (): void
  /** The store was restored from a copy. */
  onRestore (restore: StoreRestore): void
  /** Records that the consumer keeps in force although the store lacks them since a restore. */
  heldRecords? (): HeldRecords | undefined
  /** Another VM keeps these records in force. Called before the snapshot that this VM takes from it. */
  onHeldRecords? (held: HeldRecords): void
  /** The first call of an outage failed. */
  onFailure (failure: StoreFailure): void
}

/** Options of a reader. */
export interface TableReaderOptions {
  readonly store: ControlStore
  readonly table: TableName
  readonly consumer: TableConsumer
  readonly clock: Clock
  /** Long-poll timeout: how long the store delays the answer to a read that finds no change. */
  readonly waitMs: Milliseconds
  /** Pause between two reads. */
  readonly pauseMs: Milliseconds
  /** Exchanges reads with other VMs. */
  readonly feed: ChangeFeed
  /** The store is not read while another VM has read the table within this time. */
  readonly maxFeedAgeMs: Milliseconds
  /** Whether a VM that starts may take another one's copy of the table instead of reading it; false by default. */
  readonly startsFromCopy?: boolean
  /**
   * Receives the reads that were applied. The reader then also takes another VM's copy while the store does not answer this
   * VM and changes were missed. Undefined if the age of the table is not limited.
   */
  readonly confirmation?: ReadConfirmation | undefined
}

/**
 * Keeps a consumer up to date with a table: a snapshot first, then changes, and a new snapshot if changes were missed.
 * While the feed covers the table, its changes are used and the store is not read. An outage of the store is not a
 * failure of the reader: it keeps retrying.
 */
export class TableReader implements Component, FeedTable {
  readonly name: string
  /** Reads of the store since the start. */
  reads = 0
  private abortController = new AbortController()
  private isFailing = false
  private retryMs = INITIAL_RETRY_MS
  /** See `FeedTable.position`. */
  position: TablePosition | undefined
  /** Position before the last failure or missed changes, to notice a restore of the store. */
  private lastPosition: TablePosition | undefined
  private mayTakeCopy: boolean
  private readonly newestRecords = new Map<string, Buffer>()
  private lastAnswerAt: Milliseconds | undefined
  private reportFailure: (error: Error) => void = () => {}

  private constructor (private readonly options: TableReaderOptions) {
    this.name = `reader of ${options.table}`
    this.mayTakeCopy = options.startsFromCopy === true
    options.feed.register(this)
  }

  static create (options: TableReaderOptions): TableReader {
    return new TableReader(options)
  }

  get table (): TableName {
    return this.options.table
  }

  get needsCopy (): boolean {
    return (this.mayTakeCopy && this.position === undefined) || this.mayCatchUp
  }

  /** Whether this VM has missed changes and cannot read them from the store. */
  private get mayCatchUp (): boolean {
    const { feed, table, confirmation } = this.options
    return confirmation !== undefined && this.isFailing && this.position !== undefined && feed.isBehind(table, this.position)
  }

  records (): readonly TableRecord[] {
    return [...this.newestRecords].map(([key, value]) => ({ key, value }))
  }

  heldRecords (): HeldRecords | undefined {
    return this.options.consumer.heldRecords?.()
  }

  /** Time since the store last answered this VM or one that it follows; infinite before the first answer. */
  get ageMs (): Milliseconds {
    const { clock, feed, table } = this.options
    return this.lastAnswerAt === undefined ? Infinity : Math.min(clock.now() - this.lastAnswerAt, feed.ageMs(table))
  }

  async start (onFailure: (error: Error) => void): Promise<void> {
    this.abortController = new AbortController()
    // A consumer that failed may have applied only part of the changes.
    this.position = undefined
    this.reportFailure = onFailure
    this.run(this.abortController.signal).catch(onFailure)
  }

  async stop (): Promise<void> {
    this.abortController.abort()
    // Changes relayed from now on are ignored: the snapshot read at the next start contains them.
    this.position = undefined
  }

  private async run (signal: AbortSignal): Promise<void> {
    if (this.needsCopy) await this.options.feed.waitForCopy(this, signal)
    // A reader that starts again after a failure, or has missed changes, reads the store.
    this.mayTakeCopy = false
    while (!signal.aborted) {
      const wasCovered = await this.waitWhileCovered(signal)
      if (signal.aborted) return
      // The first read after the feed covered the table must not wait: this VM and its followers may be behind.
      const waitMs = wasCovered ? 0 : this.options.waitMs
      this.reads += 1
      const failure = this.position === undefined ? await this.readAll(signal) : await this.readChanges(this.position, waitMs, signal)
      if (signal.aborted) return
      if (failure === undefined) await sleep(this.options.pauseMs, signal)
      else if (failure !== 'expired') await this.backOff(failure, signal)
    }
  }

  /** Waits while the feed covers the table; returns whether it did. */
  private async waitWhileCovered (signal: AbortSignal): Promise<boolean> {
    if (this.position === undefined) return false
    const { feed, table, maxFeedAgeMs } = this.options
    // An outage ends as soon as any VM reads again; otherwise a change long after it would count as its consequence.
    if (feed.covers(table, this.position, maxFeedAgeMs)) this.onAnswer()
    return await feed.waitWhileCovered(table, () => this.position, maxFeedAgeMs, signal)
  }

  private async readAll (signal: AbortSignal): Promise<StoreFailure | undefined> {
    const { store, table, feed, confirmation } = this.options
    const sentAt = confirmation?.now()
    const snapshot = await readSnapshot(store, table)
    if (signal.aborted) return undefined
    if (snapshot.isErr) return snapshot.error
    this.onAnswer()
    this.replace(snapshot.value)
    this.confirm(snapshot.value.position, sentAt)
    feed.publish(table, snapshot.value.position)
    return undefined
  }

  private async readChanges (position: TablePosition, waitMs: Milliseconds, signal: AbortSignal): Promise<StoreFailure | undefined> {
    const { store, table, feed, confirmation } = this.options
    const sentAt = confirmation?.now()
    const changes = await store.readChanges(table, position.offset, waitMs)
    if (signal.aborted) return undefined
    if (changes.isErr) {
      if (changes.error === 'expired') this.position = undefined
      return changes.error
    }
    const { records, end, epoch } = changes.value
    if (epoch !== position.epoch) return this.onOtherEpoch()
    this.onAnswer()
    this.apply({ epoch, from: position.offset, records })
    this.confirm({ epoch, offset: end }, sentAt)
    feed.publish(table, { epoch, offset: end }, { epoch, from: position.offset, records })
    return undefined
  }

  /** Reports a read, unless a copy of another epoch has come into force meanwhile in place of what was read. */
  private confirm (position: TablePosition, sentAt: Instant | undefined): void {
    if (sentAt === undefined || this.position === undefined || !includes(this.position, position)) return
    this.options.confirmation?.onRead(position, sentAt)
  }

  /** The offset that was read from means something else after a restore of the store: all records have to be read. */
  private onOtherEpoch (): StoreFailure {
    this.position = undefined
    return 'expired'
  }

  receiveChanges (changes: OffsetChanges): OffsetChanges | undefined {
    // A gap is filled from the store: the position of the other VM is then ahead of this one's, and nothing is covered.
    if (this.position === undefined || changes.epoch !== this.position.epoch || changes.from > this.position.offset) return undefined
    if (changes.from + changes.records.length <= this.position.offset) return undefined
    return this.reportErrors(() => {
      this.onAnswer()
      return this.apply(changes)
    })
  }

  receiveCopy (copy: TableCopy): void {
    // An old copy may contain upstreams that have left since.
    const isNewer = this.position !== undefined && isAhead(copy.position, this.position)
    if (!this.needsCopy || (copy.ageMs > this.options.maxFeedAgeMs && !isNewer)) return
    if (this.position !== undefined && !isNewer) return
    this.reportErrors(() => {
      this.onAnswer()
      if (copy.held !== undefined) this.options.consumer.onHeldRecords?.(copy.held)
      this.replace(copy)
    })
  }

  /** Fails the reader if `action` throws: thrown into the message handler of the connection, the error would end the process. */
  private reportErrors<Value> (action: () => Value): Value | undefined {
    try {
      return action()
    } catch (error) {
      this.reportFailure(error as Error)
      return undefined
    }
  }

  private replace ({ records, position }: TableSnapshot): void {
    const previous = this.lastPosition
    if (previous !== undefined && previous.epoch !== position.epoch) this.notifyOfRestore(previous, position)
    const newest = this.newestOf(records)
    this.newestRecords.clear()
    this.keepNewest(newest)
    this.options.consumer.onSnapshot(newest)
    this.moveTo(position)
  }

  /**
   * The records of a snapshot, with what was known before in place of outdated ones: VMs that start take this copy, and
   * must not get older records than the others have in force.
   */
  private newestOf (records: readonly TableRecord[]): TableRecord[] {
    const { consumer } = this.options
    return records
      .map(record => consumer.isOutdated(record) ? { key: record.key, value: this.newestRecords.get(record.key) } : record)
      .filter(({ value }) => value !== undefined)
  }

  private notifyOfRestore ({ epoch: previousEpoch, offset }: TablePosition, { epoch }: TablePosition): void {
    this.options.consumer.onRestore({ epoch, previousEpoch, offset })
  }

  private moveTo (position: TablePosition): void {
    this.position = position
    this.lastPosition = position
  }

  /** Applies the changes that are new, as another VM may have passed some of them on meanwhile, and returns them. */
  private apply ({ epoch, from, records }: OffsetChanges): OffsetChanges | undefined {
    if (this.position?.epoch !== epoch) return undefined
    const { offset } = this.position
    const fresh = { epoch, from: offset, records: records.slice(offset - from) }
    if (fresh.records.length === 0) return undefined
    this.moveTo({ epoch, offset: offset + fresh.records.length })
    this.keepNewest(fresh.records)
    this.options.consumer.onChanges(fresh.records)
    return fresh
  }

  private keepNewest (records: readonly TableRecord[]): void {
    for (const { key, value } of records) {
      if (value === undefined) this.newestRecords.delete(key)
      else this.newestRecords.set(key, value)
    }
  }

  private onAnswer (): void {
    this.lastAnswerAt = this.options.clock.now()
    this.retryMs = INITIAL_RETRY_MS
    if (!this.isFailing) return
    this.isFailing = false
    this.options.consumer.onRecovery()
  }

  private async backOff (failure: StoreFailure, signal: AbortSignal): Promise<void> {
    if (!this.isFailing) this.options.consumer.onFailure(failure)
    this.isFailing = true
    const { feed, table, maxFeedAgeMs } = this.options
    const pauseMs = this.retryMs
    this.retryMs = Math.min(pauseMs * 2, feed.isFollowing ? MAX_FOLLOWER_RETRY_MS : MAX_RETRY_MS)
    if (this.position === undefined) await sleep(pauseMs, signal)
    else await feed.waitUntilCovered(table, () => this.position, maxFeedAgeMs, pauseMs, signal)
  }
}
