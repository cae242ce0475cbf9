import type { Milliseconds } from '../../types/clock.js'
import { resultWithoutAnswer } from './attemptEnds.js'
import type { AttemptControl } from './attemptControl.js'
import type { AttemptState } from './callState.js'
import type { RoutingContext } from './routingContext.js'

// Below this many responses a high quantile is a guess.
const LEAST_SAMPLES = 20
// Before enough responses were seen, an attempt is a stall after this share of the deadline.
const UNLEARNED_STALL_SHARE = 0.3
// How soon a hedge or a move that found no room or budget is considered again.
const RETRY_CHECK_MS = 2

/** Watches attempts for hedging and for connections that went silent. */
export class AttemptWatch {
  private constructor (private readonly context: RoutingContext, private readonly engine: AttemptControl) {}

  static create (context: RoutingContext, engine: AttemptControl): AttemptWatch {
    return new AttemptWatch(context, engine)
  }

  arm (attempt: AttemptState): void {
    this.schedule(attempt, Math.min(this.hedgeAt(attempt), this.stallAt(attempt)))
  }

  /** Starts the stall interval anew once the response is under way. */
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
    if (now >= this.hedgeAt(attempt)) this.engine.startHedge(attempt.owner)
    if (attempt.owner.place !== 'running' || !attempt.owner.running.includes(attempt)) return
    const next = Math.min(this.hedgeAt(attempt), this.stallAt(attempt))
    this.schedule(attempt, Math.max(next, now + RETRY_CHECK_MS))
  }

  /** When a hedge is due; infinity where the call may not be hedged. */
  private hedgeAt (attempt: AttemptState): Milliseconds {
    const { owner } = attempt
    const { kind, replayable } = owner.call
    const { model, budget, queue } = this.context
    const policy = this.context.policyOf(kind)
    if (!kind.idempotent || !kind.hedgeable || !replayable) return Infinity
    if (owner.respondingId !== undefined || owner.running.length !== 1) return Infinity
    if (owner.started >= this.context.maxAttempts(kind)) return Infinity
    const delayMs = model.quantileMs(kind, policy.hedgeQuantile, LEAST_SAMPLES)
    if (delayMs === undefined) return Infinity
    const dueAt = attempt.startedAt + Math.max(policy.hedgeMinMs, delayMs)
    if (dueAt >= owner.call.deadlineAt) return Infinity
    // Under overload a hedge takes the slot of a call that waits.
    const isBlocked = queue.size > 0 || !budget.canHedge()
    const now = this.context.clock.now()
    return isBlocked && dueAt <= now ? now + RETRY_CHECK_MS : dueAt
  }

  private stallAt (attempt: AttemptState): Milliseconds {
    const isResponding = attempt.owner.respondingId === attempt.attempt.id
    // A non-idempotent call can't be moved; it waits for its deadline.
    if (!attempt.owner.call.kind.idempotent && !isResponding) return Infinity
    return attempt.progressAt + this.stallIntervalMs(attempt)
  }

  private stallIntervalMs (attempt: AttemptState): Milliseconds {
    const { model } = this.context
    const { owner } = attempt
    const policy = this.context.policyOf(owner.call.kind)
    if (owner.respondingId === attempt.attempt.id) return policy.streamStallMs
    const highMs = model.quantileMs(owner.call.kind, 0.99, LEAST_SAMPLES)
    const learnedMs = highMs === undefined ? owner.call.kind.deadlineMs * UNLEARNED_STALL_SHARE : highMs * policy.stallLatencies
    return Math.max(policy.stallMinMs, learnedMs)
  }

  /** Returns whether the attempt was given up. */
  private onStall (attempt: AttemptState): boolean {
    const { owner } = attempt
    const { counters, budget } = this.context
    const isResponding = owner.respondingId === attempt.attempt.id
    const hasOther = owner.running.length > 1
    const isMovable = owner.call.kind.idempotent && !isResponding && (hasOther || (budget.canRetry() && this.engine.mayRetry(owner)))
    if (!isResponding && !isMovable) return false
    owner.needsProvenConnection = true
    // The stalled attempt may still be answered, so it goes on until another one runs in its place.
    if (!isResponding && !hasOther && !this.engine.startReplacement(owner)) return false
    counters.stalls += 1
    this.engine.cancelAttempt(attempt, 'stalled')
    if (isResponding) this.engine.finish(owner, resultWithoutAnswer(owner, 'answerTruncated'))
    return true
  }
}
