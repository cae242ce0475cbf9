import type { Milliseconds } from '../../types/clock.js'
import type { RoutingPolicy } from '../../types/routingPolicy.js'

const INTERVAL_LEARNING_RATE = 0.05
/** Intervals between calls to observe before their mean is used. */
const MIN_INTERVALS = 10

/**
 * Token bucket for retries and hedges. It starts empty and earns a share of a token with every call,
 * so that retries and hedges stay within that share of the calls from the first call on.
 */
export class RetryBudget {
  private tokens = 0
  private lastCallAt: Milliseconds | undefined
  private intervalCount = 0
  /** Mean time between two calls. */
  private intervalMs: Milliseconds = 0

  private constructor (private policy: RoutingPolicy) {}

  static create (policy: RoutingPolicy): RetryBudget {
    return new RetryBudget(policy)
  }

  setPolicy (policy: RoutingPolicy): void {
    this.policy = policy
  }

  /** Earns the share of a token for one call. */
  onCall (now: Milliseconds): void {
    this.tokens = Math.min(this.tokens + this.policy.retryBudgetShare, this.policy.retryBudgetCalls)
    if (this.lastCallAt !== undefined) this.learnInterval(now - this.lastCallAt)
    this.lastCallAt = now
  }

  /** Retries and hedges saved up, including a fraction. */
  get savedRetries (): number {
    return this.tokens
  }

  /** Whether a retry may start that leaves `reserve` retries in the budget. */
  canRetry (reserve = 0): boolean {
    return this.tokens >= 1 + reserve
  }

  /** Expected time until a retry beyond `reserve` is earned at the current rate of calls; infinite until that rate is known. */
  expectedWaitMs (reserve = 0): Milliseconds {
    const missing = 1 + reserve - this.tokens
    if (missing <= 0) return 0
    if (this.intervalCount < MIN_INTERVALS) return Infinity
    return missing / this.policy.retryBudgetShare * this.intervalMs
  }

  /** Whether a hedge may start. Hedges leave a reserve: a failed call gains more from a retry than a slow one from a hedge. */
  canHedge (): boolean {
    return this.tokens >= 1 + this.policy.hedgeReserveCalls
  }

  spend (): void {
    this.tokens -= 1
  }

  private learnInterval (intervalMs: Milliseconds): void {
    this.intervalCount += 1
    this.intervalMs += (intervalMs - this.intervalMs) * Math.max(INTERVAL_LEARNING_RATE, 1 / this.intervalCount)
  }
}
