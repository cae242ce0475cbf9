import type { AttemptEndKind, AttemptPurpose, CallResult, CancelReason } from '@cowsliplead/core/types/dispatch.js'
import type { BytesRefusal, ConnectionObserver } from './connectionObserver.js'

/** Counters of one service, read by the metrics endpoint on each scrape. */
export class ServiceCounters implements ConnectionObserver {
  readonly results = new Map<string, number>()
  readonly attempts = new Map<string, number>()
  readonly ends = new Map<string, number>()
  readonly cancels = new Map<string, number>()
  /** Connections closed for the bytes that arrived on them, by reason. */
  readonly bytesRefused = new Map<string, number>()
  /** Responses to other requests that were skipped. */
  strayResponses = 0

  private constructor () {}

  static create (): ServiceCounters {
    return new ServiceCounters()
  }

  countResult (result: CallResult): void {
    increment(this.results, 'code' in result ? result.code : result.kind)
  }

  countAttempt (purpose: AttemptPurpose): void {
    increment(this.attempts, purpose)
  }

  countEnd (kind: AttemptEndKind): void {
    increment(this.ends, kind)
  }

  countCancel (reason: CancelReason): void {
    increment(this.cancels, reason)
  }

  onStrayResponse (): void {
    this.strayResponses += 1
  }

  onBytesRefused (reason: BytesRefusal): void {
    increment(this.bytesRefused, reason)
  }
}

function increment (counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1)
}
