import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { ControlStore, StoreFailure, TableName, TableRecord } from '../../types/controlStore.js'
import type { Component } from '../../types/component.js'
import { sleep } from '../../utils/sleep.js'
import { readSnapshot } from './tableSnapshot.js'

/** First pause after a failed call; doubles up to the longest one. Calls cost their sender even where they are refused. */
const FIRST_RETRY_MS = 100
const LONGEST_RETRY_MS = 500

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
}

/**
 * Follows a table: a snapshot first, then its changes, and a snapshot again where changes were missed. An outage of the
 * store is no failure of the reader: it goes on trying.
 */
export class TableReader implements Component {
  readonly name: string
  private stopped = new AbortController()
  private isFailing = false
  private retryMs = FIRST_RETRY_MS
  private offset: number | undefined
  private answeredAt: Milliseconds | undefined

  private constructor (private readonly options: TableReaderOptions) {
    this.name = `reader of ${options.table}`
  }

  static create (options: TableReaderOptions): TableReader {
    return new TableReader(options)
  }

  /** Time since the store last answered; infinite before the first answer. */
  get ageMs (): Milliseconds {
    return this.answeredAt === undefined ? Infinity : this.options.clock.now() - this.answeredAt
  }

  async start (onFailure: (error: Error) => void): Promise<void> {
    this.stopped = new AbortController()
    // A consumer that failed may have taken a part of the changes only.
    this.offset = undefined
    this.run(this.stopped.signal).catch(onFailure)
  }

  async stop (): Promise<void> {
    this.stopped.abort()
  }

  private async run (stopped: AbortSignal): Promise<void> {
    while (!stopped.aborted) {
      const failure = this.offset === undefined ? await this.readAll(stopped) : await this.readChanges(this.offset, stopped)
      if (stopped.aborted) return
      if (failure === undefined) await sleep(this.options.pauseMs, stopped)
      else if (failure !== 'expired') await this.pauseAfter(failure, stopped)
    }
  }

  private async readAll (stopped: AbortSignal): Promise<StoreFailure | undefined> {
    const { store, table, consumer } = this.options
    const snapshot = await readSnapshot(store, table)
    if (stopped.aborted) return undefined
    if (snapshot.isErr) return snapshot.error
    this.onAnswer()
    consumer.onSnapshot(snapshot.value.records)
    this.offset = snapshot.value.end
    return undefined
  }

  private async readChanges (from: number, stopped: AbortSignal): Promise<StoreFailure | undefined> {
    const { store, table, consumer, waitMs } = this.options
    const changes = await store.changes(table, from, waitMs)
    if (stopped.aborted) return undefined
    if (changes.isErr) {
      if (changes.error === 'expired') this.offset = undefined
      return changes.error
    }
    this.onAnswer()
    this.offset = changes.value.end
    if (changes.value.records.length > 0) consumer.onChanges(changes.value.records)
    return undefined
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
    await sleep(this.retryMs, stopped)
    this.retryMs = Math.min(this.retryMs * 2, LONGEST_RETRY_MS)
  }
}
