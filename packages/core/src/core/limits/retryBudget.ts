import type { RoutingPolicy } from '../../types/routingPolicy.js'

/**
 * Budget for retries and hedges. It starts empty and earns a share of every call,
 * so that the bound holds from the first call on and over any run.
 */
export class RetryBudget {
  private saved = 0

  private constructor (private policy: RoutingPolicy) {}

  static create (policy: RoutingPolicy): RetryBudget {
    return new RetryBudget(policy)
  }

  setPolicy (policy: RoutingPolicy): void {
    this.policy = policy
  }

  /** Earns the share of one call. */
  onCall (): void {
    this.saved = Math.min(this.saved + this.policy.retryBudgetShare, this.policy.retryBudgetCalls)
  }

  canRetry (): boolean {
    return this.saved >= 1
  }

  /** Hedges leave a reserve, because a failed call gains more from a retry than a slow one from a hedge. */
  canHedge (): boolean {
    return this.saved >= 1 + this.policy.hedgeReserveCalls
  }

  spend (): void {
    this.saved -= 1
  }
}
