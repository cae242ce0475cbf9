import type { Milliseconds } from '../../types/clock.js'
import { isRetryable } from './attemptEnds.js'
import type { CallState } from './callState.js'
import type { RoutingContext } from './routingContext.js'

/** Longest wait for the retry budget, as a share of the call's target time. */
const BUDGET_WAIT_SHARE = 1 / 8

/** How long a lack of retries for urgent calls counts. */
const SHORTAGE_MS = 2_000

/** Calls whose last attempt failed and that wait for a retry, in the order of failure. */
export class PendingRetries {
  private readonly calls: CallState[] = []
  /** When a call last ended for want of a retry, by priority. */
  private readonly shortages = new Map<number, Milliseconds>()

  private constructor (private readonly context: RoutingContext) {}

  static create (context: RoutingContext): PendingRetries {
    return new PendingRetries(context)
  }

  get size (): number {
    return this.calls.length
  }

  /** The call to retry next: the most urgent one, of equal ones the first that failed. */
  get first (): CallState | undefined {
    let first = this.calls[0]
    for (const state of this.calls) {
      if (first === undefined || priorityOf(state) < priorityOf(first)) first = state
    }
    return first
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
  isBudgetWaitTooLong (state: CallState): boolean {
    const { call } = state
    const longestWaitMs = ((call.targetAt ?? call.deadlineAt) - call.arrivedAt) * BUDGET_WAIT_SHARE
    return this.context.retryBudget.expectedWaitMs(this.reserveFor(state)) > longestWaitMs
  }

  /** As `isBudgetWaitTooLong`, for a call that has just failed; notes that its kind lacks retries. */
  refusesForBudget (state: CallState): boolean {
    if (!this.isBudgetWaitTooLong(state)) return false
    this.shortages.set(priorityOf(state), this.context.clock.now())
    return true
  }

  /** Whether the retry budget covers a retry of the call. */
  canRetry (state: CallState): boolean {
    return this.context.retryBudget.canRetry(this.reserveFor(state))
  }

  /**
   * Retries left in the budget for more urgent calls, if those lacked retries lately. Otherwise the calls that may wait
   * longest would get all retries, and these are the less urgent ones.
   */
  private reserveFor (state: CallState): number {
    const now = this.context.clock.now()
    const priority = priorityOf(state)
    for (const [other, at] of this.shortages) {
      if (other < priority && now - at < SHORTAGE_MS) return Math.min(1, Math.max(0, this.context.policy.retryBudgetCalls - 1))
    }
    return 0
  }
}

function priorityOf ({ call }: CallState): number {
  return call.kind.priority ?? 0
}
