import type { Milliseconds } from './clock.js'

/** Every tunable number of routing. Operators may override each one; the defaults apply to the whole fleet. */
export interface RoutingPolicy {
  /** Attempts of one VM that may wait at an upstream beyond its slots. */
  readonly queueAllowanceCalls: number
  /**
   * Share of an upstream's slots that is used, rounded down to whole slots; a share below 1 suits upstreams that slow down
   * when they are nearly full. All slots are used where that completes more requests in spite of the slowdown.
   */
  readonly usableSlotShare: number
  /** How many times as long requests take at an upstream that uses more than this share of its slots. */
  readonly crowdedTimeFactor: number
  /** Connections that one upstream accepts, divided equally among the live entry VMs. */
  readonly connectionsPerUpstream: number
  /** Number of a service's upstreams above which each VM uses its own subset of them. */
  readonly scanLimitUpstreams: number

  /** Expected queue per slot at the best upstream above which a call stays in the VM's own queue. */
  readonly holdExcessPerSlot: number
  /** `holdExcessPerSlot` during overload. */
  readonly overloadExcessPerSlot: number
  /** Duration of a backlog, in service times, above which it counts as overload; a shorter one is a burst. */
  readonly overloadServiceTimes: number
  /** How long overload is assumed to last after it was detected, because holding calls back briefly empties the queue. */
  readonly overloadHoldMs: Milliseconds
  /** Attempts in flight, as a multiple of the VM's share of the slots, below which no call is held back. */
  readonly holdShare: number
  /** Cost of using a slot outside the VM's own share, as a share of the service time. */
  readonly borrowCostShare: number
  /** Random variation of expected times, as a share of them; spreads calls over upstreams that are about equally good. */
  readonly spreadShare: number
  /**
   * Report age above which an upstream without attempts of this VM gets the next call that it would not delay much, so
   * that draining is noticed.
   */
  readonly refreshMs: Milliseconds
  /** Time constant, in service times, with which a load report decays towards the mean. */
  readonly reportAgingServiceTimes: number
  /** Time constant with which a reported relative time decays towards the mean. */
  readonly relativeTimeAgingMs: Milliseconds
  /** Extra delay that is accepted to keep a call in the VM's own failure domain. */
  readonly crossDomainCostMs: Milliseconds
  /** Further accepted delay for each kilobyte of the kind's mean response size. */
  readonly crossDomainCostPerKilobyteMs: Milliseconds
  /** Further accepted delay as a share of the kind's target: a kind with time to spare stays in its failure domain. */
  readonly crossDomainTargetShare: number
  /** The same for each kilobyte of the kind's mean response size. */
  readonly crossDomainTargetSharePerKilobyte: number
  /** Largest such share of the target, whatever the size: a call that would miss its target otherwise leaves the domain. */
  readonly crossDomainMaxTargetShare: number

  /** Number of best upstreams that are probed before a call is sent if their load reports are old; 0 sends no such probes. */
  readonly probeUpstreams: number
  /** Report age from which on a probe renews the report. */
  readonly probeReportAgeMs: Milliseconds
  /** Longest time that a call waits for its probes. */
  readonly probeWaitMs: Milliseconds

  /** Requests sent within this time before a report arrived may not be included in it. */
  readonly reportSettleMs: Milliseconds
  /** Factor applied to the trust in an upstream's reports for each report that contradicts this VM's observations. */
  readonly reportTrustLoss: number
  /** Share of the lost trust that is restored by each report that agrees with this VM's observations. */
  readonly reportTrustGain: number

  /** Largest number of calls that wait in one VM's queue for one service. */
  readonly queueLimitCalls: number
  /** Share of the capacity that is guaranteed to every kind with waiting calls. */
  readonly queueFloorShare: number
  /** A call is refused on arrival if its expected wait exceeds this share of the time left until it must start. */
  readonly queueWaitShare: number
  /** Quantile of a kind's latency that must fit before the deadline for an attempt to be started. */
  readonly hopelessQuantile: number
  /** How often a non-empty queue is checked when no other event triggers it. */
  readonly queueRecheckMs: Milliseconds

