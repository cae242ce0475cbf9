import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Instant } from '@cowsliplead/core/types/elapsedClock.js'
import type { ControlStore, StoreFailure, TableName, TablePosition, TableRecord } from '../../types/controlStore.js'
import type { Component } from '../../types/component.js'
import type { FeedTable, HeldRecords, OffsetChanges, TableCopy } from '../../types/feedTable.js'
import type { TableConsumer } from '../../types/tableConsumer.js'
import { includes, isAhead } from '../../utils/tablePosition.js'
import { sleep } from '../../utils/sleep.js'
import type { ReadConfirmation } from '../customers/keyConfirmation.js'
import type { ChangeFeed } from '../feed/changeFeed.js'
import { TableContent } from './tableContent.js'
import { readSnapshot } from './tableSnapshot.js'

/** Backoff after a failed call; doubles up to the maximum. Even a refused call has a cost. */
const INITIAL_RETRY_MS = 100
const MAX_RETRY_MS = 500
/** Maximum for a VM that is in contact with those that it follows, which notify it once the store answers them. */
const MAX_FOLLOWER_RETRY_MS = 1500

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
  /**
   * Whether this VM may take another one's copy of the table, when it starts and while the store does not answer it and changes
   * were missed; false by default.
   */
  readonly startsFromCopy?: boolean
  /** Receives the reads that were applied. Undefined if the age of the table is not limited. */
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
  private readonly content: TableContent
  private mayTakeCopy: boolean
  private lastAnswerAt: Milliseconds | undefined
  private reportFailure: (error: Error) => void = () => {}

  private constructor (private readonly options: TableReaderOptions) {
    this.name = `reader of ${options.table}`
    this.content = TableContent.create(options.consumer)
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
    const { feed, table, startsFromCopy } = this.options
    return startsFromCopy === true && this.isFailing && this.position !== undefined && feed.isBehind(table, this.position)
  }

  /** See `FeedTable.position`. */
  get position (): TablePosition | undefined {
    return this.content.position
  }

  records (): readonly TableRecord[] {
    return this.content.records()
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
    this.content.position = undefined
    this.reportFailure = onFailure
    this.run(this.abortController.signal).catch(onFailure)
  }

  async stop (): Promise<void> {
    this.abortController.abort()
    // Changes relayed from now on are ignored: the snapshot read at the next start contains them.
    this.content.position = undefined
  }

  private async run (signal: AbortSignal): Promise<void> {
    if (this.needsCopy) await this.options.feed.waitForCopy(this, signal)
    // A reader that starts again after a failure, or has missed changes, reads the store.
    this.mayTakeCopy = false
    while (!signal.aborted) {
      const wasCovered = await this.waitWhileCovered(signal)
      if (signal.aborted) return
      // The first read after the feed covered the table, or after a failure, must not wait: this VM and its followers may be behind.
      const waitMs = wasCovered || this.isFailing ? 0 : this.options.waitMs
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
    this.content.replace(snapshot.value)
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
      if (changes.error === 'expired') this.content.position = undefined
      return changes.error
    }
    const { records, end, epoch } = changes.value
    if (epoch !== position.epoch) return this.onOtherEpoch()
    this.onAnswer()
    this.content.apply({ epoch, from: position.offset, records })
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
    this.content.position = undefined
    return 'expired'
  }

  receiveChanges (changes: OffsetChanges): OffsetChanges | undefined {
    // A gap is filled from the store: the position of the other VM is then ahead of this one's, and nothing is covered.
    if (this.position === undefined || changes.epoch !== this.position.epoch || changes.from > this.position.offset) return undefined
    if (changes.from + changes.records.length <= this.position.offset) return undefined
    return this.reportErrors(() => {
      this.onRelayedAnswer()
      return this.content.apply(changes)
    })
  }

  receiveCopy (copy: TableCopy): void {
    // An old copy may contain upstreams that have left since.
    const isNewer = this.position !== undefined && isAhead(copy.position, this.position)
    if (!this.needsCopy || (copy.ageMs > this.options.maxFeedAgeMs && !isNewer)) return
    if (this.position !== undefined && !isNewer) return
    this.reportErrors(() => {
      this.onRelayedAnswer()
      if (copy.held !== undefined) this.options.consumer.onHeldRecords?.(copy.held)
      this.content.replace(copy)
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

  /** The store has answered another VM. That does not end the outage of a VM that reads the store itself. */
  private onRelayedAnswer (): void {
    if (this.options.feed.isFollowing) this.onAnswer()
    else this.lastAnswerAt = this.options.clock.now()
  }

  private onAnswer (): void {
    const now = this.options.clock.now()
    const outageMs = now - (this.lastAnswerAt ?? now)
    this.lastAnswerAt = now
    this.retryMs = INITIAL_RETRY_MS
    if (!this.isFailing) return
    this.isFailing = false
    this.options.consumer.onRecovery(outageMs)
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
