import type { Milliseconds } from '../../types/clock.js'
import type { AttemptEnd } from '../../types/dispatch.js'
import type { LoadReport, RateNotice, ResponseSignals } from '../../types/upstream.js'
import { resultCodeOf, isUpstreamFailure, failureResult } from './attemptEnds.js'
import type { CallEngine } from './callEngine.js'
import { recordProgress, type AttemptState, type CallState } from './callState.js'
import { mayHaveCausedCrash, recordCrash } from '../health/crashes.js'
import { updateTrustFromLatency, updateTrustFromReport } from '../routing/reportTrust.js'
import type { RoutingContext } from './routingContext.js'
import { applySignals } from '../health/upstreamSignals.js'
import type { UpstreamState } from '../health/upstreamState.js'

const MAX_SHED_BACKOFF_MS = 50

/** Handles events of attempts and load reports, and updates the state of the upstream, the request and the call. */
export class AttemptEventHandler {
  private constructor (private readonly context: RoutingContext, private readonly engine: CallEngine) {}

  static create (context: RoutingContext, engine: CallEngine): AttemptEventHandler {
    return new AttemptEventHandler(context, engine)
  }

  /** See `Dispatcher.onAttemptResponding`. */
  onResponding (attempt: AttemptState, isServerError: boolean): 'deliver' | 'discard' {
    const { callState } = attempt
    recordProgress(attempt, this.context.clock.now())
    if (callState.respondingAttemptId !== undefined) return callState.respondingAttemptId === attempt.attempt.id ? 'deliver' : 'discard'
    if (attempt.isDiscarded) return 'discard'
    if (isServerError && this.canWithholdError(callState, attempt)) {
      attempt.isDiscarded = true
      return 'discard'
    }
    callState.respondingAttemptId = attempt.attempt.id
    this.engine.cancelRunning(callState, 'lostHedge', attempt)
    this.engine.rearm(attempt)
    return 'deliver'
  }

  /** See `Dispatcher.onAttemptEnd`. */
  onEnd (attempt: AttemptState, end: AttemptEnd): void {
    this.engine.removeAttempt(attempt)
    if (end.report !== undefined) this.onReport(attempt.upstreamState, end.report)
    this.updateUpstream(attempt, end)
    this.updateSuspects(attempt, end)
    this.settleCall(attempt, end)
  }

  onReport (state: UpstreamState, report: LoadReport): void {
    updateTrustFromReport(state, report, this.context.policy)
    this.context.serviceTimes.onReport(report)
    this.context.table.onReport(state, report)
    if (report.draining) this.context.table.markDraining(state, report.receivedAt + this.context.policy.drainHoldMs)
  }

  onRateNotice (state: UpstreamState, notice: RateNotice): void {
    const change = state.rateLimit.onNotice(notice, this.context.clock.now())
    if (change !== undefined) this.context.port.onRateLimit?.({ upstreamId: state.upstream.id, ...change })
  }

  /** Handles what the head of a response says about new work. Waiting calls may then be out of reach and are refused. */
  onSignals (state: UpstreamState, signals: ResponseSignals): void {
    if (applySignals(this.context, state, signals)) this.engine.startWaitingCalls()
  }

  private updateUpstream (attempt: AttemptState, end: AttemptEnd): void {
    if (end.retryAfterMs !== undefined) this.recordPause(attempt)
    else if (isUpstreamFailure(end)) this.recordFailure(attempt, end)
    else if (end.kind === 'answered') this.recordResponse(attempt, end)
    else if (end.kind === 'notRun') this.recordShed(attempt)
    else if (attempt.isTrial) this.context.outliers.onTrialAbandoned(attempt.upstreamState)
  }

  private recordFailure (attempt: AttemptState, end: AttemptEnd): void {
    const { serviceTimes, outliers, clock, policy } = this.context
    const now = clock.now()
    const { kind } = attempt.callState.call
    const isFast = now - attempt.startedAt < policy.fastErrorShare * serviceTimes.meanServiceMsOf(kind)
    attempt.upstreamState.failures += 1
    attempt.upstreamState.adaptiveLimit.onRefusal()
    const isDown = end.kind === 'notRun' || end.kind === 'crashed'
    if (isDown) this.startBackoff(attempt.upstreamState, now)
    if (this.isSeparateFailure(attempt, end, now)) outliers.onFailure(attempt.upstreamState, isFast, attempt.isTrial, now)
  }

  /**
   * Attempts lost in one crash count as one failure, and connections refused while the upstream restarts count as none,
   * because the backoff covers both. An ejection would keep the upstream out for seconds after a restart of 200 ms.
   */
  private isSeparateFailure (attempt: AttemptState, end: AttemptEnd, now: Milliseconds): boolean {
    if (end.kind === 'crashed') return recordCrash(attempt, now) || attempt.isTrial
    return end.kind !== 'notRun' || attempt.isTrial
  }

