import { isRetryable } from './attemptEnds.js'
import type { CallState } from './callState.js'
import type { RoutingContext } from './routingContext.js'

/** Longest wait for the retry budget, as a share of the call's target time. */
const BUDGET_WAIT_SHARE = 1 / 8

/** Calls whose last attempt failed and that wait for a retry, in the order of failure. */
export class PendingRetries {
  private readonly calls: CallState[] = []

  private constructor (private readonly context: RoutingContext) {}

  static create (context: RoutingContext): PendingRetries {
    return new PendingRetries(context)
  }

  get size (): number {
    return this.calls.length
  }

  get first (): CallState | undefined {
    return this.calls[0]
  }

  add (state: CallState): void {
    this.calls.push(state)
  }

  remove (state: CallState): void {
    this.calls.splice(this.calls.indexOf(state), 1)
  }

  mayRetry (state: CallState): boolean {
    const { serviceTimes, clock } = this.context
    if (!isRetryable(state) || state.attemptCount >= this.context.maxAttempts(state.call.kind)) return false
    const typicalMs = serviceTimes.quantileMs(state.call.kind, 0.5) ?? 0
    return clock.now() + typicalMs < state.call.deadlineAt
  }

  /** Whether the expected wait for the retry budget exceeds the time that the call may wait for it. */
  isBudgetWaitTooLong ({ call }: CallState): boolean {
    const longestWaitMs = ((call.targetAt ?? call.deadlineAt) - call.arrivedAt) * BUDGET_WAIT_SHARE
    return this.context.retryBudget.expectedWaitMs() > longestWaitMs
  }
}
