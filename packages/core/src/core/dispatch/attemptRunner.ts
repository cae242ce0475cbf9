import type { AttemptPurpose, CancelReason } from '../../types/dispatch.js'
import { chooseUpstream, findUnusedUpstream, type UpstreamChoice } from '../routing/upstreamChoice.js'
import type { AttemptControl } from './attemptControl.js'
import { AttemptMonitor } from './attemptMonitor.js'
import type { AttemptState, CallState } from './callState.js'
import { recordCancellation } from './cancelledAttempts.js'
import type { RoutingContext } from './routingContext.js'
import { snapshotSelection } from './selectionSnapshot.js'

/** Starts, tracks and cancels the attempts of the calls of one service. */
export class AttemptRunner {
  readonly attempts = new Map<number, AttemptState>()
  private readonly monitor: AttemptMonitor
  private nextAttemptId = 1

  private constructor (
    private readonly context: RoutingContext,
    control: AttemptControl,
    private readonly countWaiting: () => number
  ) {
    this.monitor = AttemptMonitor.create(context, control)
  }

  /** `countWaiting` gives the number of calls that wait, for the log of each attempt. */
  static create (context: RoutingContext, control: AttemptControl, countWaiting: () => number): AttemptRunner {
    return new AttemptRunner(context, control, countWaiting)
  }

  /** Starts the first attempt of a call, and one beside it if an upstream has joined that received no call yet. */
  startFirst (choice: UpstreamChoice, state: CallState): void {
    this.start(choice, state, 'first')
    this.tryUnusedUpstream(state)
  }

  startRetry (choice: UpstreamChoice, state: CallState): void {
    this.context.counters.retries += 1
    this.startBudgeted(choice, state, 'retry')
  }

  /** Starts a hedge if an untried upstream has capacity. Returns whether it started. */
  startHedge (state: CallState): boolean {
    const choice = this.chooseUnlessSuspect(state, 'hedge')
    if (choice === undefined || state.triedUpstreams.has(choice.state.upstream.id)) return false
    this.context.counters.hedges += 1
    this.startBudgeted(choice, state, 'hedge')
    return true
  }

  /**
   * Starts an attempt in place of a stalled one if an upstream has capacity: the same one, over a proven connection, if
   * there is no other. Returns whether it started.
   */
  startReplacement (state: CallState): boolean {
    const choice = this.chooseUnlessSuspect(state, 'retry')
    if (choice === undefined) return false
    this.startRetry(choice, state)
    return true
  }

  rearm (attempt: AttemptState): void {
    this.monitor.arm(attempt)
  }

  /** Checks the remaining attempts of a call anew after one of them has ended without a response. */
  recheckRunning (state: CallState): void {
    for (const attempt of state.running) this.monitor.arm(attempt)
  }

  /** Cancels the running attempts of a call, except one. A stalled one that has lost to another is given as stalled. */
  cancelRunning (state: CallState, reason: CancelReason, except?: AttemptState): void {
    for (const attempt of [...state.running]) {
      if (attempt !== except) this.cancel(attempt, attempt.hasStalled && reason === 'lostHedge' ? 'stalled' : reason)
    }
  }

  cancel (attempt: AttemptState, reason: CancelReason): void {
    this.remove(attempt)
    attempt.callState.mayHaveRun = true
    if (!attempt.hasStalled) recordCancellation(this.context, attempt, reason)
    this.context.port.cancelAttempt(attempt.attempt.id, reason)
  }

  /** Forgets an attempt that has ended. */
  remove (attempt: AttemptState): void {
    this.attempts.delete(attempt.attempt.id)
    this.context.timers.cancel(attempt.timer)
    attempt.upstreamState.onAttemptEnd(attempt)
    const running = attempt.callState.running
    running.splice(running.indexOf(attempt), 1)
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
    this.startBudgeted({ state: unused, isTrial: false }, state, 'hedge')
  }

  /** Chooses an upstream for a concurrent attempt; none for a suspect request, which must run on one at a time. */
  private chooseUnlessSuspect (state: CallState, purpose: AttemptPurpose): UpstreamChoice | undefined {
    const verdict = this.context.suspects.verdict(state.call.fingerprint, this.context.clock.now())
    return verdict === 'clear' ? chooseUpstream(this.context, state, purpose) : undefined
  }

  private startBudgeted (choice: UpstreamChoice, state: CallState, purpose: AttemptPurpose): void {
    this.context.retryBudget.spend()
    this.start(choice, state, purpose)
  }

  private start (choice: UpstreamChoice, state: CallState, purpose: AttemptPurpose): void {
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
        selection: snapshotSelection(context, target, state.call.kind, this.countWaiting(), now)
      },
      callState: state,
      upstreamState: target,
      startedAt: now,
      predictedWaitMs: context.serviceTimes.predictedWaitMs(target, now, target.reportTrust),
      reportedWaitMs: context.serviceTimes.predictedWaitMs(target, now, 1),
      lastProgressAt: now,
      hasStalled: false,
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
}
