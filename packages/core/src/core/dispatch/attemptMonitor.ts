import type { Milliseconds } from '../../types/clock.js'
import { failureResult } from './attemptEnds.js'
import type { AttemptControl } from './attemptControl.js'
import type { AttemptState } from './callState.js'
import type { RoutingContext } from './routingContext.js'

// Fewer responses are too few to estimate a high quantile.
const MIN_SAMPLES = 20
// Stall interval as a share of the deadline, used until there are enough samples.
const DEFAULT_STALL_DEADLINE_SHARE = 0.3
// Delay before a hedge or replacement that lacked capacity or budget is tried again.
const RECHECK_DELAY_MS = 2

/** Monitors running attempts: hedges slow ones and replaces or ends stalled ones. */
export class AttemptMonitor {
  private constructor (private readonly context: RoutingContext, private readonly engine: AttemptControl) {}

  static create (context: RoutingContext, engine: AttemptControl): AttemptMonitor {
    return new AttemptMonitor(context, engine)
  }

  /** Schedules the first check of a started attempt. */
  arm (attempt: AttemptState): void {
    this.schedule(attempt, Math.min(this.hedgeAt(attempt), this.stallAt(attempt)))
  }

  /** Replaces the timer once the response has begun and the streaming stall interval applies. */
  rearm (attempt: AttemptState): void {
    this.context.timers.cancel(attempt.timer)
    this.arm(attempt)
  }

  private schedule (attempt: AttemptState, at: Milliseconds): void {
    if (at === Infinity) return
    attempt.timer = this.context.timers.schedule(at, () => this.check(attempt))
  }

  private check (attempt: AttemptState): void {
    const now = this.context.clock.now()
    if (now >= this.stallAt(attempt) && this.onStall(attempt)) return
    if (now >= this.hedgeAt(attempt)) this.engine.startHedge(attempt.callState)
    if (attempt.callState.phase !== 'running' || !attempt.callState.running.includes(attempt)) return
    const next = Math.min(this.hedgeAt(attempt), this.stallAt(attempt))
    this.schedule(attempt, Math.max(next, now + RECHECK_DELAY_MS))
  }

  /** Time at which a hedge is due; Infinity if the call must not be hedged. */
  private hedgeAt (attempt: AttemptState): Milliseconds {
    const { callState } = attempt
    const { kind, replayable } = callState.call
    const { serviceTimes, retryBudget, queue } = this.context
    const policy = this.context.policyOf(kind)
    if (!kind.idempotent || !kind.hedgeable || !replayable) return Infinity
    if (callState.respondingAttemptId !== undefined || callState.running.length !== 1) return Infinity
    if (callState.attemptCount >= this.context.maxAttempts(kind)) return Infinity
    const delayMs = serviceTimes.quantileMs(kind, policy.hedgeQuantile, MIN_SAMPLES)
    if (delayMs === undefined) return Infinity
    const dueAt = attempt.startedAt + Math.max(policy.hedgeMinMs, delayMs)
    if (dueAt >= callState.call.deadlineAt) return Infinity
    // Under overload a hedge would occupy a slot that a waiting call needs.
    const isBlocked = queue.size > 0 || !retryBudget.canHedge()
    const now = this.context.clock.now()
    return isBlocked && dueAt <= now ? now + RECHECK_DELAY_MS : dueAt
  }

  private stallAt (attempt: AttemptState): Milliseconds {
    const isResponding = attempt.callState.respondingAttemptId === attempt.attempt.id
    // A non-idempotent call must not be sent again, so it waits until its deadline.
    if (!attempt.callState.call.kind.idempotent && !isResponding) return Infinity
    return attempt.lastProgressAt + this.stallIntervalMs(attempt)
  }

  private stallIntervalMs (attempt: AttemptState): Milliseconds {
    const { serviceTimes } = this.context
    const { callState } = attempt
    const policy = this.context.policyOf(callState.call.kind)
    if (callState.respondingAttemptId === attempt.attempt.id) return policy.streamStallMs
    const highMs = serviceTimes.quantileMs(callState.call.kind, 0.99, MIN_SAMPLES)
    const learnedMs = highMs === undefined
      ? callState.call.kind.deadlineMs * DEFAULT_STALL_DEADLINE_SHARE
      : highMs * policy.stallLatencies
    return Math.max(policy.stallMinMs, learnedMs)
  }

  /** Cancels a stalled attempt if it was responding or another one has replaced it. Returns whether it did. */
  private onStall (attempt: AttemptState): boolean {
    const { callState } = attempt
    const { counters, retryBudget } = this.context
    const isResponding = callState.respondingAttemptId === attempt.attempt.id
    const hasOther = callState.running.length > 1
    const isMovable = callState.call.kind.idempotent && !isResponding &&
      (hasOther || (retryBudget.canRetry() && this.engine.mayRetry(callState)))
    if (!isResponding && !isMovable) return false
    callState.needsProvenConnection = true
    // The stalled attempt may still get a response, so it continues until its replacement has started.
    if (!isResponding && !hasOther && !this.engine.startReplacement(callState)) return false
    counters.stalls += 1
    this.engine.cancelAttempt(attempt, 'stalled')
    if (isResponding) this.engine.finish(callState, failureResult(callState, 'answerTruncated'))
    return true
  }
}
