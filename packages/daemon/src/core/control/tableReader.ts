import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { ControlStore, StoreFailure, TableName, TableRecord } from '../../types/controlStore.js'
import type { Component } from '../../types/component.js'
import { sleep } from '../../utils/sleep.js'
import type { ChangeFeed, OffsetChanges } from '../feed/changeFeed.js'
import { readSnapshot } from './tableSnapshot.js'

/** First pause after a failed call; doubles up to the longest one. Calls cost their sender even where they are refused. */
const FIRST_RETRY_MS = 100
const LONGEST_RETRY_MS = 500
/** The same for a VM in contact with others, which tell it once the store answers them. */
const LONGEST_FOLLOWER_RETRY_MS = 1500

/** Receives the content of a table. */
export interface TableConsumer {
  /** The whole table. */
  onSnapshot (records: readonly TableRecord[]): void
  /** Changes in order, after a snapshot. */
  onChanges (records: readonly TableRecord[]): void
  /** The store answers again after a failure. Called before the content that it answered with. */
  onReturn (): void
  /** A call failed that followed a successful one. */
  onFailure (failure: StoreFailure): void
}

/** Options of a reader. */
export interface TableReaderOptions {
  readonly store: ControlStore
  readonly table: TableName
  readonly consumer: TableConsumer
  readonly clock: Clock
  /** How long the store holds a read that finds no change. */
  readonly waitMs: Milliseconds
  /** Pause between two reads. */
  readonly pauseMs: Milliseconds
  /** What other VMs read. */
  readonly feed: ChangeFeed
  /** The store is not read while a followed VM has read the table within this time. */
  readonly maxFeedAgeMs: Milliseconds
}

/**
 * Follows a table: a snapshot first, then its changes, and a snapshot again where changes were missed. Changes that
 * another VM has read lately are taken from there. An outage of the store is no failure of the reader: it goes on trying.
 */
export class TableReader implements Component {
  readonly name: string
  /** Reads of the store since the start. */
  reads = 0
  private stopped = new AbortController()
  private isFailing = false
  private retryMs = FIRST_RETRY_MS
  private offset: number | undefined
  private answeredAt: Milliseconds | undefined
  private fail: (error: Error) => void = () => {}

  private constructor (private readonly options: TableReaderOptions) {
    this.name = `reader of ${options.table}`
    options.feed.listen(options.table, changes => this.takeFromFeed(changes))
  }

  static create (options: TableReaderOptions): TableReader {
    return new TableReader(options)
  }

  get table (): TableName {
    return this.options.table
  }

  /** Time since the store last answered this VM or one that it follows; infinite before the first answer. */
  get ageMs (): Milliseconds {
    const { clock, feed, table } = this.options
    return this.answeredAt === undefined ? Infinity : Math.min(clock.now() - this.answeredAt, feed.ageMs(table))
  }

  async start (onFailure: (error: Error) => void): Promise<void> {
    this.stopped = new AbortController()
    // A consumer that failed may have taken a part of the changes only.
    this.offset = undefined
    this.fail = onFailure
    this.run(this.stopped.signal).catch(onFailure)
  }

  async stop (): Promise<void> {
    this.stopped.abort()
    // What is handed on meanwhile belongs to the snapshot that follows.
    this.offset = undefined
  }

  private async run (stopped: AbortSignal): Promise<void> {
    while (!stopped.aborted) {
      const wasCovered = await this.waitWhileCovered(stopped)
      if (stopped.aborted) return
      // The first read after others have read must not wait: this VM, and those that follow it, may be behind.
      const waitMs = wasCovered ? 0 : this.options.waitMs
      this.reads += 1
      const failure = this.offset === undefined ? await this.readAll(stopped) : await this.readChanges(this.offset, waitMs, stopped)
      if (stopped.aborted) return
      if (failure === undefined) await sleep(this.options.pauseMs, stopped)
      else if (failure !== 'expired') await this.pauseAfter(failure, stopped)
    }
  }

  /** Returns whether there was anything to wait for. */
  private async waitWhileCovered (stopped: AbortSignal): Promise<boolean> {
    if (this.offset === undefined) return false
    const { feed, table, maxFeedAgeMs } = this.options
    // An outage is over as soon as a followed VM reads again; what changes long after it must not be taken for its result.
    if (feed.covers(table, this.offset, maxFeedAgeMs)) this.onAnswer()
    return await feed.whileCovered(table, () => this.offset ?? 0, maxFeedAgeMs, stopped)
  }

  private async readAll (stopped: AbortSignal): Promise<StoreFailure | undefined> {
    const { store, table, consumer, feed } = this.options
    const snapshot = await readSnapshot(store, table)
    if (stopped.aborted) return undefined
    if (snapshot.isErr) return snapshot.error
    this.onAnswer()
    consumer.onSnapshot(snapshot.value.records)
    this.offset = snapshot.value.end
    feed.publish(table, this.offset)
    return undefined
  }

  private async readChanges (from: number, waitMs: Milliseconds, stopped: AbortSignal): Promise<StoreFailure | undefined> {
    const { store, table, feed } = this.options
    const changes = await store.changes(table, from, waitMs)
    if (stopped.aborted) return undefined
    if (changes.isErr) {
      if (changes.error === 'expired') this.offset = undefined
      return changes.error
    }
    this.onAnswer()
    this.apply({ from, records: changes.value.records })
    feed.publish(table, changes.value.end, { from, records: changes.value.records })
    return undefined
  }

  private takeFromFeed (changes: OffsetChanges): void {
    // A gap is filled from the store: the position of the followed VM is then ahead of this one's.
    if (this.offset === undefined || changes.from > this.offset) return
    if (changes.from + changes.records.length <= this.offset) return
    try {
      this.onAnswer()
      this.apply(changes)
    } catch (error) {
      // Thrown into the connection that brought the changes, it would end the process.
      this.fail(error as Error)
    }
  }

  /** Applies the part of the changes that is new: another VM may have handed on some of them meanwhile. */
  private apply ({ from, records }: OffsetChanges): void {
    if (this.offset === undefined) return
    const fresh = records.slice(this.offset - from)
    if (fresh.length === 0) return
    this.offset += fresh.length
    this.options.consumer.onChanges(fresh)
  }

  private onAnswer (): void {
    this.answeredAt = this.options.clock.now()
    this.retryMs = FIRST_RETRY_MS
    if (!this.isFailing) return
    this.isFailing = false
    this.options.consumer.onReturn()
  }

  private async pauseAfter (failure: StoreFailure, stopped: AbortSignal): Promise<void> {
    if (!this.isFailing) this.options.consumer.onFailure(failure)
    this.isFailing = true
    const { feed, table, maxFeedAgeMs } = this.options
    const pauseMs = this.retryMs
    this.retryMs = Math.min(pauseMs * 2, feed.isFollowing ? LONGEST_FOLLOWER_RETRY_MS : LONGEST_RETRY_MS)
    if (this.offset === undefined) await sleep(pauseMs, stopped)
    else await feed.untilCovered(table, () => this.offset ?? 0, maxFeedAgeMs, pauseMs, stopped)
  }
}
