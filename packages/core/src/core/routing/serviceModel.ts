import type { Milliseconds } from '../../types/clock.js'
import type { RequestKind } from '../../types/requestKind.js'
import type { RoutingPolicy } from '../../types/routingPolicy.js'
import type { LoadReport } from '../../types/upstream.js'
import { LatencyHistogram } from '../../utils/latencyHistogram.js'
import { keptShare } from '../../utils/keptShare.js'
import type { UpstreamState } from '../health/upstreamState.js'

// One response never moves an estimate by more than this ratio; a single pause is not a trend.
const LARGEST_RATIO = 20
const SMALLEST_RATIO = 0.05
const KIND_LEARNING_RATE = 0.02
const FIRST_GUESS_MS = 5
// Work usually takes this share of the time within which an answer is of full use.
const USUAL_TARGET_SHARE = 0.4

const ANSWER_SIZE_LEARNING_RATE = 0.1
const RELATIVE_TIME_LEARNING_RATE = 0.02

interface KindModel {
  baseMs: Milliseconds | undefined
  answerBytes: number | undefined
  readonly latencies: LatencyHistogram
}

/**
 * Learned times. A response's time is split into the mean of its kind and the ratio of its upstream
 * to other upstreams, so that upstreams can be compared although they ran different mixes of kinds.
 */
export class ServiceModel {
  private readonly kinds = new Map<string, KindModel>()
  private meanMs: Milliseconds | undefined
  /** Mean of the usual times of the kinds seen before the first response. */
  private guessMs: Milliseconds | undefined
  /** Mean of the relative times in reports. */
  private meanRelativeTime = 1

  private constructor (private policy: RoutingPolicy) {}

  static create (policy: RoutingPolicy): ServiceModel {
    return new ServiceModel(policy)
  }

  setPolicy (policy: RoutingPolicy): void {
    this.policy = policy
  }

  /** Mean time in a slot over all kinds; a guess before the first response. */
  meanServiceMs (): Milliseconds {
    return this.meanMs ?? this.guessMs ?? FIRST_GUESS_MS
  }

  /**
   * A call arrived. Until the first response, targets tell how long work takes: a VM that started amid a backlog would
   * otherwise let far more calls wait than it can serve in time.
   */
  onCall (kind: RequestKind): void {
    if (this.meanMs !== undefined || kind.targetMs === undefined) return
    this.guessMs = mix(this.guessMs ?? usualMs(kind.targetMs), usualMs(kind.targetMs), KIND_LEARNING_RATE)
  }

  /** Quantile of a kind's attempt latency; undefined before `minSamples` responses. */
  quantileMs (kind: RequestKind, share: number, minSamples = 1): Milliseconds | undefined {
    const latencies = this.kinds.get(kind.name)?.latencies
    if (latencies === undefined || latencies.size < minSamples) return undefined
    return latencies.quantile(share)
  }

  /** Expected time of `kind` in a slot of `state`. */
  expectedMs (kind: RequestKind, state: UpstreamState, now: Milliseconds): Milliseconds {
    return this.kindMs(kind) * this.ratioOf(state, now) * this.relativeTimeOf(state, now)
  }

  /** How long work takes at the upstream now, relative to its usual time: its last report, aged towards the mean of all. */
  relativeTimeOf (state: UpstreamState, now: Milliseconds): number {
    const { report } = state
    if (report?.relativeTime === undefined) return this.meanRelativeTime
    const kept = Math.exp(-Math.max(0, now - report.receivedAt) / this.policy.relativeTimeAgingMs)
    return this.meanRelativeTime + (report.relativeTime - this.meanRelativeTime) * kept
  }

  /** Takes note of a report. */
  onReport (report: LoadReport): void {
    if (report.relativeTime === undefined) return
    this.meanRelativeTime = mix(this.meanRelativeTime, report.relativeTime, RELATIVE_TIME_LEARNING_RATE)
  }

  /** Mean size of a kind's answers; 0 before the first. */
  answerBytesOf (kind: RequestKind): number {
    return this.kinds.get(kind.name)?.answerBytes ?? 0
  }

  onAnswerSize (kind: RequestKind, bytes: number): void {
    const model = this.kindOf(kind)
    model.answerBytes = mix(model.answerBytes ?? bytes, bytes, ANSWER_SIZE_LEARNING_RATE)
  }

