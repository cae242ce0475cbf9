import type { Milliseconds } from '../../types/clock.js'
import type { RequestKind } from '../../types/requestKind.js'
import type { RoutingPolicy } from '../../types/routingPolicy.js'
import type { LoadReport } from '../../types/upstream.js'
import { LatencyHistogram } from '../../utils/latencyHistogram.js'
import { decayFactor } from '../../utils/decayFactor.js'
import type { UpstreamState } from '../health/upstreamState.js'

// Bounds on the ratio learned from one response, so that a single pause does not distort the estimate.
const MAX_RATIO = 20
const MIN_RATIO = 0.05
const KIND_LEARNING_RATE = 0.02
const DEFAULT_SERVICE_TIME_MS = 5
// Typical service time as a share of the kind's target, assumed until the first response.
const TYPICAL_TARGET_SHARE = 0.4

const RESPONSE_SIZE_LEARNING_RATE = 0.1
const RELATIVE_TIME_LEARNING_RATE = 0.02

interface KindModel {
  meanMs: Milliseconds | undefined
  responseBytes: number | undefined
  readonly latencies: LatencyHistogram
}

/**
 * Learns service times. The time of a response is split into the mean of its kind and the ratio of its
 * upstream to the others, so that upstreams that served different mixes of kinds can be compared.
 */
export class ServiceTimeModel {
  private readonly kinds = new Map<string, KindModel>()
  private meanMs: Milliseconds | undefined
  /** Mean of the typical service times of the kinds called before the first response. */
  private initialMeanMs: Milliseconds | undefined
  /** Mean of the reported relative times. */
  private meanRelativeTime = 1

  private constructor (private policy: RoutingPolicy) {}

  static create (policy: RoutingPolicy): ServiceTimeModel {
    return new ServiceTimeModel(policy)
  }

  setPolicy (policy: RoutingPolicy): void {
    this.policy = policy
  }

  /** Mean service time over all kinds; estimated from targets before the first response. */
  meanServiceMs (): Milliseconds {
    return this.meanMs ?? this.initialMeanMs ?? DEFAULT_SERVICE_TIME_MS
  }

  /**
   * Handles the arrival of a call. Until the first response, targets serve to estimate service times: a VM that starts
   * during a backlog would otherwise queue far more calls than it can serve in time.
   */
  onCall (kind: RequestKind): void {
    if (this.meanMs !== undefined || kind.targetMs === undefined) return
    this.initialMeanMs = smooth(this.initialMeanMs ?? typicalMs(kind.targetMs), typicalMs(kind.targetMs), KIND_LEARNING_RATE)
  }

  /** Quantile of a kind's attempt latency; undefined until `minSamples` responses arrived. */
  quantileMs (kind: RequestKind, share: number, minSamples = 1): Milliseconds | undefined {
    const latencies = this.kinds.get(kind.name)?.latencies
    if (latencies === undefined || latencies.sampleCount < minSamples) return undefined
    return latencies.quantile(share)
  }

  /** Expected service time of `kind` at an upstream. */
  expectedServiceMs (kind: RequestKind, state: UpstreamState, now: Milliseconds): Milliseconds {
    return this.meanServiceMsOf(kind) * this.serviceTimeRatioOf(state, now) * this.relativeTimeOf(state, now)
  }

  /** Current service time at the upstream relative to its usual one: its last report, decaying towards the mean of all. */
  relativeTimeOf (state: UpstreamState, now: Milliseconds): number {
    const { report } = state
    if (report?.relativeTime === undefined) return this.meanRelativeTime
    const weight = Math.exp(-Math.max(0, now - report.receivedAt) / this.policy.relativeTimeAgingMs)
    return this.meanRelativeTime + (report.relativeTime - this.meanRelativeTime) * weight
  }

  /** Learns the mean relative time from a report. */
  onReport (report: LoadReport): void {
    if (report.relativeTime === undefined) return
    this.meanRelativeTime = smooth(this.meanRelativeTime, report.relativeTime, RELATIVE_TIME_LEARNING_RATE)
  }

  /** Mean size of a kind's responses; 0 before the first one. */
  responseBytesOf (kind: RequestKind): number {
    return this.kinds.get(kind.name)?.responseBytes ?? 0
  }

  onResponseSize (kind: RequestKind, bytes: number): void {
    const model = this.modelOf(kind)
    model.responseBytes = smooth(model.responseBytes ?? bytes, bytes, RESPONSE_SIZE_LEARNING_RATE)
  }

