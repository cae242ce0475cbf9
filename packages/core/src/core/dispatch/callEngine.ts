import type { Milliseconds } from '../../types/clock.js'
import type { AttemptBasis, AttemptPurpose, Call, CallResult, CancelReason } from '../../types/dispatch.js'
import type { ResultCodeName } from '../../types/resultCode.js'
import type { Timer } from '../../utils/timerQueue.js'
import { latestStartAt, refusalOnArrival } from '../limits/admission.js'
import { isRepeatable, resultWithoutAnswer } from './attemptEnds.js'
import { learnFromCancel } from './cancelLessons.js'
import type { AttemptControl } from './attemptControl.js'
import { AttemptWatch } from './attemptWatch.js'
import { createCallState, type AttemptState, type CallState } from './callState.js'
import { countResult } from './dispatchCounters.js'
import { LoadProbes } from '../routing/loadProbes.js'
import { ParkedCalls } from './parkedCalls.js'
import { resultBasisOf } from './resultBasis.js'
import { withRetryAfter } from '../limits/retryAfter.js'
import type { RoutingContext } from './routingContext.js'
import type { UpstreamState } from '../health/upstreamState.js'
import { chooseUpstream, findUnusedUpstream, type Choice } from '../routing/upstreamChoice.js'

/** Share of a call's target time that it may wait for the retry budget. */
const BUDGET_WAIT_SHARE = 1 / 8

/** Moves calls between waiting, running and finished. */
export class CallEngine implements AttemptControl {
  readonly attempts = new Map<number, AttemptState>()
  private readonly calls = new Map<number, CallState>()
  private readonly retries: CallState[] = []
  private readonly parked = ParkedCalls.create()
  private readonly watch: AttemptWatch
  private readonly probes: LoadProbes
  private nextAttemptId = 1
  private isPumping = false
  private recheckTimer: Timer | undefined

  private constructor (private readonly context: RoutingContext) {
    this.watch = AttemptWatch.create(context, this)
    this.probes = LoadProbes.create(context, state => this.resumeProbed(state))
  }

  static create (context: RoutingContext): CallEngine {
    return new CallEngine(context)
  }

  get waitingCalls (): number {
    return this.context.queue.size + this.retries.length + this.parked.size + this.probes.size
  }

  submit (call: Call): void {
    const { context } = this
    const state = createCallState(call)
    context.counters.calls += 1
    context.budget.onCall(context.clock.now())
    context.model.onCall(call.kind)
    this.calls.set(call.id, state)
    state.deadlineTimer = context.timers.schedule(call.deadlineAt, () => this.onDeadline(state))
    this.admit(state)
    this.pump()
  }

  cancelCall (callId: number): void {
    const state = this.calls.get(callId)
    if (state === undefined) return
    this.cancelRunning(state, 'callerLeft')
    this.finish(state, { kind: 'cancelled' })
    this.pump()
  }

  /** Starts waiting calls until none can start. Port calls may lead back here, so the loop never nests. */
  pump (): void {
    if (this.isPumping) return
    this.isPumping = true
    try {
      while (this.startRetry() || this.startQueued());
    } finally {
      this.isPumping = false
    }
    this.scheduleRecheck()
  }

  /**
   * Repeats the call if that is allowed and the budget will soon cover it, else ends it: a caller that is told at once
   * can still try again, one that waits for a budget which other calls use up cannot.
   */
  retryOrFinish (state: CallState, code: ResultCodeName): void {
    if (!this.mayRetry(state) || this.isBudgetFar(state)) return this.finish(state, resultWithoutAnswer(state, code))
    state.place = 'awaitingRetry'
    this.retries.push(state)
    this.startBefore(state, () => resultWithoutAnswer(state, code))
  }

  mayRetry (state: CallState): boolean {
    const { model, clock } = this.context
    if (!isRepeatable(state) || state.started >= this.context.maxAttempts(state.call.kind)) return false
    const typicalMs = model.quantileMs(state.call.kind, 0.5) ?? 0
    return clock.now() + typicalMs < state.call.deadlineAt
  }

