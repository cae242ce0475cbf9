import type { Milliseconds } from '../../types/clock.js'
import type { Call, CallResult, CancelReason } from '../../types/dispatch.js'
import type { ResultCodeName } from '../../types/resultCode.js'
import { estimateStart, type StartEstimate } from '../capacity/startEstimate.js'
import { checkAdmission, checkAvailability } from '../limits/admission.js'
import { failureResult } from './attemptEnds.js'
import type { AttemptControl } from './attemptControl.js'
import { AttemptRunner } from './attemptRunner.js'
import { latestResponseEndAt } from './responseLimit.js'
import { createCallState, type AttemptState, type CallState } from './callState.js'
import { countResult } from './dispatchCounters.js'
import { collectResultDiagnostics } from './resultDiagnostics.js'
import { withRetryAfter } from '../limits/retryAfter.js'
import type { RoutingContext } from './routingContext.js'
import type { UpstreamState } from '../health/upstreamState.js'
import { chooseUpstream } from '../routing/upstreamChoice.js'
import { WaitingCalls } from './waitingCalls.js'

/** Time between two reviews of the waiting calls; short beside the service times of overloaded services. */
const REVIEW_INTERVAL_MS = 20

/** Admits, queues, starts, retries and finishes the calls of one service. */
export class CallEngine implements AttemptControl {
  private readonly calls = new Map<number, CallState>()
  private readonly runner: AttemptRunner
  private readonly waiting: WaitingCalls
  private isStartingCalls = false
  private nextReviewAt: Milliseconds = 0
  private isReserving = false

  private constructor (private readonly context: RoutingContext) {
    this.runner = AttemptRunner.create(context, this, () => this.waitingCalls)
    this.waiting = WaitingCalls.create(context, {
      finish: (state, result) => this.finish(state, result),
      onQueued: () => this.startWaitingCalls()
    })
  }

  static create (context: RoutingContext): CallEngine {
    return new CallEngine(context)
  }

  get attempts (): ReadonlyMap<number, AttemptState> {
    return this.runner.attempts
  }

  /** The calls that are not finished. */
  get openCalls (): readonly CallState[] {
    return [...this.calls.values()]
  }

  get waitingCalls (): number {
    return this.waiting.size
  }

  submit (call: Call): void {
    const { context } = this
    const state = createCallState(call)
    context.counters.calls += 1
    context.retryBudget.onCall(context.clock.now())
    context.serviceTimes.onCall(call.kind)
    context.reservation.onCall(call.kind, context.clock.now())
    this.calls.set(call.id, state)
    this.setDeadline(state, call.deadlineAt)
    this.admit(state)
    this.startWaitingCalls()
  }

  cancelCall (callId: number): void {
    const state = this.calls.get(callId)
    if (state === undefined) return
    this.cancelRunning(state, 'callerLeft')
    this.finish(state, { kind: 'cancelled' })
    this.startWaitingCalls()
  }

  /**
   * Starts waiting calls until none can start. The port may call back into the dispatcher meanwhile, so nested calls of
   * this method return at once.
   */
  startWaitingCalls (): void {
    if (this.isStartingCalls) return
    this.isStartingCalls = true
    try {
      while (this.startNextRetry() || this.startNextQueuedCall());
      this.refuseHopeless()
    } finally {
      this.isStartingCalls = false
    }
    this.waiting.scheduleRecheck()
  }

  /**
   * Schedules a retry if it is allowed and the budget will cover it soon, otherwise finishes the call: a caller that is
   * not kept waiting can still try again, while a waiting one may find the budget used up by other calls.
   */
  retryOrFinish (state: CallState, code: ResultCodeName): void {
    const result = () => failureResult(state, code)
    if (!this.mayRetry(state) || this.waiting.retries.refusesForBudget(state)) return this.finish(state, result())
    this.waiting.awaitRetry(state, result)
  }

  mayRetry (state: CallState): boolean {
    return this.waiting.retries.mayRetry(state) && checkAvailability(this.context, state.call) === undefined
  }

  startHedge (state: CallState): boolean {
    return this.runner.startHedge(state)
  }

  startReplacement (state: CallState): boolean {
    return this.runner.startReplacement(state)
  }

  deliver (state: CallState, attempt: AttemptState): void {
    this.cancelRunning(state, 'lostHedge', attempt)
    this.finish(state, { kind: 'delivered', attemptId: attempt.attempt.id })
  }

  /** `estimate` is what the call is refused on, if it is refused because it would be late. */
  finish (state: CallState, result: CallResult, estimate?: StartEstimate): void {
    if (state.phase === 'finished') return
    this.waiting.remove(state)
    state.phase = 'finished'
    this.context.timers.cancel(state.deadlineTimer)
    this.calls.delete(state.call.id)
    countResult(this.context.counters, result)
    this.context.served.onEnd(state.call, result, state.attemptCount > 0, this.context.clock.now())
    if ('code' in result && result.code === 'deadlineUnreachable') this.context.reservation.onRefusal(this.context.clock.now())
    const diagnostics = 'code' in result ? collectResultDiagnostics(this.context, state, estimate) : undefined
    this.context.port.finishCall(state.call.id, withRetryAfter(this.context, state.call, result), diagnostics)
    this.resumeParked(state.call.fingerprint)
  }

  cancelRunning (state: CallState, reason: CancelReason, except?: AttemptState): void {
    this.runner.cancelRunning(state, reason, except)
  }

  cancelAttempt (attempt: AttemptState, reason: CancelReason): void {
    this.runner.cancel(attempt, reason)
  }

  recheckRunning (state: CallState): void {
    this.runner.recheckRunning(state)
  }

