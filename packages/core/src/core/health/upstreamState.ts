import type { Milliseconds } from '../../types/clock.js'
import type { UpstreamView } from '../../types/picker.js'
import type { RoutingPolicy } from '../../types/routingPolicy.js'
import type { LoadReport, Upstream } from '../../types/upstream.js'
import { AdaptiveLimit } from '../limits/adaptiveLimit.js'
import type { RunningAttempt } from './runningAttempt.js'

/** What an upstream's state starts with. */
export interface UpstreamStateOptions {
  readonly upstream: Upstream
  /** Place in the order in which this VM prefers upstreams; lower comes first. */
  readonly preference: number
  /** Start of the slow start. */
  readonly warmSince: Milliseconds
  /** The numbers in force for the upstream. */
  readonly policy: RoutingPolicy
}

/** What the dispatcher keeps for one upstream; pickers read it as `UpstreamView`. */
export class UpstreamState implements UpstreamView {
  inFlight = 0
  report: LoadReport | undefined
  inFlightAtReport = 0
  reportTrust = 1
  /** Attempts of this VM under way. */
  readonly running = new Set<RunningAttempt>()
  serviceTimeMs: Milliseconds | undefined
  errorShare = 0
  warmth = 1
  slotShare: number | undefined
  attempts = 0
  failures = 0

  // Learning, kept by ServiceModel.
  /** Service time relative to other upstreams for the same kinds; undefined before the first response. */
  slowRatio: number | undefined
  fastRatio: number | undefined
  learnedAt: Milliseconds = 0

  // Health, kept by OutlierDetector.
  isEjected = false
  results = 0
  failuresInRow = 0
  recordedErrorShare = 0
  recordedAt: Milliseconds = 0
  ejectionsInRow = 0
  nextTrialAt: Milliseconds = 0
  isTrialRunning = false
  trialSuccesses = 0

  // Reasons to send no new work, kept by UpstreamTable.
  drainingUntil: Milliseconds = 0
  /** When the probe under way was sent; undefined where none is. */
  probeSentAt: Milliseconds | undefined
  isUnresponsive = false
  /** No new work before this instant, after the upstream shed a call. */
  backOffUntil: Milliseconds = 0
  /** Since when connections are refused or lost; undefined after an answer. */
  downSince: Milliseconds | undefined
  /** Start of the last crash seen; attempts started before it ended with it. */
  crashedAt: Milliseconds = -Infinity
  /** Whether a request that was suspect before was in flight in that crash. */
  isCrashExplained = false

  private constructor (
    public upstream: Upstream,
    /** Place in the order in which this VM prefers upstreams; lower comes first. */
    readonly preference: number,
    /** Start of the slow start. */
    public warmSince: Milliseconds,
    readonly adaptiveLimit: AdaptiveLimit,
    /** The numbers in force for this upstream. */
    public policy: RoutingPolicy
  ) {}

  static create ({ upstream, preference, warmSince, policy }: UpstreamStateOptions): UpstreamState {
    return new UpstreamState(upstream, preference, warmSince, AdaptiveLimit.create(policy), policy)
  }

  /** Slots that are used. */
  get slots (): number | undefined {
    const slots = this.report?.slots ?? this.upstream.slots
    return slots === undefined ? undefined : Math.max(1, Math.floor(slots * this.policy.usableSlotShare))
  }

  /** Takes the newest report; one received earlier than the known one is ignored. */
  takeReport (report: LoadReport): void {
    if (this.report !== undefined && this.report.receivedAt > report.receivedAt) return
    this.report = report
    this.inFlightAtReport = this.inFlight
  }
}
