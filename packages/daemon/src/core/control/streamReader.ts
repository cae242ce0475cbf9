import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Component } from '../../types/component.js'
import type { Log, LogPage, ReadError } from '../../types/platform.js'
import { sleep } from '../../utils/sleep.js'

const PAGE_RECORDS = 500
/** A read that waits longer would be too old as a sign that ownership has not changed. */
const WAIT_MS = 500
const FIRST_RETRY_MS = 50
const LONGEST_RETRY_MS = 1000

/** Receives what is read from a stream. */
export interface StreamConsumer {
  /** Where the next read starts. */
  nextOffset (): number
  /** `isEnd` tells that the page reaches the end of the stream as of some instant after `requestedAt`. */
  onPage (page: LogPage, isEnd: boolean, requestedAt: Milliseconds): void
  /** Records before `earliest` are lost. */
  onExpired (earliest: number): void
}

/** Follows one stream of the log. An outage of the log is no failure of the reader: it goes on trying. */
export class StreamReader implements Component {
  readonly name: string
  /** Whether the last read succeeded. */
  isLogAvailable = false
  private stopped = new AbortController()
  private retryMs: Milliseconds = FIRST_RETRY_MS

  private constructor (
    private readonly log: Log,
    private readonly stream: string,
    private readonly consumer: StreamConsumer,
    private readonly clock: Clock
  ) {
    this.name = `reader of ${stream}`
  }

  static create (log: Log, stream: string, consumer: StreamConsumer, clock: Clock): StreamReader {
    return new StreamReader(log, stream, consumer, clock)
  }

  async start (onFailure: (error: Error) => void): Promise<void> {
    this.stopped = new AbortController()
    this.follow(this.stopped.signal).catch(onFailure)
  }

  async stop (): Promise<void> {
    this.stopped.abort()
  }

  private async follow (stopped: AbortSignal): Promise<void> {
    while (!stopped.aborted) {
      const requestedAt = this.clock.now()
      const result = await this.log.read(this.stream, this.consumer.nextOffset(), PAGE_RECORDS, WAIT_MS)
      if (stopped.aborted) return
      if (result.isOk) this.onPage(result.value, requestedAt)
      else await this.onError(result.error, stopped)
    }
  }

  private onPage (page: LogPage, requestedAt: Milliseconds): void {
    this.isLogAvailable = true
    this.retryMs = FIRST_RETRY_MS
    this.consumer.onPage(page, page.records.length < PAGE_RECORDS, requestedAt)
  }

  private async onError (error: ReadError, stopped: AbortSignal): Promise<void> {
    if (error.kind === 'expired') {
      this.consumer.onExpired(error.earliest)
      return
    }
    this.isLogAvailable = false
    await sleep(this.retryMs, stopped)
    this.retryMs = Math.min(this.retryMs * 2, LONGEST_RETRY_MS)
  }
}