  /** After a crash, another attempt of the call that is still in progress becomes the trial of the request. */
  onCrash (state: CallState): void {
    if (state.running.length > 0) this.waiting.parked.beginTrial(state.call.fingerprint, state.call.id)
  }

  rearm (attempt: AttemptState): void {
    this.runner.rearm(attempt)
  }

  removeAttempt (attempt: AttemptState): void {
    this.runner.remove(attempt)
  }

  /** A probe of an upstream ended, with or without a report. */
  onProbeEnd (upstream: UpstreamState): void {
    this.waiting.onProbeEnd(upstream)
  }

  private admit (state: CallState): void {
    const refusal = checkAdmission(this.context, state.call, this.attempts.size)
    if (refusal !== undefined) return this.finish(state, { kind: 'notRun', code: refusal.code }, refusal.estimate)
    this.enqueue(state)
  }

  private enqueue (state: CallState): void {
    const { queue } = this.context
    if (queue.isFull()) {
      const victim = queue.findVictim(state.call, this.context.clock.now())
      if (victim === undefined) return this.finish(state, { kind: 'notRun', code: 'queueFull' })
      this.finish(victim, { kind: 'notRun', code: 'queueFull' })
    }
    this.waiting.enqueue(state)
  }

  /**
   * Refuses or parks a suspect request. Returns whether it may not start now. While one call tests whether the request
   * crashes another upstream, other calls with the same fingerprint are parked.
   */
  private refuseOrParkSuspect (state: CallState): boolean {
    const { fingerprint } = state.call
    const verdict = this.context.suspects.verdict(fingerprint, this.context.clock.now())
    if (verdict === 'clear') return false
    if (verdict === 'refuse') {
      this.finish(state, failureResult(state, state.mayHaveRun ? state.lastResultCode ?? 'upstreamFailed' : 'suspectRequest'))
      return true
    }
    if (this.waiting.parked.beginTrial(fingerprint, state.call.id)) return false
    this.waiting.park(state)
    return true
  }

  private resumeParked (fingerprint: string): void {
    const { parked } = this.waiting
    if (parked.size === 0 && !parked.hasTrial(fingerprint)) return
    for (const state of parked.endTrial(fingerprint, this.calls)) {
      if (state.attemptCount === 0) this.admit(state)
      else this.retryOrFinish(state, state.lastResultCode ?? 'upstreamFailed')
    }
  }

  private setDeadline (state: CallState, at: Milliseconds): void {
    state.deadlineTimer = this.context.timers.schedule(at, () => this.onDeadline(state))
  }

  private onDeadline (state: CallState): void {
    const now = this.context.clock.now()
    const endsAt = latestResponseEndAt(state, now)
    if (endsAt > now) return this.setDeadline(state, endsAt)
    const sent = state.running.length > 0
    this.cancelRunning(state, 'deadline')
    this.finish(state, failureResult(state, sent ? 'deadlineExceeded' : state.lastResultCode ?? 'deadlinePassed'))
  }

  private startNextRetry (): boolean {
    const state = this.waiting.retries.first
    if (state === undefined) return false
    if (checkAvailability(this.context, state.call) !== undefined || this.waiting.retries.isBudgetWaitTooLong(state)) {
      this.finish(state, failureResult(state, state.lastResultCode ?? 'shed'))
      return true
    }
    if (!this.waiting.retries.canRetry(state)) return false
    if (this.refuseOrParkSuspect(state)) return true
    const choice = chooseUpstream(this.context, state, 'retry')
    if (choice === undefined) return false
    this.waiting.remove(state)
    this.runner.startRetry(choice, state)
    return true
  }

  private startNextQueuedCall (): boolean {
    const { queue, clock, reservation } = this.context
    const now = clock.now()
    for (const state of queue.heads(now)) {
      if (this.startQueuedCall(state)) return true
      // A call that may not use the reserved upstreams must not keep more urgent ones from them.
      if (reservation.reservedShare(state.call.kind, now) === 0) return false
    }
    return false
  }

  private startQueuedCall (state: CallState): boolean {
    const { context } = this
    if (this.refuseOrParkSuspect(state)) return true
    const choice = chooseUpstream(context, state, 'first')
    if (choice?.isTrial !== true && this.waiting.beginProbes(state, choice !== undefined)) return true
    if (choice === undefined) return this.refuseIfUnavailable(state)
    const now = context.clock.now()
    context.queue.depart(state, now)
    context.served.onStart(state.call, now)
    context.reservation.onStart(state.call.kind, now - state.call.arrivedAt, now)
    this.waiting.remove(state)
    this.runner.startFirst(choice, state)
    return true
  }

  private notifyOfReservation (now: Milliseconds): void {
    const reservedShare = this.context.reservation.largestShare(now)
    if ((reservedShare > 0) === this.isReserving) return
    this.isReserving = reservedShare > 0
    this.context.port.onReservation?.({ reservedShare, queuedByKind: this.context.queue.countByKind() })
  }

  /** Refuses the waiting calls that are not expected to start in time any more. */
  private refuseHopeless (): void {
    const { context } = this
    const now = context.clock.now()
    if (now < this.nextReviewAt) return
    this.nextReviewAt = now + REVIEW_INTERVAL_MS
    this.notifyOfReservation(now)
    for (const state of context.queue.findHopeless(now)) {
      const estimate = estimateStart(context, state.call, context.serviceTimes.meanServiceMs())
      this.finish(state, { kind: 'notRun', code: 'deadlineUnreachable' }, estimate)
    }
  }

  /** Refuses a waiting call that no upstream can take in time. Returns whether it did. */
  private refuseIfUnavailable (state: CallState): boolean {
    const code = checkAvailability(this.context, state.call)
    if (code === undefined) return false
    this.finish(state, { kind: 'notRun', code })
    return true
  }
}
