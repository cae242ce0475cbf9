import type { Milliseconds } from './clock.js'

/** Every number that routing decides by. Operators may set each one; the defaults serve the whole fleet. */
export interface RoutingPolicy {
  /** Attempts of one VM that may wait at an upstream beyond its slots. */
  readonly queueAllowanceCalls: number
  /** Share of an upstream's slots that is used, rounded down to whole slots; upstreams may be slower when they are nearly full. */
  readonly usableSlotShare: number
  /** Connections that one upstream accepts; the live entry VMs divide them equally. */
  readonly connectionsPerUpstream: number
  /** In services with more upstreams than this, each VM uses a subset of its own. */
  readonly scanLimitUpstreams: number

  /** Expected queue at the best upstream, per slot, above which a call waits in the VM's own queue. */
  readonly holdExcessPerSlot: number
  /** The same under overload. */
  readonly overloadExcessPerSlot: number
  /** A backlog that lasts this many service times is overload; a shorter one is a burst. */
  readonly overloadServiceTimes: number
  /** Overload is taken to go on for this long after it was seen, because holding back empties the queue for moments. */
  readonly overloadHoldMs: Milliseconds
  /** Attempts under way, as a multiple of the VM's share of the slots, below which no call is held back. */
  readonly holdShare: number
  /** Cost of taking a slot outside the VM's own share, as a share of the service time. */
  readonly borrowCostShare: number
  /** Upstreams whose expected times differ by less than this share are chosen between at random. */
  readonly spreadShare: number
  /** An upstream without a report for this time gets the next call that it would not delay much, so that draining is noticed. */
  readonly refreshMs: Milliseconds
  /** Time constant by which a load report ages towards the mean, in service times. */
  readonly reportAgingServiceTimes: number
  /** Time constant by which a reported relative time ages towards the mean. */
  readonly relativeTimeAgingMs: Milliseconds
  /** Delay that a call may suffer before it goes to another failure domain. */
  readonly crossDomainCostMs: Milliseconds
  /** The same for each kilobyte that the kind's answers have on average. */
  readonly crossDomainCostPerKilobyteMs: Milliseconds

  /** Best upstreams whose load is asked for before a call is sent, where their reports are old; 0 sends no such probes. */
  readonly probeUpstreams: number
  /** Age of a report from which on it is renewed by a probe. */
  readonly probeReportAgeMs: Milliseconds
  /** Longest wait of a call for its probes. */
  readonly probeWaitMs: Milliseconds

  /** Requests sent within this time before a report arrived may not have been at the upstream when it was made. */
  readonly reportSettleMs: Milliseconds
  /** Factor on the trust in an upstream's reports for each one that contradicts this VM's observations. */
  readonly reportTrustLoss: number
  /** Part of the lost trust that each report regains which agrees with them. */
  readonly reportTrustGain: number

  /** Calls that may wait in one VM's queue for one service. */
  readonly queueLimitCalls: number
  /** Share of the capacity that every waiting kind is sure of. */
  readonly queueFloorShare: number
  /** Share of a call's remaining time that it may be expected to wait; above it the call is refused on arrival. */
  readonly queueWaitShare: number
  /** Quantile of a kind's latency that must fit before the deadline for a start to make sense. */
  readonly hopelessQuantile: number
  /** How often a non-empty queue is looked at when nothing else happens. */
  readonly queueRecheckMs: Milliseconds

  /** Retries plus hedges, as a share of calls. */
  readonly retryBudgetShare: number
  /** Most retries and hedges that can be saved up. */
  readonly retryBudgetCalls: number
  /** Part of the saved budget that hedges leave to retries. */
  readonly hedgeReserveCalls: number
  /** Attempts of one call, the first included. */
  readonly attemptsPerCall: number
  /** Quantile of a kind's latency after which a hedge starts. */
  readonly hedgeQuantile: number
  /** Shortest wait before a hedge. */
  readonly hedgeMinMs: Milliseconds

  /** An attempt without progress for this multiple of the kind's 99th percentile is a stall. */
  readonly stallLatencies: number
  /** Shortest stall interval; below it scheduling pauses look like stalls. */
  readonly stallMinMs: Milliseconds
  /** Stall interval once the response is under way to the caller. */
  readonly streamStallMs: Milliseconds
  /** A connection that carried a response within this time may carry a non-idempotent attempt. */
  readonly provenConnectionMs: Milliseconds