  /** Starts a hedge if another upstream with room is known. Returns whether it started. */
  startHedge (state: CallState): boolean {
    const choice = this.chooseBeside(state, 'hedge')
    if (choice === undefined || state.triedUpstreams.has(choice.state.upstream.id)) return false
    this.context.counters.hedges += 1
    this.spendOn(choice, state, 'hedge')
    return true
  }

  /**
   * Starts an attempt in place of one that stalled, if an upstream with room is known: the same one, on a proven
   * connection, where there is no other. Returns whether it started.
   */
  startReplacement (state: CallState): boolean {
    const choice = this.chooseBeside(state, 'retry')
    if (choice === undefined) return false
    this.context.counters.retries += 1
    this.spendOn(choice, state, 'retry')
    return true
  }

  deliver (state: CallState, attempt: AttemptState): void {
    this.cancelRunning(state, 'lostHedge', attempt)
    this.finish(state, { kind: 'delivered', attemptId: attempt.attempt.id })
  }

  finish (state: CallState, result: CallResult): void {
    if (state.place === 'finished') return
    this.leavePlace(state)
    state.place = 'finished'
    this.context.timers.cancel(state.deadlineTimer)
    this.calls.delete(state.call.id)
    countResult(this.context.counters, result)
    const basis = 'code' in result ? resultBasisOf(this.context, state) : undefined
    this.context.port.finishCall(state.call.id, withRetryAfter(this.context, state.call, result), basis)
    this.resumeParked(state.call.fingerprint)
  }

  cancelRunning (state: CallState, reason: CancelReason, except?: AttemptState): void {
    for (const attempt of [...state.running]) {
      if (attempt !== except) this.cancelAttempt(attempt, reason)
    }
  }

  cancelAttempt (attempt: AttemptState, reason: CancelReason): void {
    this.release(attempt)
    attempt.owner.mayHaveRun = true
    learnFromCancel(this.context, attempt, reason)
    this.context.port.cancelAttempt(attempt.attempt.id, reason)
  }

  /** After a crash, another attempt of the call that is still under way is the trial of the request. */
  onCrash (state: CallState): void {
    if (state.running.length > 0) this.parked.beginTrial(state.call.fingerprint, state.call.id)
  }

  rearm (attempt: AttemptState): void {
    this.watch.rearm(attempt)
  }

  release (attempt: AttemptState): void {
    this.attempts.delete(attempt.attempt.id)
    this.context.timers.cancel(attempt.timer)
    attempt.state.inFlight -= 1
    attempt.state.running.delete(attempt)
    const running = attempt.owner.running
    running.splice(running.indexOf(attempt), 1)
  }

  private admit (state: CallState): void {
    const now = this.context.clock.now()
    const code = refusalOnArrival(this.context, state.call, this.attempts.size)
    if (code !== undefined) return this.finish(state, { kind: 'notRun', code })
    this.enqueue(state, now)
  }

  private enqueue (state: CallState, now: Milliseconds): void {
    const { queue } = this.context
    if (queue.isFull()) {
      const victim = queue.victimFor(state.call.kind)
      if (victim === undefined) return this.finish(state, { kind: 'notRun', code: 'queueFull' })
      this.finish(victim, { kind: 'notRun', code: 'queueFull' })
    }
    state.place = 'queued'
    queue.push(state, now)
    this.giveUpInTime(state)
  }

  private giveUpInTime (state: CallState): void {
    this.startBefore(state, () => ({ kind: 'notRun', code: 'deadlineUnreachable' }))
  }

