import type { Clock, Milliseconds } from '../../types/clock.js'
import { decayFactor } from '../../utils/decayFactor.js'

/** Time over which a VM's own calls are averaged: longer than a cut usually lasts, so that it changes the limit little. */
const AVERAGING_MS: Milliseconds = 10_000

/** Lag of the event loop above which a VM takes no calls of others: as long as a stall that is reported. */
const MAX_LAG_MS: Milliseconds = 200

const LAG_MEMORY_MS: Milliseconds = 500

/** Concurrent calls that are allowed in any case, and further ones for each own call that is usually in progress. */
export interface HandoverLimitOptions {
  readonly clock: Clock
  readonly calls: number
  readonly perOwnCall: number
}

/** Limits the calls that a VM hands over, or takes over, at the same time in relation to those that it usually serves itself. */
export class HandoverLimit {
  /** Calls in progress. */
  inProgress = 0
  private averageOwnCalls = 0
  private lastSampleAt: Milliseconds
  private lastLagAt: Milliseconds = -Infinity

  private constructor (private readonly options: HandoverLimitOptions) {
    this.lastSampleAt = options.clock.now()
  }

  static create (options: HandoverLimitOptions): HandoverLimit {
    return new HandoverLimit(options)
  }

  get maximum (): number {
    return this.options.calls + Math.floor(this.averageOwnCalls * this.options.perOwnCall)
  }

  /** Takes a sample of the VM's own calls in progress; `lagMs` is how late the caller's timer was. */
  sample (ownCalls: number, lagMs: Milliseconds): void {
    const now = this.options.clock.now()
    const kept = decayFactor(now - this.lastSampleAt, AVERAGING_MS)
    this.averageOwnCalls = this.averageOwnCalls * kept + ownCalls * (1 - kept)
    this.lastSampleAt = now
    if (lagMs > MAX_LAG_MS) this.lastLagAt = now
  }

  /** Counts a call unless there is no room for it. */
  tryEnter (): boolean {
    const isLagging = this.options.clock.now() - this.lastLagAt < LAG_MEMORY_MS
    if (isLagging || this.inProgress >= this.maximum) return false
    this.inProgress += 1
    return true
  }

  leave (): void {
    this.inProgress -= 1
  }
}