  /** Weight of one response in the service time estimate. */
  readonly learningRate: number
  /** Weight of one response in the estimate that detects sudden changes. */
  readonly fastLearningRate: number
  /** Ratio of the fast to the slow estimate that counts as a sudden slow-down. */
  readonly slowdownRatio: number
  /** Time after which an estimate without new responses has returned to the mean. */
  readonly forgetMs: Milliseconds

  /** Share of a service's slots that may be ejected at once. */
  readonly ejectionCapacityShare: number
  /** Failures in a row that eject an upstream. */
  readonly ejectionFailures: number
  /** Share of failed attempts that ejects an upstream. */
  readonly ejectionErrorShare: number
  /** Ratio of an upstream's service time to the mean that ejects it. */
  readonly ejectionSlowRatio: number
  /** An error faster than this share of the expected service time counts twice. */
  readonly fastErrorShare: number
  /** Shortest back-off after a refused or lost connection. */
  readonly refusedBackOffMs: Milliseconds
  /** Longest back-off after a refused or lost connection. */
  readonly refusedBackOffMaxMs: Milliseconds
  /** Back-off as a share of the time for which connections have been refused. */
  readonly refusedBackOffShare: number
  /** First ejection time; doubles with each ejection in a row. */
  readonly ejectionMs: Milliseconds
  /** Longest ejection time. */
  readonly ejectionMaxMs: Milliseconds
  /** Time between two trial calls to an ejected upstream. */
  readonly trickleIntervalMs: Milliseconds
  /** Successful trial calls in a row that readmit an upstream. */
  readonly trickleSuccesses: number
  /** Time in which a new or readmitted upstream reaches its full share. */
  readonly slowStartMs: Milliseconds

  /** How long a draining notice holds without confirmation by the registry. */
  readonly drainHoldMs: Milliseconds
  /** How long a request that crashed upstreams is refused. */
  readonly suspectMs: Milliseconds
  /** Upstreams that a request may crash before it is refused. */
  readonly suspectCrashes: number

  /** First in-flight limit where an upstream does not report slots. */
  readonly adaptiveLimitStartCalls: number
  /** Highest adaptive limit. */
  readonly adaptiveLimitMaxCalls: number
  /** Ratio of current to long-term latency that the adaptive limit tolerates. */
  readonly adaptiveLimitTolerance: number

  /** Dedicated measurement messages per VM and second. */
  readonly measuringMessagesPerSecond: number
  /** The same for each registered upstream of a service: many VMs must not ask few upstreams too often. */
  readonly measuringMessagesPerUpstreamSecond: number
  /** Bytes of dedicated measurement messages per VM and second. */
  readonly measuringBytesPerSecond: number
  /** Size of one probe with its answer, for the byte budget. */
  readonly probeBytes: number
}

/** Defaults for the whole fleet. */
export const DEFAULT_ROUTING_POLICY: RoutingPolicy = {
  queueAllowanceCalls: 1,
  usableSlotShare: 1,
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

/** Numbers that an exception may set for a kind of request. */
export const KIND_SETTING_NAMES = [
  'queueWaitShare', 'hopelessQuantile', 'attemptsPerCall', 'hedgeQuantile', 'hedgeMinMs', 'stallLatencies', 'stallMinMs'
] as const satisfies ReadonlyArray<keyof RoutingPolicy>

/** Numbers that an exception may set for one upstream. */
export const UPSTREAM_SETTING_NAMES = [
  'queueAllowanceCalls', 'connectionsPerUpstream', 'ejectionFailures', 'ejectionErrorShare', 'ejectionSlowRatio',
  'ejectionMs', 'ejectionMaxMs', 'trickleIntervalMs', 'trickleSuccesses', 'slowStartMs'
] as const satisfies ReadonlyArray<keyof RoutingPolicy>

/** Policies that differ from the service's, whole, by name of the kind and by id of the upstream. */
export interface PolicyExceptions {
  readonly kinds: ReadonlyMap<string, RoutingPolicy>
  readonly upstreams: ReadonlyMap<string, RoutingPolicy>
}

/** Every kind and upstream has the policy of the service. */
export const NO_POLICY_EXCEPTIONS: PolicyExceptions = { kinds: new Map(), upstreams: new Map() }