  /** Gives a waiting call up once an attempt would not end before the deadline. */
  private startBefore (state: CallState, result: () => CallResult): void {
    const { model, timers, clock } = this.context
    const { hopelessQuantile } = this.context.policyOf(state.call.kind)
    const neededMs = model.quantileMs(state.call.kind, hopelessQuantile) ?? 0
    const latest = state.started === 0 && state.call.targetAt !== undefined
      ? latestStartAt(this.context, state.call)
      : state.call.deadlineAt - neededMs
    const at = Math.max(clock.now(), latest)
    state.startTimer = timers.schedule(at, () => this.finish(state, result()))
  }

  /** Keeps a suspect request from starting. While one call tries whether it crashes another upstream, its likes wait. */
  private isHeldAsSuspect (state: CallState): boolean {
    const { fingerprint } = state.call
    const verdict = this.context.suspects.verdict(fingerprint, this.context.clock.now())
    if (verdict === 'clear') return false
    if (verdict === 'refuse') {
      this.finish(state, resultWithoutAnswer(state, state.mayHaveRun ? state.lastCode ?? 'upstreamFailed' : 'suspectRequest'))
      return true
    }
    if (this.parked.beginTrial(fingerprint, state.call.id)) return false
    this.leavePlace(state)
    state.place = 'parked'
    this.parked.add(state)
    return true
  }

  /** A probe of an upstream ended, with or without a report. */
  onProbeEnd (upstream: UpstreamState): void {
    this.probes.onEnd(upstream)
  }

  /** The probes of a call were answered, or have taken too long. */
  private resumeProbed (state: CallState): void {
    state.place = 'queued'
    this.context.queue.restore(state, this.context.clock.now())
    this.giveUpInTime(state)
    this.pump()
  }

  private resumeParked (fingerprint: string): void {
    if (this.parked.size === 0 && !this.parked.isTrying(fingerprint)) return
    for (const state of this.parked.endTrial(fingerprint, this.calls)) {
      if (state.started === 0) this.admit(state)
      else this.retryOrFinish(state, state.lastCode ?? 'upstreamFailed')
    }
  }

  private onDeadline (state: CallState): void {
    if (state.respondingId !== undefined) return
    const sent = state.running.length > 0
    this.cancelRunning(state, 'deadline')
    this.finish(state, resultWithoutAnswer(state, sent ? 'deadlineExceeded' : state.lastCode ?? 'deadlinePassed'))
  }

  private startRetry (): boolean {
    const state = this.retries[0]
    if (state === undefined) return false
    if (this.isBudgetFar(state)) {
      this.finish(state, resultWithoutAnswer(state, state.lastCode ?? 'shed'))
      return true
    }
    if (!this.context.budget.canRetry()) return false
    if (this.isHeldAsSuspect(state)) return true
    const choice = chooseUpstream(this.context, state, 'retry')
    if (choice === undefined) return false
    this.context.counters.retries += 1
    this.leavePlace(state)
    this.spendOn(choice, state, 'retry')
    return true
  }

  /** Whether the next retry takes longer to earn than a caller should be kept waiting for it. */
  private isBudgetFar ({ call }: CallState): boolean {
    const longestWaitMs = ((call.targetAt ?? call.deadlineAt) - call.arrivedAt) * BUDGET_WAIT_SHARE
    return this.context.budget.expectedWaitMs() > longestWaitMs
  }

  private startQueued (): boolean {
    const { context } = this
    const state = context.queue.next()
    if (state === undefined) return false
    if (this.isHeldAsSuspect(state)) return true
    const choice = chooseUpstream(context, state, 'first')
    if (choice?.isTrial !== true && this.probes.begin(state, choice !== undefined)) {
      this.leavePlace(state)
      state.place = 'probing'
      return true
    }
    if (choice === undefined) return this.refuseWithoutTakers(state)
    context.queue.depart(state, context.clock.now())
    this.leavePlace(state)
    this.startOn(choice, state, 'first')
    this.tryUnusedUpstream(state)
    return true
  }

