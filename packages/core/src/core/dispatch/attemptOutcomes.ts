import type { Milliseconds } from '../../types/clock.js'
import type { AttemptEnd } from '../../types/dispatch.js'
import type { LoadReport } from '../../types/upstream.js'
import { codeOfEnd, isUpstreamFailure, resultWithoutAnswer } from './attemptEnds.js'
import type { CallEngine } from './callEngine.js'
import type { AttemptState, CallState } from './callState.js'
import { isCandidate, noteCrash } from '../health/crashes.js'
import { judgeLatency, judgeReport } from '../routing/reportTrust.js'
import type { RoutingContext } from './routingContext.js'
import type { UpstreamState } from '../health/upstreamState.js'

const LONGEST_BACK_OFF_MS = 50

/** Draws conclusions from how attempts end: for the upstream, for the request and for the call. */
export class AttemptOutcomes {
  private constructor (private readonly context: RoutingContext, private readonly engine: CallEngine) {}

  static create (context: RoutingContext, engine: CallEngine): AttemptOutcomes {
    return new AttemptOutcomes(context, engine)
  }

  onResponding (attempt: AttemptState, isServerError: boolean): 'deliver' | 'discard' {
    const { owner } = attempt
    attempt.progressAt = this.context.clock.now()
    if (owner.respondingId !== undefined) return owner.respondingId === attempt.attempt.id ? 'deliver' : 'discard'
    if (attempt.isDiscarded) return 'discard'
    if (isServerError && this.canAnswerElsewhere(owner, attempt)) {
      attempt.isDiscarded = true
      return 'discard'
    }
    owner.respondingId = attempt.attempt.id
    this.engine.cancelRunning(owner, 'lostHedge', attempt)
    this.engine.rearm(attempt)
    return 'deliver'
  }

  onEnd (attempt: AttemptState, end: AttemptEnd): void {
    this.engine.release(attempt)
    if (end.report !== undefined) this.takeReport(attempt.state, end.report)
    this.learnUpstream(attempt, end)
    this.learnRequest(attempt, end)
    this.settle(attempt, end)
  }

  takeReport (state: UpstreamState, report: LoadReport): void {
    judgeReport(state, report, this.context.policy)
    this.context.model.onReport(report)
    this.context.table.takeReport(state, report)
    if (report.draining) this.context.table.markDraining(state, report.receivedAt + this.context.policy.drainHoldMs)
  }

  private learnUpstream (attempt: AttemptState, end: AttemptEnd): void {
    if (isUpstreamFailure(end)) this.learnFailure(attempt, end)
    else if (end.kind === 'answered') this.learnAnswer(attempt, end)
    else if (end.kind === 'notRun') this.learnShed(attempt)
    else if (attempt.isTrial) this.context.outliers.onTrialAbandoned(attempt.state)
  }

  private learnFailure (attempt: AttemptState, end: AttemptEnd): void {
    const { model, outliers, clock, policy } = this.context
    const now = clock.now()
    const { kind } = attempt.owner.call
    const isFast = now - attempt.startedAt < policy.fastErrorShare * model.kindMs(kind)
    attempt.state.failures += 1
    attempt.state.adaptiveLimit.onRefusal()
    const isDown = end.kind === 'notRun' || end.kind === 'crashed'
    if (isDown) this.backOff(attempt.state, now)
    if (this.isNewFailure(attempt, end, now)) outliers.onFailure(attempt.state, isFast, attempt.isTrial, now)
  }

  /**
   * Attempts lost in one crash are one failure, and connections refused while the upstream restarts are none: the
   * back-off covers both. Ejected for them, an upstream would stay out for seconds after a restart of 200 ms.
   */
  private isNewFailure (attempt: AttemptState, end: AttemptEnd, now: Milliseconds): boolean {
    if (end.kind === 'crashed') return noteCrash(attempt, now) || attempt.isTrial
    return end.kind !== 'notRun' || attempt.isTrial
  }

  /**
   * A refused or lost connection leaves no capacity to protect, so this holds whatever the ejection cap says:
   * calls would spend their attempts within a millisecond on upstreams that are not listening. The pause grows with
   * the time down, so that the return is noticed after a fixed part of the outage. The same holds for probes that
   * find no upstream.
   */
  backOff (state: UpstreamState, now: Milliseconds): void {
    const { refusedBackOffMs, refusedBackOffMaxMs, refusedBackOffShare } = this.context.policy
    state.downSince ??= now
    const pauseMs = Math.max(refusedBackOffMs, (now - state.downSince) * refusedBackOffShare)
    state.backOffUntil = now + Math.min(pauseMs, refusedBackOffMaxMs)
  }

  private learnAnswer (attempt: AttemptState, end: AttemptEnd): void {
    const { model, outliers, clock, policy } = this.context
    const now = clock.now()
    const latencyMs = now - attempt.startedAt
    attempt.state.downSince = undefined
    const { kind } = attempt.owner.call
    if (end.bytes !== undefined) model.onAnswerSize(kind, end.bytes)
    judgeLatency(attempt, latencyMs, policy)
    const ratio = model.ratioOfLatency(kind, latencyMs)
    const relativeTime = (attempt.attempt.basis.relativeTime + model.relativeTimeOf(attempt.state, now)) / 2
    model.onAnswer(kind, attempt.state, latencyMs, attempt.predictedWaitMs, now, relativeTime)
    attempt.state.adaptiveLimit.onLatency(latencyMs, attempt.state.inFlight + 1, policy)
    outliers.onSuccess(attempt.state, ratio, attempt.isTrial, now)
  }

  private learnShed (attempt: AttemptState): void {
    const { clock, model } = this.context
    attempt.state.adaptiveLimit.onRefusal()
    attempt.state.backOffUntil = clock.now() + Math.min(model.meanServiceMs(), LONGEST_BACK_OFF_MS)
    if (attempt.isTrial) this.context.outliers.onTrialAbandoned(attempt.state)
  }

  private learnRequest (attempt: AttemptState, end: AttemptEnd): void {
    const { fingerprint } = attempt.owner.call
    if (end.kind === 'answered') this.context.suspects.onAnswer(fingerprint)
    if (end.kind !== 'crashed' || !isCandidate(attempt)) return
    const mark = this.context.suspects.onCrash(fingerprint, attempt.attempt.upstreamId, this.context.clock.now())
    this.context.port.shareSuspects?.([mark])
    this.engine.onCrash(attempt.owner)
  }

  private settle (attempt: AttemptState, end: AttemptEnd): void {
    const { owner } = attempt
    const isResponding = owner.respondingId === attempt.attempt.id
    if (end.kind !== 'notRun') owner.mayHaveRun = true
    const isWithheld = attempt.isDiscarded || (end.serverError === true && !isResponding && this.canAnswerElsewhere(owner, attempt))
    if (end.kind === 'answered' && !isWithheld) return this.engine.deliver(owner, attempt)
    const code = codeOfEnd(end)
    owner.lastCode = code
    if (isResponding) return this.engine.finish(owner, resultWithoutAnswer(owner, code))
    if (owner.running.length === 0) this.engine.retryOrFinish(owner, code)
  }

  /** Whether a server error can be withheld because another attempt is under way or will be made at once. */
  private canAnswerElsewhere (state: CallState, attempt: AttemptState): boolean {
    if (!state.call.kind.idempotent) return false
    if (state.running.some(other => other !== attempt)) return true
    return this.engine.mayRetry(state) && this.context.budget.canRetry()
  }
}
