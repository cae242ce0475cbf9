import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { ControlStore, StoreFailure, TableName, TableRecord } from '../../types/controlStore.js'
import type { Component } from '../../types/component.js'
import { sleep } from '../../utils/sleep.js'
import type { ChangeFeed, OffsetChanges } from '../feed/changeFeed.js'
import { readSnapshot } from './tableSnapshot.js'

/** Backoff after a failed call; doubles up to the maximum. Even a refused call has a cost. */
const INITIAL_RETRY_MS = 100
const MAX_RETRY_MS = 500
/** Maximum for a follower that is in contact with its sources, which notify it once the store answers them. */
const MAX_FOLLOWER_RETRY_MS = 1500

/** Receives the content of a table. */
export interface TableConsumer {
  /** All records of the table. */
  onSnapshot (records: readonly TableRecord[]): void
  /** Changes in order, after a snapshot. */
  onChanges (records: readonly TableRecord[]): void
  /** The store answers again after a failure. Called before the content of that answer is delivered. */
  onRecovery (): void
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
  /** The store is not read while a source has read the table within this time. */
  readonly maxFeedAgeMs: Milliseconds
}

/**
 * Keeps a consumer up to date with a table: a snapshot first, then changes, and a new snapshot if changes were missed.
 * While sources cover the table, their changes are used and the store is not read. An outage of the store is not a
 * failure of the reader: it keeps retrying.
 */
export class TableReader implements Component {
  readonly name: string
  /** Reads of the store since the start. */
  reads = 0
  private abortController = new AbortController()
  private isFailing = false
  private retryMs = INITIAL_RETRY_MS
  private offset: number | undefined
  private lastAnswerAt: Milliseconds | undefined
  private reportFailure: (error: Error) => void = () => {}

  private constructor (private readonly options: TableReaderOptions) {
    this.name = `reader of ${options.table}`
    options.feed.setListener(options.table, changes => this.receiveFromFeed(changes))
  }

  static create (options: TableReaderOptions): TableReader {
    return new TableReader(options)
  }

  get table (): TableName {
    return this.options.table
  }

  /** Time since the store last answered this VM or one of its sources; infinite before the first answer. */
  get ageMs (): Milliseconds {
    const { clock, feed, table } = this.options
    return this.lastAnswerAt === undefined ? Infinity : Math.min(clock.now() - this.lastAnswerAt, feed.ageMs(table))
  }

  async start (onFailure: (error: Error) => void): Promise<void> {
    this.abortController = new AbortController()
    // A consumer that failed may have applied only part of the changes.
    this.offset = undefined
    this.reportFailure = onFailure
    this.run(this.abortController.signal).catch(onFailure)
  }

  async stop (): Promise<void> {
    this.abortController.abort()
    // Changes relayed from now on are ignored: the snapshot read at the next start contains them.
    this.offset = undefined
  }

  private async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const wasCovered = await this.waitWhileCovered(signal)
      if (signal.aborted) return
      // The first read after sources covered the table must not wait: this VM and its followers may be behind.
      const waitMs = wasCovered ? 0 : this.options.waitMs
      this.reads += 1
      const failure = this.offset === undefined ? await this.readAll(signal) : await this.readChanges(this.offset, waitMs, signal)
      if (signal.aborted) return
      if (failure === undefined) await sleep(this.options.pauseMs, signal)
      else if (failure !== 'expired') await this.backOff(failure, signal)
    }
  }

  /** Waits while sources cover the table; returns whether they did. */
  private async waitWhileCovered (signal: AbortSignal): Promise<boolean> {
    if (this.offset === undefined) return false
    const { feed, table, maxFeedAgeMs } = this.options
    // An outage ends as soon as a source reads again; otherwise a change long after it would count as its consequence.
    if (feed.covers(table, this.offset, maxFeedAgeMs)) this.onAnswer()
    return await feed.waitWhileCovered(table, () => this.offset ?? 0, maxFeedAgeMs, signal)
  }

  private async readAll (signal: AbortSignal): Promise<StoreFailure | undefined> {
    const { store, table, consumer, feed } = this.options
    const snapshot = await readSnapshot(store, table)
    if (signal.aborted) return undefined
    if (snapshot.isErr) return snapshot.error
    this.onAnswer()
    consumer.onSnapshot(snapshot.value.records)
    this.offset = snapshot.value.end
    feed.publish(table, this.offset)
    return undefined
  }

  private async readChanges (from: number, waitMs: Milliseconds, signal: AbortSignal): Promise<StoreFailure | undefined> {
    const { store, table, feed } = this.options
    const changes = await store.readChanges(table, from, waitMs)
    if (signal.aborted) return undefined
    if (changes.isErr) {
      if (changes.error === 'expired') this.offset = undefined
      return changes.error
    }
    this.onAnswer()
    this.apply({ from, records: changes.value.records })
    feed.publish(table, changes.value.end, { from, records: changes.value.records })
    return undefined
  }

  private receiveFromFeed (changes: OffsetChanges): void {
    // A gap is filled from the store: the source's position is then ahead of this VM's, so the table is not covered.
    if (this.offset === undefined || changes.from > this.offset) return
    if (changes.from + changes.records.length <= this.offset) return
    try {
      this.onAnswer()
      this.apply(changes)
    } catch (error) {
      // Thrown into the message handler of the connection, the error would end the process.
      this.reportFailure(error as Error)
    }
  }

  /** Applies the changes that are new: another VM may have relayed some of them meanwhile. */
  private apply ({ from, records }: OffsetChanges): void {
    if (this.offset === undefined) return
    const fresh = records.slice(this.offset - from)
    if (fresh.length === 0) return
    this.offset += fresh.length
    this.options.consumer.onChanges(fresh)
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
    if (this.offset === undefined) await sleep(pauseMs, signal)
    else await feed.waitUntilCovered(table, () => this.offset ?? 0, maxFeedAgeMs, pauseMs, signal)
  }
}
