import type { Milliseconds } from '../../types/clock.js'
import type { UpstreamView } from '../../types/picker.js'
import type { RoutingPolicy } from '../../types/routingPolicy.js'
import type { LoadReport, Upstream } from '../../types/upstream.js'
import { usableSlots } from '../routing/slotUse.js'
import { AdaptiveLimit } from '../limits/adaptiveLimit.js'
import { UpstreamPause } from '../limits/upstreamPause.js'
import type { UpstreamRateLimit } from '../limits/upstreamRateLimit.js'
import type { RunningAttempt } from './runningAttempt.js'

/** Initial values of an upstream's state. */
export interface UpstreamStateOptions {
  readonly upstream: Upstream
  /** Position in this VM's order of preference; lower comes first. */
  readonly preference: number
  /** Start of the slow start. */
  readonly slowStartedAt: Milliseconds
  /** The policy in force for the upstream. */
  readonly policy: RoutingPolicy
  readonly rateLimit: UpstreamRateLimit
}

/** The dispatcher's state of one upstream; pickers read it as `UpstreamView`. */
export class UpstreamState implements UpstreamView {
  inFlight = 0
  report: LoadReport | undefined
  inFlightAtReport = 0
  reportTrust = 1
  /** Attempts of this VM in flight. */
  readonly runningAttempts = new Set<RunningAttempt>()
  serviceTimeMs: Milliseconds | undefined
  errorShare = 0
  warmth = 1
  slotShare: number | undefined
  attempts = 0
  failures = 0

  // Estimates, maintained by ServiceTimeModel.
  /** Service time relative to other upstreams for the same kinds; undefined before the first response. */
  longTermRatio: number | undefined
  shortTermRatio: number | undefined
  learnedAt: Milliseconds = 0

  // Health, maintained by OutlierDetector.
  isEjected = false
  resultCount = 0
  consecutiveFailures = 0
  recordedErrorShare = 0
  recordedAt: Milliseconds = 0
  consecutiveEjections = 0
  nextTrialAt: Milliseconds = 0
  isTrialRunning = false
  trialSuccesses = 0

  // Reasons to send no new work.
  drainingUntil: Milliseconds = 0
  /** The upstream has said that it is leaving, which is final for its incarnation. */
  isLeaving = false
  /** Requested by the upstream. Separate from the backoff, which the VM's own decisions shorten. */
  readonly pause = UpstreamPause.create()
  /** When the pending probe was sent; undefined if none is pending. */
  probeSentAt: Milliseconds | undefined
  isUnresponsive = false
  /** No new work before this instant, after the upstream shed a call or a connection was refused or lost. */
  backoffUntil: Milliseconds = 0
  /** When connections were first refused or lost; reset by a response. */
  downSince: Milliseconds | undefined
  /** When the last crash was detected; attempts that started earlier ended with it. */
  crashedAt: Milliseconds = -Infinity
  /** Whether an already suspect request was in flight in that crash, which is attributed to it. */
  isCrashAttributed = false

  private constructor (
    public upstream: Upstream,
    /** Position in this VM's order of preference; lower comes first. */
    readonly preference: number,
    /** Start of the slow start. */
    public slowStartedAt: Milliseconds,
    readonly adaptiveLimit: AdaptiveLimit,
    /** The policy in force for this upstream. */
    public policy: RoutingPolicy,
    /** This VM's share of the request rate that the upstream names. */
    readonly rateLimit: UpstreamRateLimit
  ) {}

  static create ({ upstream, preference, slowStartedAt, policy, rateLimit }: UpstreamStateOptions): UpstreamState {
    return new UpstreamState(upstream, preference, slowStartedAt, AdaptiveLimit.create(policy), policy, rateLimit)
  }

  /** Slots last reported or registered. */
  get allSlots (): number | undefined {
    return this.report?.slots ?? this.upstream.slots
  }

  /** Those of its slots that the policy uses. */
  get slots (): number | undefined {
    const slots = this.allSlots
    return slots === undefined ? undefined : usableSlots(slots, this.policy)
  }

  /** Records that an attempt of this VM has started. */
  onAttemptStart (attempt: RunningAttempt, now: Milliseconds): void {
    this.inFlight += 1
    this.runningAttempts.add(attempt)
    this.attempts += 1
    this.rateLimit.onRequest(now)
  }

  /** Records that an attempt of this VM has ended or was cancelled. */
  onAttemptEnd (attempt: RunningAttempt): void {
    this.inFlight -= 1
    this.runningAttempts.delete(attempt)
  }

  /** Stores a load report unless a newer one is known. */
  onReport (report: LoadReport): void {
    if (this.report !== undefined && this.report.receivedAt > report.receivedAt) return
    this.report = report
    this.inFlightAtReport = this.inFlight
  }
}