  /**
   * Pauses new work after a refused or lost connection or a failed probe, so that calls do not spend their attempts
   * within a millisecond on upstreams that are not listening. The ejection cap does not apply, because an unreachable
   * upstream offers no capacity to protect. The pause grows with the time down, so that the recovery is noticed within
   * a fixed share of the outage.
   */
  startBackoff (state: UpstreamState, now: Milliseconds): void {
    const { refusedBackOffMs, refusedBackOffMaxMs, refusedBackOffShare } = this.context.policy
    state.downSince ??= now
    const pauseMs = Math.max(refusedBackOffMs, (now - state.downSince) * refusedBackOffShare)
    state.backoffUntil = now + Math.min(pauseMs, refusedBackOffMaxMs)
  }

  private recordResponse (attempt: AttemptState, end: AttemptEnd): void {
    const { serviceTimes, outliers, clock, policy } = this.context
    const now = clock.now()
    const latencyMs = now - attempt.startedAt
    attempt.upstreamState.downSince = undefined
    const { kind } = attempt.callState.call
    if (end.bytes !== undefined) serviceTimes.onResponseSize(kind, end.bytes)
    updateTrustFromLatency(attempt, latencyMs, policy)
    const ratio = serviceTimes.ratioToKindMean(kind, latencyMs)
    const relativeTime = (attempt.attempt.selection.relativeTime + serviceTimes.relativeTimeOf(attempt.upstreamState, now)) / 2
    serviceTimes.onResponse(kind, attempt.upstreamState, latencyMs, attempt.predictedWaitMs, now, relativeTime)
    attempt.upstreamState.adaptiveLimit.onLatency(latencyMs, attempt.upstreamState.inFlight + 1, policy)
    outliers.onSuccess(attempt.upstreamState, ratio, attempt.isTrial, now)
  }

  private recordShed (attempt: AttemptState): void {
    const { clock, serviceTimes } = this.context
    attempt.upstreamState.adaptiveLimit.onRefusal()
    attempt.upstreamState.backoffUntil = clock.now() + Math.min(serviceTimes.meanServiceMs(), MAX_SHED_BACKOFF_MS)
    if (attempt.isTrial) this.context.outliers.onTrialAbandoned(attempt.upstreamState)
  }

  /**
   * Handles a refusal that asks for a pause. All refusals of one pause count as one failure, because requests in flight at
   * its beginning would otherwise have the upstream ejected.
   */
  private recordPause ({ upstreamState, isTrial }: AttemptState): void {
    const { outliers, clock } = this.context
    upstreamState.adaptiveLimit.onRefusal()
    if (upstreamState.pause.countFailure()) outliers.onFailure(upstreamState, false, isTrial, clock.now())
    else if (isTrial) outliers.onTrialAbandoned(upstreamState)
  }

  private updateSuspects (attempt: AttemptState, end: AttemptEnd): void {
    const { fingerprint } = attempt.callState.call
    if (end.kind === 'answered') this.context.suspects.onResponse(fingerprint)
    if (end.kind !== 'crashed' || !mayHaveCausedCrash(attempt)) return
    const mark = this.context.suspects.onCrash(fingerprint, attempt.attempt.upstreamId, this.context.clock.now())
    this.context.port.shareSuspects?.([mark])
    this.engine.onCrash(attempt.callState)
  }

  private settleCall (attempt: AttemptState, end: AttemptEnd): void {
    const { callState } = attempt
    const isResponding = callState.respondingAttemptId === attempt.attempt.id
    if (end.kind !== 'notRun') callState.mayHaveRun = true
    const isWithheld = attempt.isDiscarded ||
      (end.serverError === true && !isResponding && this.canWithholdError(callState, attempt))
    if (end.kind === 'answered' && !isWithheld) return this.engine.deliver(callState, attempt)
    const code = resultCodeOf(end)
    callState.lastResultCode = code
    if (isResponding) return this.engine.finish(callState, failureResult(callState, code))
    if (callState.running.length === 0) this.engine.retryOrFinish(callState, code)
    else this.engine.recheckRunning(callState)
  }

  /** Whether a server error can be withheld because another attempt makes progress or can start at once. */
  private canWithholdError (state: CallState, attempt: AttemptState): boolean {
    if (!state.call.kind.idempotent) return false
    if (state.running.some(other => other !== attempt && !other.hasStalled)) return true
    return this.engine.mayRetry(state) && this.context.retryBudget.canRetry()
  }
}