  /** Sends the call to an upstream that joined and was not used yet, beside another one that answers in time if it is still slow. */
  private tryUnusedUpstream (state: CallState): void {
    const { kind, replayable, fingerprint } = state.call
    const { budget, suspects, clock } = this.context
    if (!kind.idempotent || !kind.hedgeable || !replayable || state.place !== 'running') return
    if (!budget.canHedge() || state.started >= this.context.maxAttempts(kind)) return
    if (suspects.verdict(fingerprint, clock.now()) !== 'clear') return
    const unused = findUnusedUpstream(this.context, state)
    if (unused === undefined) return
    this.context.counters.hedges += 1
    this.spendOn({ state: unused, isTrial: false }, state, 'hedge')
  }

  private refuseWithoutTakers (state: CallState): boolean {
    if (this.context.table.hasTakers(this.context.clock.now())) return false
    this.finish(state, { kind: 'notRun', code: 'noUpstream' })
    return true
  }

  /** A suspect request runs at one upstream at a time. */
  private chooseBeside (state: CallState, purpose: AttemptPurpose): Choice | undefined {
    const verdict = this.context.suspects.verdict(state.call.fingerprint, this.context.clock.now())
    return verdict === 'clear' ? chooseUpstream(this.context, state, purpose) : undefined
  }

  private spendOn (choice: Choice, state: CallState, purpose: AttemptPurpose): void {
    this.context.budget.spend()
    this.startOn(choice, state, purpose)
  }

  private startOn (choice: Choice, state: CallState, purpose: AttemptPurpose): void {
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
        basis: this.basisOf(target, state, now)
      },
      owner: state,
      state: target,
      startedAt: now,
      predictedWaitMs: context.model.predictedWaitMs(target, now, target.reportTrust),
      reportedWaitMs: context.model.predictedWaitMs(target, now, 1),
      progressAt: now,
      timer: undefined,
      isTrial: choice.isTrial,
      isSuspect: context.suspects.verdict(state.call.fingerprint, now) !== 'clear',
      isDiscarded: false
    }
    this.register(attempt)
    if (choice.isTrial) context.outliers.onTrialStart(target, now)
    this.watch.arm(attempt)
    context.port.startAttempt(attempt.attempt)
  }

  private basisOf (target: UpstreamState, { call: { kind } }: CallState, now: Milliseconds): AttemptBasis {
    const { report } = target
    return {
      reportAgeMs: report === undefined ? undefined : now - report.receivedAt,
      reportedInFlight: report?.inFlight,
      reportedQueued: report?.queued,
      relativeTime: this.context.model.relativeTimeOf(target, now),
      ownInFlight: target.inFlight,
      expectedMs: this.context.model.expectedMs(kind, target, now),
      waitingCalls: this.waitingCalls
    }
  }

  private register (attempt: AttemptState): void {
    const { owner, state } = attempt
    owner.place = 'running'
    owner.started += 1
    owner.triedUpstreams.add(state.upstream.id)
    owner.triedDomains.add(state.upstream.failureDomain)
    owner.running.push(attempt)
    state.inFlight += 1
    state.running.add(attempt)
    state.attempts += 1
    this.attempts.set(attempt.attempt.id, attempt)
    this.context.counters.attempts += 1
    this.context.table.fitTo(this.attempts.size)
  }

  private leavePlace (state: CallState): void {
    if (state.place === 'queued') this.context.queue.remove(state)
    if (state.place === 'awaitingRetry') this.retries.splice(this.retries.indexOf(state), 1)
    if (state.place === 'parked') this.parked.remove(state)
    if (state.place === 'probing') this.probes.remove(state)
    this.context.timers.cancel(state.startTimer)
  }

  private scheduleRecheck (): void {
    const { queue, timers, clock, policy } = this.context
    const isWaiting = queue.size + this.retries.length > 0
    if (!isWaiting || (this.recheckTimer?.position ?? -1) >= 0) return
    this.recheckTimer = timers.schedule(clock.now() + policy.queueRecheckMs, () => {})
  }
}