  /** Retries plus hedges, as a share of calls. */
  readonly retryBudgetShare: number
  /** Largest number of retries and hedges that the budget can hold. */
  readonly retryBudgetCalls: number
  /** Part of the budget that is reserved for retries. */
  readonly hedgeReserveCalls: number
  /** Largest number of attempts per call, including the first. */
  readonly attemptsPerCall: number
  /** Quantile of a kind's latency after which a hedge starts. */
  readonly hedgeQuantile: number
  /** Shortest delay before a hedge. */
  readonly hedgeMinMs: Milliseconds

  /** Stall timeout of an attempt, as a multiple of the kind's 99th percentile latency; progress restarts it. */
  readonly stallLatencies: number
  /** Shortest stall timeout; with a shorter one, scheduling pauses would look like stalls. */
  readonly stallMinMs: Milliseconds
  /** Stall timeout while the response is being relayed to the caller. */
  readonly streamStallMs: Milliseconds
  /** A connection that carried a response within this time may carry a non-idempotent attempt. */
  readonly provenConnectionMs: Milliseconds

  /** Weight of one response in the long-term service time estimate. */
  readonly learningRate: number
  /** Weight of one response in the short-term estimate, which detects sudden changes. */
  readonly fastLearningRate: number
  /** Ratio of the short-term to the long-term estimate above which an upstream has suddenly slowed down. */
  readonly slowdownRatio: number
  /** Time without new responses after which an estimate has returned to the mean. */
  readonly forgetMs: Milliseconds

  /** Largest share of a service's slots that may be ejected at once. */
  readonly ejectionCapacityShare: number
  /** Consecutive failures after which an upstream is ejected. */
  readonly ejectionFailures: number
  /** Share of failed attempts above which an upstream is ejected. */
  readonly ejectionErrorShare: number
  /** Ratio of an upstream's service time to the mean at which the upstream is ejected. */
  readonly ejectionSlowRatio: number
  /** A failure after less than this share of the expected service time counts twice. */
  readonly fastErrorShare: number
  /** Shortest backoff after a refused or lost connection. */
  readonly refusedBackOffMs: Milliseconds
  /** Longest backoff after a refused or lost connection. */
  readonly refusedBackOffMaxMs: Milliseconds
  /** Backoff as a share of the time for which connections have been refused. */
  readonly refusedBackOffShare: number
  /** First ejection time; doubles with each consecutive ejection. */
  readonly ejectionMs: Milliseconds
  /** Longest ejection time. */
  readonly ejectionMaxMs: Milliseconds
  /** Time between two trial calls to an ejected upstream. */
  readonly trickleIntervalMs: Milliseconds
  /** Consecutive successful trial calls after which an upstream is readmitted. */
  readonly trickleSuccesses: number
  /** Duration of the slow start in which a new or readmitted upstream reaches its full share. */
  readonly slowStartMs: Milliseconds

  /** How long an upstream's draining notice applies without confirmation by the control store. */
  readonly drainHoldMs: Milliseconds
  /** How long a request that crashed an upstream remains suspect. */
  readonly suspectMs: Milliseconds
  /** Number of upstreams that a request may crash before it is refused. */
  readonly suspectCrashes: number

  /** Initial in-flight limit of an upstream that does not report its slots. */
  readonly adaptiveLimitStartCalls: number
  /** Highest adaptive limit. */
  readonly adaptiveLimitMaxCalls: number
  /** Ratio of current to long-term latency above which the adaptive limit shrinks. */
  readonly adaptiveLimitTolerance: number

  /** Dedicated measurement messages (load probes) per VM and second. */
  readonly measuringMessagesPerSecond: number
  /** The same limit per registered upstream of a service; keeps many VMs from probing a few upstreams too often. */
  readonly measuringMessagesPerUpstreamSecond: number
  /** Bytes of dedicated measurement messages per VM and second. */
  readonly measuringBytesPerSecond: number
  /** Size of one probe with its response, charged to the byte budget. */
  readonly probeBytes: number
}

