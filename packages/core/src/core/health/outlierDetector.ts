import type { Milliseconds } from '../../types/clock.js'
import type { RoutingPolicy } from '../../types/routingPolicy.js'
import { keptShare } from '../../utils/keptShare.js'
import type { Counters } from '../dispatch/dispatchCounters.js'
import type { ServiceModel } from '../routing/serviceModel.js'
import type { UpstreamState } from './upstreamState.js'
import { isDraining } from './upstreamTable.js'

const ERROR_LEARNING_RATE = 0.2
// Fewer results than this say nothing about a share of errors or a mean time.
const LEAST_RESULTS = 10
// A slow tail is normal, so several attempts in a row must be overtaken before an upstream is ejected.
const OVERTAKEN_FAILURES = 0.5
const LEAST_WARMTH = 0.1

/** Ejects upstreams that fail or are far slower than the rest, and readmits them by trial calls and a slow start. */
export class OutlierDetector {
  private constructor (
    private policy: RoutingPolicy,
    private readonly model: ServiceModel,
    private readonly counters: Counters,
    private readonly all: () => readonly UpstreamState[]
  ) {}

  static create (policy: RoutingPolicy, model: ServiceModel, counters: Counters, all: () => readonly UpstreamState[]): OutlierDetector {
    return new OutlierDetector(policy, model, counters, all)
  }

  setPolicy (policy: RoutingPolicy): void {
    this.policy = policy
  }

  /** A complete response without a server error. `ratio` compares its time with the kind's mean. */
  onSuccess (state: UpstreamState, ratio: number, isTrial: boolean, now: Milliseconds): void {
    if (isTrial && ratio >= state.policy.ejectionSlowRatio) return this.onTrialFailure(state, now)
    this.recordResult(state, 0, now)
    state.failuresInRow = 0
    if (isTrial) this.onTrialSuccess(state, now)
    else if (this.isSlow(state, now)) this.eject(state, now)
  }

  /** A failed attempt; `fast` where it failed sooner than work could have been done. */
  onFailure (state: UpstreamState, fast: boolean, isTrial: boolean, now: Milliseconds): void {
    this.recordResult(state, 1, now)
    state.failuresInRow += fast ? 2 : 1
    if (isTrial) return this.onTrialFailure(state, now)
    const errors = state.results >= LEAST_RESULTS && state.errorShare > state.policy.ejectionErrorShare
    if (errors || state.failuresInRow >= state.policy.ejectionFailures) this.eject(state, now)
  }

  /** A hedge overtook the attempt. An upstream that hangs shows only by this, because hedges hide it. */
  onOvertaken (state: UpstreamState, isHedge: boolean, now: Milliseconds): void {
    if (isHedge) return
    state.failuresInRow += OVERTAKEN_FAILURES
    if (state.failuresInRow >= state.policy.ejectionFailures) this.eject(state, now)
  }

  /** Brings the time-dependent parts of the view up to date. */
  refresh (state: UpstreamState, now: Milliseconds): void {
    this.readmitForgotten(state, now)
    state.errorShare = this.agedErrorShare(state, now)
    const warmMs = now - state.warmSince
    state.warmth = Math.min(1, Math.max(LEAST_WARMTH, warmMs / state.policy.slowStartMs))
  }

  /** An ejected upstream that is due for a trial call; one that leaves takes no new work, trials included. */
  dueForTrial (now: Milliseconds): UpstreamState | undefined {
    return this.all().find(state => state.isEjected && !state.isTrialRunning && state.nextTrialAt <= now && !isDraining(state, now))
  }

  onTrialStart (state: UpstreamState, now: Milliseconds): void {
    state.isTrialRunning = true
    state.nextTrialAt = now + state.policy.trickleIntervalMs
  }

  /** A trial ended without a verdict, for example because the caller left. */
  onTrialAbandoned (state: UpstreamState): void {
    state.isTrialRunning = false
  }

  private recordResult (state: UpstreamState, failed: number, now: Milliseconds): void {
    const share = this.agedErrorShare(state, now)
    state.results += 1
    state.recordedErrorShare = share + (failed - share) * ERROR_LEARNING_RATE
    state.errorShare = state.recordedErrorShare
    state.recordedAt = now
  }

  // Without ageing, an upstream that is avoided for its errors would never get the call that clears it.
  private agedErrorShare (state: UpstreamState, now: Milliseconds): number {
    return state.recordedErrorShare * keptShare(now - state.recordedAt, this.policy.forgetMs)
  }

  private isSlow (state: UpstreamState, now: Milliseconds): boolean {
    return state.results >= LEAST_RESULTS && this.model.ratioOf(state, now) >= state.policy.ejectionSlowRatio
  }

  private eject (state: UpstreamState, now: Milliseconds): void {
    if (state.isEjected || !this.hasEjectionRoom(state)) return
    if (now - state.warmSince > state.policy.ejectionMaxMs) state.ejectionsInRow = 0
    state.isEjected = true
    this.counters.ejections += 1
    this.scheduleTrial(state, now)
  }

  private hasEjectionRoom (state: UpstreamState): boolean {
    let total = 0
    let ejected = capacityOf(state)
    for (const other of this.all()) {
      total += capacityOf(other)
      if (other.isEjected) ejected += capacityOf(other)
    }
    return ejected <= total * this.policy.ejectionCapacityShare
  }

  private scheduleTrial (state: UpstreamState, now: Milliseconds): void {
    const waitMs = Math.min(state.policy.ejectionMs * 2 ** state.ejectionsInRow, state.policy.ejectionMaxMs)
    state.ejectionsInRow += 1
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
    state.failuresInRow = 0
    state.recordedErrorShare = 0
    state.results = 0
    state.warmSince = now
    this.model.forget(state)
    this.counters.readmissions += 1
  }

  // A service without idempotent calls has nothing to try an upstream with.
  private readmitForgotten (state: UpstreamState, now: Milliseconds): void {
    if (!state.isEjected || state.isTrialRunning) return
    if (now - state.nextTrialAt > state.policy.ejectionMaxMs) this.readmit(state, now)
  }
}

function capacityOf (state: UpstreamState): number {
  return state.slots ?? 1
}
