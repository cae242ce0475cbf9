import type { Milliseconds } from '../../types/clock.js'
import type { AttemptPurpose, Call, CallResult, CancelReason } from '../../types/dispatch.js'
import type { ResultCodeName } from '../../types/resultCode.js'
import type { Timer } from '../../utils/timerQueue.js'
import { latestStartAt, checkAdmission, checkReachability } from '../limits/admission.js'
import { isRetryable, failureResult } from './attemptEnds.js'
import { recordCancellation } from './cancelledAttempts.js'
import type { AttemptControl } from './attemptControl.js'
import { AttemptMonitor } from './attemptMonitor.js'
import { createCallState, type AttemptState, type CallState } from './callState.js'
import { countResult } from './dispatchCounters.js'
import { LoadProbes } from '../routing/loadProbes.js'
import { ParkedCalls } from './parkedCalls.js'
import { collectResultDiagnostics } from './resultDiagnostics.js'
import { withRetryAfter } from '../limits/retryAfter.js'
import type { RoutingContext } from './routingContext.js'
import type { UpstreamState } from '../health/upstreamState.js'
import { snapshotSelection } from './selectionSnapshot.js'
import { chooseUpstream, findUnusedUpstream, type UpstreamChoice } from '../routing/upstreamChoice.js'

/** Longest wait for the retry budget, as a share of the call's target time. */
const BUDGET_WAIT_SHARE = 1 / 8

/** Admits, queues, starts, retries and finishes the calls of one service. */
export class CallEngine implements AttemptControl {
  readonly attempts = new Map<number, AttemptState>()
  private readonly calls = new Map<number, CallState>()
  private readonly awaitingRetry: CallState[] = []
  private readonly parked = ParkedCalls.create()
  private readonly monitor: AttemptMonitor
  private readonly probes: LoadProbes
  private nextAttemptId = 1
  private isStartingCalls = false
  private recheckTimer: Timer | undefined

  private constructor (private readonly context: RoutingContext) {
    this.monitor = AttemptMonitor.create(context, this)
    this.probes = LoadProbes.create(context, state => this.resumeProbed(state))
  }

  static create (context: RoutingContext): CallEngine {
    return new CallEngine(context)
  }

  get waitingCalls (): number {
    return this.context.queue.size + this.awaitingRetry.length + this.parked.size + this.probes.size
  }

