import type { Milliseconds } from '../../types/clock.js'
import type { RoutingPolicy } from '../../types/routingPolicy.js'
import { decayFactor } from '../../utils/decayFactor.js'
import type { Counters } from '../dispatch/dispatchCounters.js'
import type { ServiceTimeModel } from '../routing/serviceTimeModel.js'
import type { UpstreamState } from './upstreamState.js'
import { isDraining } from './upstreamTable.js'

const ERROR_LEARNING_RATE = 0.2
// With fewer results, the error share and the mean time are not significant.
const MIN_RESULTS = 10
// A slow tail is normal: an overtaken attempt counts as less than a failure, so that only several in a row cause ejection.
const OVERTAKEN_FAILURE_WEIGHT = 0.5
const MIN_WARMTH = 0.1

/** Ejects upstreams that fail or are far slower than the others; readmits them after trial calls, with a slow start. */
export class OutlierDetector {
  private constructor (
    private policy: RoutingPolicy,
    private readonly serviceTimes: ServiceTimeModel,
    private readonly counters: Counters,
    private readonly upstreams: () => readonly UpstreamState[]
  ) {}

  static create (policy: RoutingPolicy, serviceTimes: ServiceTimeModel, counters: Counters, upstreams: () => readonly UpstreamState[]): OutlierDetector {
    return new OutlierDetector(policy, serviceTimes, counters, upstreams)
  }

  setPolicy (policy: RoutingPolicy): void {
    this.policy = policy
  }

  /** Handles a complete response without a server error. `latencyRatio` relates its time to the mean of its kind. */
  onSuccess (state: UpstreamState, latencyRatio: number, isTrial: boolean, now: Milliseconds): void {
    if (isTrial && latencyRatio >= state.policy.ejectionSlowRatio) return this.onTrialFailure(state, now)
    this.recordResult(state, 0, now)
    state.consecutiveFailures = 0
    if (isTrial) this.onTrialSuccess(state, now)
    else if (this.isSlow(state, now)) this.eject(state, now)
  }

  /** Handles a failed attempt; `isFast` if it ended sooner than the request could have been processed. */
  onFailure (state: UpstreamState, isFast: boolean, isTrial: boolean, now: Milliseconds): void {
    this.recordResult(state, 1, now)
    state.consecutiveFailures += isFast ? 2 : 1
    if (isTrial) return this.onTrialFailure(state, now)
    const hasTooManyErrors = state.resultCount >= MIN_RESULTS && state.errorShare > state.policy.ejectionErrorShare
    if (hasTooManyErrors || state.consecutiveFailures >= state.policy.ejectionFailures) this.eject(state, now)
  }

  /**
   * Handles an attempt whose call got a response from another attempt first. This is the only sign of an
   * upstream that hangs, because hedges complete its calls.
   */
  onOvertaken (state: UpstreamState, isHedge: boolean, now: Milliseconds): void {
    if (isHedge) return
    state.consecutiveFailures += OVERTAKEN_FAILURE_WEIGHT
    if (state.consecutiveFailures >= state.policy.ejectionFailures) this.eject(state, now)
  }

  /** Updates the time-dependent fields of `state`. */
  refresh (state: UpstreamState, now: Milliseconds): void {
    this.readmitUntested(state, now)
    state.errorShare = this.agedErrorShare(state, now)
    const warmMs = now - state.slowStartedAt
    state.warmth = Math.min(1, Math.max(MIN_WARMTH, warmMs / state.policy.slowStartMs))
  }

  /**
   * Finds an ejected upstream that is due for a trial call. Draining upstreams get none, as they accept no new work, nor
   * does one that is paused or whose request rate is used up.
   */
  findDueForTrial (now: Milliseconds): UpstreamState | undefined {
    return this.upstreams().find(state => {
      const isDue = state.isEjected && !state.isTrialRunning && state.nextTrialAt <= now
      return isDue && !isDraining(state, now) && !state.pause.isActive(now) && state.rateLimit.allows(now)
    })
  }

  onTrialStart (state: UpstreamState, now: Milliseconds): void {
    state.isTrialRunning = true
    state.nextTrialAt = now + state.policy.trickleIntervalMs
  }

  /** Handles a trial that ended without a result, for example because the caller disconnected. */
  onTrialAbandoned (state: UpstreamState): void {
    state.isTrialRunning = false
  }

  private recordResult (state: UpstreamState, failed: number, now: Milliseconds): void {
    const share = this.agedErrorShare(state, now)
    state.resultCount += 1
    state.recordedErrorShare = share + (failed - share) * ERROR_LEARNING_RATE
    state.errorShare = state.recordedErrorShare
    state.recordedAt = now
  }

  // Without decay, an upstream that is avoided because of its errors would never get the call that proves it healthy.
  private agedErrorShare (state: UpstreamState, now: Milliseconds): number {
    return state.recordedErrorShare * decayFactor(now - state.recordedAt, this.policy.forgetMs)
  }

  private isSlow (state: UpstreamState, now: Milliseconds): boolean {
    return state.resultCount >= MIN_RESULTS && this.serviceTimes.serviceTimeRatioOf(state, now) >= state.policy.ejectionSlowRatio
  }

  private eject (state: UpstreamState, now: Milliseconds): void {
    if (state.isEjected || !this.isWithinEjectionCap(state)) return
    if (now - state.slowStartedAt > state.policy.ejectionMaxMs) state.consecutiveEjections = 0
    state.isEjected = true
    this.counters.ejections += 1
    this.scheduleTrial(state, now)
  }

  private isWithinEjectionCap (state: UpstreamState): boolean {
    let total = 0
    let ejected = capacityOf(state)
    for (const other of this.upstreams()) {
      total += capacityOf(other)
      if (other.isEjected) ejected += capacityOf(other)
    }
    return ejected <= total * this.policy.ejectionCapacityShare
  }

  private scheduleTrial (state: UpstreamState, now: Milliseconds): void {
    const waitMs = Math.min(state.policy.ejectionMs * 2 ** state.consecutiveEjections, state.policy.ejectionMaxMs)
    state.consecutiveEjections += 1
    state.trialSuccesses = 0
    state.isTrialRunning = false
    state.nextTrialAt = now + waitMs
  }

  private onTrialSuccess (state: UpstreamState, now: Milliseconds): void {
    state.isTrialRunning = false
    state.trialSuccesses += 1
    if (state.trialSuccesses >= state.policy.trickleSuccesses) this.readmit(state, now)
  }

  private onTrialFailure (state: UpstreamState, now: Milliseconds): void {
    state.isTrialRunning = false
    if (state.isEjected) this.scheduleTrial(state, now)
  }

  private readmit (state: UpstreamState, now: Milliseconds): void {
    state.isEjected = false
    state.consecutiveFailures = 0
    state.recordedErrorShare = 0
    state.resultCount = 0
    state.slowStartedAt = now
    this.serviceTimes.reset(state)
    this.counters.readmissions += 1
  }

  // Trial calls need idempotent calls; in a service without them an upstream would stay ejected forever.
  private readmitUntested (state: UpstreamState, now: Milliseconds): void {
    if (!state.isEjected || state.isTrialRunning) return
    if (now - state.nextTrialAt > state.policy.ejectionMaxMs) this.readmit(state, now)
  }
}

function capacityOf (state: UpstreamState): number {
  return state.slots ?? 1
}
