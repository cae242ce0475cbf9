import type { Milliseconds } from '../../types/clock.js'
import { failureResult } from './attemptEnds.js'
import type { AttemptControl } from './attemptControl.js'
import type { AttemptState, CallState } from './callState.js'
import { recordStall } from './cancelledAttempts.js'
import type { RoutingContext } from './routingContext.js'

// Fewer responses are too few to estimate a high quantile.
const MIN_SAMPLES = 20
// Stall interval as a share of the deadline, used until there are enough samples.
const DEFAULT_STALL_DEADLINE_SHARE = 0.3
// Delay before a hedge or replacement that lacked capacity or budget is tried again.
const RECHECK_DELAY_MS = 2

/** Monitors running attempts: hedges slow ones and replaces stalled ones. */
export class AttemptMonitor {
  private constructor (private readonly context: RoutingContext, private readonly engine: AttemptControl) {}

  static create (context: RoutingContext, engine: AttemptControl): AttemptMonitor {
    return new AttemptMonitor(context, engine)
  }

  /** Schedules the next check of an attempt that has started, or after an event that changes when it is due. */
  arm (attempt: AttemptState): void {
    this.schedule(attempt, Math.min(this.hedgeAt(attempt), this.stallAt(attempt)))
  }

  private schedule (attempt: AttemptState, at: Milliseconds): void {
    this.context.timers.cancel(attempt.timer)
    attempt.timer = at === Infinity ? undefined : this.context.timers.schedule(at, () => this.check(attempt))
  }

  private check (attempt: AttemptState): void {
    const now = this.context.clock.now()
    if (now >= this.stallAt(attempt)) this.onStall(attempt, now)
    else if (now >= this.hedgeAt(attempt)) this.engine.startHedge(attempt.callState)
    if (attempt.callState.phase !== 'running' || !attempt.callState.running.includes(attempt)) return
    this.schedule(attempt, Math.max(this.nextCheckAt(attempt, now), now + RECHECK_DELAY_MS))
  }

  /** A stalled attempt is checked again when its replacement stalls. */
  private nextCheckAt (attempt: AttemptState, now: Milliseconds): Milliseconds {
    const others = this.unstalledOthers(attempt, now).map(other => this.stallAt(other))
    return now >= this.stallAt(attempt) && others.length > 0 ? Math.max(...others) : Math.min(this.hedgeAt(attempt), this.stallAt(attempt))
  }

  /** Time at which a hedge is due; Infinity if the call must not be hedged. */
  private hedgeAt (attempt: AttemptState): Milliseconds {
    const { callState } = attempt
    const { kind, replayable } = callState.call
    const { serviceTimes, retryBudget, queue } = this.context
    const policy = this.context.policyOf(kind)
    if (!kind.idempotent || !kind.hedgeable || !replayable) return Infinity
    const hasOther = callState.running.some(other => other !== attempt && !other.hasStalled)
    if (callState.respondingAttemptId !== undefined || hasOther) return Infinity
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

  /**
   * Ends the call of an attempt that stalled within its response. Any other one goes on beside its replacement, because that may
   * be refused, until either is answered.
   */
  private onStall (attempt: AttemptState, now: Milliseconds): void {
    const { callState } = attempt
    if (callState.respondingAttemptId === attempt.attempt.id) return this.endResponse(attempt)
    const isReplaced = this.unstalledOthers(attempt, now).length > 0 || this.replace(callState)
    if (isReplaced) recordStall(this.context, attempt)
    else if (now >= this.hedgeAt(attempt)) this.engine.startHedge(callState)
  }

  private endResponse (attempt: AttemptState): void {
    recordStall(this.context, attempt)
    this.engine.cancelAttempt(attempt, 'stalled')
    this.engine.finish(attempt.callState, failureResult(attempt.callState, 'answerTruncated'))
  }

  private unstalledOthers (attempt: AttemptState, now: Milliseconds): readonly AttemptState[] {
    return attempt.callState.running.filter(other => other !== attempt && now < this.stallAt(other))
  }

  private replace (callState: CallState): boolean {
    const { retryBudget } = this.context
    if (!callState.call.kind.idempotent || !retryBudget.canRetry() || !this.engine.mayRetry(callState)) return false
    callState.needsProvenConnection = true
    return this.engine.startReplacement(callState)
  }
}