  submit (call: Call): void {
    const { context } = this
    const state = createCallState(call)
    context.counters.calls += 1
    context.retryBudget.onCall(context.clock.now())
    context.serviceTimes.onCall(call.kind)
    this.calls.set(call.id, state)
    state.deadlineTimer = context.timers.schedule(call.deadlineAt, () => this.onDeadline(state))
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
    } finally {
      this.isStartingCalls = false
    }
    this.scheduleRecheck()
  }

  /**
   * Schedules a retry if it is allowed and the budget will cover it soon, otherwise finishes the call: a caller that is
   * not kept waiting can still try again, while a waiting one may find the budget used up by other calls.
   */
  retryOrFinish (state: CallState, code: ResultCodeName): void {
    if (!this.mayRetry(state) || this.isBudgetWaitTooLong(state)) return this.finish(state, failureResult(state, code))
    state.phase = 'awaitingRetry'
    this.awaitingRetry.push(state)
    this.scheduleWaitTimeout(state, () => failureResult(state, code))
  }

  mayRetry (state: CallState): boolean {
    if (!isRetryable(state) || state.attemptCount >= this.context.maxAttempts(state.call.kind)) return false
    const { serviceTimes, clock } = this.context
    const typicalMs = serviceTimes.quantileMs(state.call.kind, 0.5) ?? 0
    return clock.now() + typicalMs < state.call.deadlineAt && checkReachability(this.context, state.call) === undefined
  }

  /** Starts a hedge if an untried upstream has capacity. Returns whether it started. */
  startHedge (state: CallState): boolean {
    const choice = this.chooseUnlessSuspect(state, 'hedge')
    if (choice === undefined || state.triedUpstreams.has(choice.state.upstream.id)) return false
    this.context.counters.hedges += 1
    this.startBudgetedAttempt(choice, state, 'hedge')
    return true
  }

  /**
   * Starts an attempt in place of a stalled one if an upstream has capacity: the same one, over a proven connection, if
   * there is no other. Returns whether it started.
   */
  startReplacement (state: CallState): boolean {
    const choice = this.chooseUnlessSuspect(state, 'retry')
    if (choice === undefined) return false
    this.context.counters.retries += 1
    this.startBudgetedAttempt(choice, state, 'retry')
    return true
  }

  deliver (state: CallState, attempt: AttemptState): void {
    this.cancelRunning(state, 'lostHedge', attempt)
    this.finish(state, { kind: 'delivered', attemptId: attempt.attempt.id })
  }

  finish (state: CallState, result: CallResult): void {
    if (state.phase === 'finished') return
    this.removeFromWaiting(state)
    state.phase = 'finished'
    this.context.timers.cancel(state.deadlineTimer)
    this.calls.delete(state.call.id)
    countResult(this.context.counters, result)
    const diagnostics = 'code' in result ? collectResultDiagnostics(this.context, state) : undefined
    this.context.port.finishCall(state.call.id, withRetryAfter(this.context, state.call, result), diagnostics)
    this.resumeParked(state.call.fingerprint)
  }

  cancelRunning (state: CallState, reason: CancelReason, except?: AttemptState): void {
    for (const attempt of [...state.running]) {
      if (attempt !== except) this.cancelAttempt(attempt, reason)
    }
  }

  cancelAttempt (attempt: AttemptState, reason: CancelReason): void {
    this.removeAttempt(attempt)
    attempt.callState.mayHaveRun = true
    recordCancellation(this.context, attempt, reason)
    this.context.port.cancelAttempt(attempt.attempt.id, reason)
  }

  /** After a crash, another attempt of the call that is still in progress becomes the trial of the request. */
  onCrash (state: CallState): void {
    if (state.running.length > 0) this.parked.beginTrial(state.call.fingerprint, state.call.id)
  }

  rearm (attempt: AttemptState): void {
    this.monitor.rearm(attempt)
  }

  removeAttempt (attempt: AttemptState): void {
    this.attempts.delete(attempt.attempt.id)
    this.context.timers.cancel(attempt.timer)
    attempt.upstreamState.onAttemptEnd(attempt)
    const running = attempt.callState.running
    running.splice(running.indexOf(attempt), 1)
  }

  private admit (state: CallState): void {
    const now = this.context.clock.now()
    const code = checkAdmission(this.context, state.call, this.attempts.size)
    if (code !== undefined) return this.finish(state, { kind: 'notRun', code })
    this.enqueue(state, now)
  }

  private enqueue (state: CallState, now: Milliseconds): void {
    const { queue } = this.context
    if (queue.isFull()) {
      const victim = queue.findVictim(state.call.kind)
      if (victim === undefined) return this.finish(state, { kind: 'notRun', code: 'queueFull' })
      this.finish(victim, { kind: 'notRun', code: 'queueFull' })
    }
    state.phase = 'queued'
    queue.push(state, now)
    this.scheduleRefusal(state)
  }

  private scheduleRefusal (state: CallState): void {
    this.scheduleWaitTimeout(state, () => ({ kind: 'notRun', code: 'deadlineUnreachable' }))
  }

  /** Finishes a waiting call at the latest time at which an attempt could start and still end in time. */
  private scheduleWaitTimeout (state: CallState, result: () => CallResult): void {
    const { serviceTimes, timers, clock } = this.context
    const { hopelessQuantile } = this.context.policyOf(state.call.kind)
    const neededMs = serviceTimes.quantileMs(state.call.kind, hopelessQuantile) ?? 0
    const latest = state.attemptCount === 0 && state.call.targetAt !== undefined
      ? latestStartAt(this.context, state.call)
      : state.call.deadlineAt - neededMs
    const at = Math.max(clock.now(), latest)
    state.waitTimer = timers.schedule(at, () => this.finish(state, result()))
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
    if (this.parked.beginTrial(fingerprint, state.call.id)) return false
    this.removeFromWaiting(state)
    state.phase = 'parked'
    this.parked.add(state)
    return true
  }

  /** A probe of an upstream ended, with or without a report. */
  onProbeEnd (upstream: UpstreamState): void {
    this.probes.onProbeEnd(upstream)
  }

  /** Queues a call again whose probes have ended or timed out. */
  private resumeProbed (state: CallState): void {
    state.phase = 'queued'
    this.context.queue.pushFront(state, this.context.clock.now())
    this.scheduleRefusal(state)
    this.startWaitingCalls()
  }

  private resumeParked (fingerprint: string): void {
    if (this.parked.size === 0 && !this.parked.hasTrial(fingerprint)) return
    for (const state of this.parked.endTrial(fingerprint, this.calls)) {
      if (state.attemptCount === 0) this.admit(state)
      else this.retryOrFinish(state, state.lastResultCode ?? 'upstreamFailed')
    }
  }

  private onDeadline (state: CallState): void {
    if (state.respondingAttemptId !== undefined) return
    const sent = state.running.length > 0
    this.cancelRunning(state, 'deadline')
    this.finish(state, failureResult(state, sent ? 'deadlineExceeded' : state.lastResultCode ?? 'deadlinePassed'))
  }

  private startNextRetry (): boolean {
    const state = this.awaitingRetry[0]
    if (state === undefined) return false
    if (checkReachability(this.context, state.call) !== undefined || this.isBudgetWaitTooLong(state)) {
      this.finish(state, failureResult(state, state.lastResultCode ?? 'shed'))
      return true
    }
    if (!this.context.retryBudget.canRetry()) return false
    if (this.refuseOrParkSuspect(state)) return true
    const choice = chooseUpstream(this.context, state, 'retry')
    if (choice === undefined) return false
    this.context.counters.retries += 1
    this.removeFromWaiting(state)
    this.startBudgetedAttempt(choice, state, 'retry')
    return true
  }

  /** Whether the expected wait for the retry budget exceeds the time that the call may wait for it. */
  private isBudgetWaitTooLong ({ call }: CallState): boolean {
    const longestWaitMs = ((call.targetAt ?? call.deadlineAt) - call.arrivedAt) * BUDGET_WAIT_SHARE
    return this.context.retryBudget.expectedWaitMs() > longestWaitMs
  }

  private startNextQueuedCall (): boolean {
    const { context } = this
    const state = context.queue.next()
    if (state === undefined) return false
    if (this.refuseOrParkSuspect(state)) return true
    const choice = chooseUpstream(context, state, 'first')
    if (choice?.isTrial !== true && this.probes.begin(state, choice !== undefined)) {
      this.removeFromWaiting(state)
      state.phase = 'probing'
      return true
    }
    if (choice === undefined) return this.refuseIfUnreachable(state)
    context.queue.depart(state, context.clock.now())
    this.removeFromWaiting(state)
    this.startAttempt(choice, state, 'first')
    this.tryUnusedUpstream(state)
    return true
  }

  /**
   * Sends the call also to an upstream that has joined and received no call yet, if there is one. The attempt that has
   * just started finishes in time even if the new upstream is still slow.
   */
  private tryUnusedUpstream (state: CallState): void {
    const { kind, replayable, fingerprint } = state.call
    const { retryBudget, suspects, clock } = this.context
    if (!kind.idempotent || !kind.hedgeable || !replayable || state.phase !== 'running') return
    if (!retryBudget.canHedge() || state.attemptCount >= this.context.maxAttempts(kind)) return
    if (suspects.verdict(fingerprint, clock.now()) !== 'clear') return
    const unused = findUnusedUpstream(this.context, state)
    if (unused === undefined) return
    this.context.counters.hedges += 1
    this.startBudgetedAttempt({ state: unused, isTrial: false }, state, 'hedge')
  }

  /** Refuses a waiting call that no upstream can take in time. Returns whether it did. */
  private refuseIfUnreachable (state: CallState): boolean {
    const code = checkReachability(this.context, state.call)
    if (code === undefined) return false
    this.finish(state, { kind: 'notRun', code })
    return true
  }

  /** Chooses an upstream for a concurrent attempt; none for a suspect request, which must run on one at a time. */
  private chooseUnlessSuspect (state: CallState, purpose: AttemptPurpose): UpstreamChoice | undefined {
    const verdict = this.context.suspects.verdict(state.call.fingerprint, this.context.clock.now())
    return verdict === 'clear' ? chooseUpstream(this.context, state, purpose) : undefined
  }

  private startBudgetedAttempt (choice: UpstreamChoice, state: CallState, purpose: AttemptPurpose): void {
    this.context.retryBudget.spend()
    this.startAttempt(choice, state, purpose)
  }

  private startAttempt (choice: UpstreamChoice, state: CallState, purpose: AttemptPurpose): void {
    const { context } = this
    const now = context.clock.now()
    const target = choice.state
    const attempt: AttemptState = {
      attempt: {
        id: this.nextAttemptId++,
        callId: state.call.id,
        upstreamId: target.upstream.id,
        deadlineAt: state.call.deadlineAt,
        provenConnection: !state.call.kind.idempotent || state.needsProvenConnection,
        purpose,
        selection: snapshotSelection(context, target, state.call.kind, this.waitingCalls, now)
      },
      callState: state,
      upstreamState: target,
      startedAt: now,
      predictedWaitMs: context.serviceTimes.predictedWaitMs(target, now, target.reportTrust),
      reportedWaitMs: context.serviceTimes.predictedWaitMs(target, now, 1),
      lastProgressAt: now,
      timer: undefined,
      isTrial: choice.isTrial,
      isSuspect: context.suspects.verdict(state.call.fingerprint, now) !== 'clear',
      isDiscarded: false
    }
    this.addAttempt(attempt)
    if (choice.isTrial) context.outliers.onTrialStart(target, now)
    this.monitor.arm(attempt)
    context.port.startAttempt(attempt.attempt)
  }

  private addAttempt (attempt: AttemptState): void {
    const { callState, upstreamState } = attempt
    callState.phase = 'running'
    callState.attemptCount += 1
    callState.triedUpstreams.add(upstreamState.upstream.id)
    callState.triedDomains.add(upstreamState.upstream.failureDomain)
    callState.running.push(attempt)
    upstreamState.onAttemptStart(attempt, attempt.startedAt)
    this.attempts.set(attempt.attempt.id, attempt)
    this.context.counters.attempts += 1
    this.context.table.resizeSubset(this.attempts.size)
  }

  private removeFromWaiting (state: CallState): void {
    if (state.phase === 'queued') this.context.queue.remove(state)
    if (state.phase === 'awaitingRetry') this.awaitingRetry.splice(this.awaitingRetry.indexOf(state), 1)
    if (state.phase === 'parked') this.parked.remove(state)
    if (state.phase === 'probing') this.probes.remove(state)
    this.context.timers.cancel(state.waitTimer)
  }

  private scheduleRecheck (): void {
    const { queue, timers, clock, policy } = this.context
    const isWaiting = queue.size + this.awaitingRetry.length > 0
    if (!isWaiting || (this.recheckTimer?.heapIndex ?? -1) >= 0) return
    this.recheckTimer = timers.schedule(clock.now() + policy.queueRecheckMs, () => {})
  }
}