/** Defaults for the whole fleet. */
export const DEFAULT_ROUTING_POLICY: RoutingPolicy = {
  queueAllowanceCalls: 1,
  usableSlotShare: 1,
  crowdedTimeFactor: 2,
  connectionsPerUpstream: 250,
  scanLimitUpstreams: 128,
  holdExcessPerSlot: 2,
  overloadExcessPerSlot: 0.5,
  overloadServiceTimes: 3,
  overloadHoldMs: 200,
  holdShare: 1,
  borrowCostShare: 0.1,
  spreadShare: 0.1,
  refreshMs: 1_000,
  reportAgingServiceTimes: 1,
  relativeTimeAgingMs: 150,
  crossDomainCostMs: 0,
  crossDomainCostPerKilobyteMs: 0,
  crossDomainTargetShare: 0,
  crossDomainTargetSharePerKilobyte: 0,
  crossDomainMaxTargetShare: 0.5,
  probeUpstreams: 0,
  probeReportAgeMs: 50,
  probeWaitMs: 4,
  reportSettleMs: 2,
  reportTrustLoss: 0.5,
  reportTrustGain: 0.05,
  queueLimitCalls: 1000,
  queueFloorShare: 0.05,
  queueWaitShare: 0.8,
  hopelessQuantile: 0.5,
  queueRecheckMs: 1,
  retryBudgetShare: 0.1,
  retryBudgetCalls: 10,
  hedgeReserveCalls: 2,
  attemptsPerCall: 3,
  hedgeQuantile: 0.95,
  hedgeMinMs: 1,
  stallLatencies: 3,
  stallMinMs: 50,
  streamStallMs: 10_000,
  provenConnectionMs: 2_000,
  learningRate: 0.05,
  fastLearningRate: 0.25,
  slowdownRatio: 1.8,
  forgetMs: 3_000,
  ejectionCapacityShare: 0.3,
  ejectionFailures: 3,
  ejectionErrorShare: 0.5,
  ejectionSlowRatio: 6,
  fastErrorShare: 0.5,
  refusedBackOffMs: 10,
  refusedBackOffMaxMs: 200,
  refusedBackOffShare: 0.5,
  ejectionMs: 1_000,
  ejectionMaxMs: 30_000,
  trickleIntervalMs: 100,
  trickleSuccesses: 3,
  slowStartMs: 2_000,
  drainHoldMs: 30_000,
  suspectMs: 60_000,
  suspectCrashes: 2,
  adaptiveLimitStartCalls: 4,
  adaptiveLimitMaxCalls: 64,
  adaptiveLimitTolerance: 1.5,
  measuringMessagesPerSecond: 10,
  measuringMessagesPerUpstreamSecond: 10,
  measuringBytesPerSecond: 4_000,
  probeBytes: 300
}

/** Settings that an exception may override for a kind of request. */
export const KIND_SETTING_NAMES = [
  'queueWaitShare', 'hopelessQuantile', 'attemptsPerCall', 'hedgeQuantile', 'hedgeMinMs', 'stallLatencies', 'stallMinMs'
] as const satisfies ReadonlyArray<keyof RoutingPolicy>

/** Settings that an exception may override for one upstream. */
export const UPSTREAM_SETTING_NAMES = [
  'queueAllowanceCalls', 'connectionsPerUpstream', 'ejectionFailures', 'ejectionErrorShare', 'ejectionSlowRatio',
  'ejectionMs', 'ejectionMaxMs', 'trickleIntervalMs', 'trickleSuccesses', 'slowStartMs'
] as const satisfies ReadonlyArray<keyof RoutingPolicy>

/** Complete policies of the kinds (by name) and upstreams (by id) that differ from the policy of their service. */
export interface PolicyExceptions {
  readonly kinds: ReadonlyMap<string, RoutingPolicy>
  readonly upstreams: ReadonlyMap<string, RoutingPolicy>
}

/** The policy of the service applies to every kind and upstream. */
export const NO_POLICY_EXCEPTIONS: PolicyExceptions = { kinds: new Map(), upstreams: new Map() }