  /** Predicted wait for a slot at an upstream by its last report, which counts less with age and with lower `trust`. */
  predictedWaitMs (state: UpstreamState, now: Milliseconds, trust: number): Milliseconds {
    const serviceMs = this.meanServiceMs() * this.serviceTimeRatioOf(state, now) * this.relativeTimeOf(state, now)
    if (state.report === undefined || state.slots === undefined) return 0
    const others = Math.max(0, state.report.inFlight + state.report.queued - state.inFlightAtReport)
    const weight = trust * Math.exp(-(now - state.report.receivedAt) / serviceMs)
    const excess = state.inFlight + others * weight + 1 - state.slots
    return Math.max(0, excess) * serviceMs / state.slots
  }

  /**
   * Learns from a response that took `latencyMs`, of which `waitMs` is the predicted wait for a slot, while requests
   * took `relativeTime` times as long as usual according to the upstream's reports.
   */
  onResponse (kind: RequestKind, state: UpstreamState, latencyMs: Milliseconds, waitMs: Milliseconds, now: Milliseconds, relativeTime = 1): void {
    const model = this.modelOf(kind)
    model.latencies.add(latencyMs)
    const serviceMs = Math.max(latencyMs - waitMs, latencyMs / 3) / relativeTime
    model.meanMs ??= serviceMs
    const ratio = clamp(serviceMs / Math.max(model.meanMs, 0.001), MIN_RATIO, MAX_RATIO)
    model.meanMs = smooth(model.meanMs, serviceMs / this.serviceTimeRatioOf(state, now), KIND_LEARNING_RATE)
    this.meanMs = smooth(this.meanMs ?? serviceMs, serviceMs, KIND_LEARNING_RATE)
    this.learnRatio(state, ratio, now)
  }

  /** Learns from an attempt abandoned after `elapsedMs`: a lower bound, which is used only if it raises the estimate. */
  onAbandoned (kind: RequestKind, state: UpstreamState, elapsedMs: Milliseconds, now: Milliseconds): void {
    if (elapsedMs > this.expectedServiceMs(kind, state, now)) this.onResponse(kind, state, elapsedMs, 0, now)
  }

  /** Discards what was learned about an upstream, so that one that was ejected for it starts afresh. */
  reset (state: UpstreamState): void {
    state.longTermRatio = undefined
    state.shortTermRatio = undefined
    state.serviceTimeMs = undefined
  }

  /** Ratio of a response time to the mean service time of its kind. */
  ratioToKindMean (kind: RequestKind, latencyMs: Milliseconds): number {
    return latencyMs / this.meanServiceMsOf(kind)
  }

  /** Mean service time of `kind`. */
  meanServiceMsOf (kind: RequestKind): Milliseconds {
    const { targetMs } = kind
    return this.kinds.get(kind.name)?.meanMs ?? (targetMs === undefined ? this.meanServiceMs() : typicalMs(targetMs))
  }

  /** Updates `state.serviceTimeMs`; must be called before a picker reads the state. */
  refreshServiceTime (state: UpstreamState, now: Milliseconds): void {
    if (state.longTermRatio === undefined && state.report?.relativeTime === undefined) return
    state.serviceTimeMs = this.meanServiceMs() * this.serviceTimeRatioOf(state, now) * this.relativeTimeOf(state, now)
  }

  /** Ratio of the upstream's service times to the mean; decays to 1 without responses, so that a slow one is tried again. */
  serviceTimeRatioOf (state: UpstreamState, now: Milliseconds): number {
    if (state.longTermRatio === undefined || state.shortTermRatio === undefined) return 1
    const isSlowdownSudden = state.shortTermRatio > state.longTermRatio * this.policy.slowdownRatio
    const ratio = isSlowdownSudden ? state.shortTermRatio : state.longTermRatio
    return 1 + (ratio - 1) * decayFactor(now - state.learnedAt, this.policy.forgetMs)
  }

  private learnRatio (state: UpstreamState, ratio: number, now: Milliseconds): void {
    const remaining = decayFactor(now - state.learnedAt, this.policy.forgetMs)
    const longTerm = 1 + ((state.longTermRatio ?? 1) - 1) * remaining
    const shortTerm = 1 + ((state.shortTermRatio ?? 1) - 1) * remaining
    state.longTermRatio = smooth(longTerm, ratio, this.policy.learningRate)
    state.shortTermRatio = smooth(shortTerm, ratio, this.policy.fastLearningRate)
    state.learnedAt = now
  }

  private modelOf (kind: RequestKind): KindModel {
    const known = this.kinds.get(kind.name)
    if (known !== undefined) return known
    const created: KindModel = { meanMs: undefined, responseBytes: undefined, latencies: LatencyHistogram.create() }
    this.kinds.set(kind.name, created)
    return created
  }
}

function typicalMs (targetMs: Milliseconds): Milliseconds {
  return targetMs * TYPICAL_TARGET_SHARE
}

function smooth (current: number, sample: number, weight: number): number {
  return current + (sample - current) * weight
}

function clamp (value: number, low: number, high: number): number {
  return Math.min(Math.max(value, low), high)
}
