import type { Milliseconds } from '../../types/clock.js'
import type { RoutingPolicy } from '../../types/routingPolicy.js'

const INTERVAL_LEARNING_RATE = 0.05
/** Calls before which their rate is a guess. */
const LEAST_INTERVALS = 10

/**
 * Budget for retries and hedges. It starts empty and earns a share of every call,
 * so that the bound holds from the first call on and over any run.
 */
export class RetryBudget {
  private saved = 0
  private calledAt: Milliseconds | undefined
  private intervals = 0
  /** Mean time between two calls. */
  private intervalMs: Milliseconds = 0

  private constructor (private policy: RoutingPolicy) {}

  static create (policy: RoutingPolicy): RetryBudget {
    return new RetryBudget(policy)
  }

  setPolicy (policy: RoutingPolicy): void {
    this.policy = policy
  }

  /** Earns the share of one call. */
  onCall (now: Milliseconds): void {
    this.saved = Math.min(this.saved + this.policy.retryBudgetShare, this.policy.retryBudgetCalls)
    if (this.calledAt !== undefined) this.learnInterval(now - this.calledAt)
    this.calledAt = now
  }

  /** Retries and hedges that are saved up. */
  get savedRetries (): number {
    return this.saved
  }

  canRetry (): boolean {
    return this.saved >= 1
  }

  /** Time until a retry is earned, while calls go on arriving as they do; infinite where that is not known. */
  expectedWaitMs (): Milliseconds {
    const missing = 1 - this.saved
    if (missing <= 0) return 0
    if (this.intervals < LEAST_INTERVALS) return Infinity
    return missing / this.policy.retryBudgetShare * this.intervalMs
  }

  /** Hedges leave a reserve, because a failed call gains more from a retry than a slow one from a hedge. */
  canHedge (): boolean {
    return this.saved >= 1 + this.policy.hedgeReserveCalls
  }

  spend (): void {
    this.saved -= 1
  }

  private learnInterval (intervalMs: Milliseconds): void {
    this.intervals += 1
    this.intervalMs += (intervalMs - this.intervalMs) * Math.max(INTERVAL_LEARNING_RATE, 1 / this.intervals)
  }
}
