import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { ControlStore, StoreFailure, TableName, TableRecord } from '../../types/controlStore.js'
import { sleep } from '../../utils/sleep.js'

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

/** Follows a table: a snapshot first, then its changes, and a snapshot again where changes were missed. */
export class TableReader {
  private isStopped = false
  private isFailing = false
  private retryMs = FIRST_RETRY_MS
  private offset: number | undefined
  private answeredAt: Milliseconds | undefined

  private constructor (private readonly options: TableReaderOptions) {}

  static create (options: TableReaderOptions): TableReader {
    return new TableReader(options)
  }

  /** Time since the store last answered; infinite before the first answer. */
  get ageMs (): Milliseconds {
    return this.answeredAt === undefined ? Infinity : this.options.clock.now() - this.answeredAt
  }

  start (): void {
    void this.run()
  }

  stop (): void {
    this.isStopped = true
  }

  private async run (): Promise<void> {
    while (!this.isStopped) {
      const failure = this.offset === undefined ? await this.readAll() : await this.readChanges(this.offset)
      if (this.isStopped) return
      if (failure === undefined) await sleep(this.options.pauseMs)
      else if (failure !== 'expired') await this.pauseAfter(failure)
    }
  }

  private async readAll (): Promise<StoreFailure | undefined> {
    const { store, table, consumer } = this.options
    const records: TableRecord[] = []
    let end: number | undefined
    let after: string | undefined
    do {
      const page = await store.newest(table, after)
      if (page.isErr) return page.error
      records.push(...page.value.records)
      end ??= page.value.end
      after = page.value.nextAfter
    } while (after !== undefined)
    this.onAnswer()
    consumer.onSnapshot(records)
    this.offset = end
    return undefined
  }

  private async readChanges (from: number): Promise<StoreFailure | undefined> {
    const { store, table, consumer, waitMs } = this.options
    const changes = await store.changes(table, from, waitMs)
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

  private async pauseAfter (failure: StoreFailure): Promise<void> {
    if (!this.isFailing) this.options.consumer.onFailure(failure)
    this.isFailing = true
    await sleep(this.retryMs)
    this.retryMs = Math.min(this.retryMs * 2, LONGEST_RETRY_MS)
  }
}