  /** Wait for a slot at `state` by the last report, as far as the report is recent and trusted. */
  predictedWaitMs (state: UpstreamState, now: Milliseconds, trust: number): Milliseconds {
    const serviceMs = this.meanServiceMs() * this.ratioOf(state, now) * this.relativeTimeOf(state, now)
    if (state.report === undefined || state.slots === undefined) return 0
    const others = Math.max(0, state.report.inFlight + state.report.queued - state.inFlightAtReport)
    const kept = trust * Math.exp(-(now - state.report.receivedAt) / serviceMs)
    const excess = state.inFlight + others * kept + 1 - state.slots
    return Math.max(0, excess) * serviceMs / state.slots
  }

  /**
   * Learns from a response that took `latencyMs`, of which `waitMs` is the predicted wait for a slot, while work took
   * `relativeTime` times as long as usual by the upstream's reports.
   */
  onAnswer (kind: RequestKind, state: UpstreamState, latencyMs: Milliseconds, waitMs: Milliseconds, now: Milliseconds, relativeTime = 1): void {
    const model = this.kindOf(kind)
    model.latencies.add(latencyMs)
    const served = Math.max(latencyMs - waitMs, latencyMs / 3) / relativeTime
    model.baseMs ??= served
    const ratio = clamp(served / Math.max(model.baseMs, 0.001), SMALLEST_RATIO, LARGEST_RATIO)
    model.baseMs = mix(model.baseMs, served / this.ratioOf(state, now), KIND_LEARNING_RATE)
    this.meanMs = mix(this.meanMs ?? served, served, KIND_LEARNING_RATE)
    this.learnRatio(state, ratio, now)
  }

  /** Learns from an attempt that was abandoned after `elapsedMs`: a lower bound, used only where it raises the estimate. */
  onAbandoned (kind: RequestKind, state: UpstreamState, elapsedMs: Milliseconds, now: Milliseconds): void {
    if (elapsedMs > this.expectedMs(kind, state, now)) this.onAnswer(kind, state, elapsedMs, 0, now)
  }

  /** Drops what was learned of an upstream, for example because it was ejected for it. */
  forget (state: UpstreamState): void {
    state.slowRatio = undefined
    state.fastRatio = undefined
    state.serviceTimeMs = undefined
  }

  /** Ratio of a response's time to the mean of its kind. */
  ratioOfLatency (kind: RequestKind, latencyMs: Milliseconds): number {
    return latencyMs / this.kindMs(kind)
  }

  /** Mean time of `kind` in a slot. */
  kindMs (kind: RequestKind): Milliseconds {
    const { targetMs } = kind
    return this.kinds.get(kind.name)?.baseMs ?? (targetMs === undefined ? this.meanServiceMs() : usualMs(targetMs))
  }

  /** Brings `state.serviceTimeMs` up to date; called before the state is shown to a picker. */
  refresh (state: UpstreamState, now: Milliseconds): void {
    if (state.slowRatio === undefined && state.report?.relativeTime === undefined) return
    state.serviceTimeMs = this.meanServiceMs() * this.ratioOf(state, now) * this.relativeTimeOf(state, now)
  }

  /** Ratio of the upstream's times to the mean; returns to 1 while no response confirms it, so that a slow upstream is tried again. */
  ratioOf (state: UpstreamState, now: Milliseconds): number {
    if (state.slowRatio === undefined || state.fastRatio === undefined) return 1
    const sudden = state.fastRatio > state.slowRatio * this.policy.slowdownRatio
    const ratio = sudden ? state.fastRatio : state.slowRatio
    return 1 + (ratio - 1) * keptShare(now - state.learnedAt, this.policy.forgetMs)
  }

  private learnRatio (state: UpstreamState, ratio: number, now: Milliseconds): void {
    const kept = keptShare(now - state.learnedAt, this.policy.forgetMs)
    const slow = 1 + ((state.slowRatio ?? 1) - 1) * kept
    const fast = 1 + ((state.fastRatio ?? 1) - 1) * kept
    state.slowRatio = mix(slow, ratio, this.policy.learningRate)
    state.fastRatio = mix(fast, ratio, this.policy.fastLearningRate)
    state.learnedAt = now
  }

  private kindOf (kind: RequestKind): KindModel {
    const known = this.kinds.get(kind.name)
    if (known !== undefined) return known
    const created: KindModel = { baseMs: undefined, answerBytes: undefined, latencies: LatencyHistogram.create() }
    this.kinds.set(kind.name, created)
    return created
  }
}

function usualMs (targetMs: Milliseconds): Milliseconds {
  return targetMs * USUAL_TARGET_SHARE
}

function mix (current: number, sample: number, weight: number): number {
  return current + (sample - current) * weight
}

function clamp (value: number, low: number, high: number): number {
  return Math.min(Math.max(value, low), high)
}
