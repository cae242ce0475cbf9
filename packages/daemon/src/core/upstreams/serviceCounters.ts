import type { AttemptEndKind, AttemptPurpose, CallResult, CancelReason } from '@cowsliplead/core/types/dispatch.js'

/** Counters of one service, read by the metrics endpoint on each scrape. */
export class ServiceCounters {
  readonly results = new Map<string, number>()
  readonly attempts = new Map<string, number>()
  readonly ends = new Map<string, number>()
  readonly cancels = new Map<string, number>()

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
}

function increment (counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1)
}
