import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { RequestKind } from '@cowsliplead/core/types/requestKind.js'

/** The size of a simulated service: its upstreams, slots per upstream and failure domains. */
export interface ServiceShape {
  readonly name: string
  readonly upstreams: number
  readonly slots: number
  readonly failureDomains: number
}

/** A kind of request with its share of the calls and its cost. */
export interface LoadKind {
  readonly kind: RequestKind
  /** Share of all calls. */
  readonly share: number
  /** Mean time on a slot of an upstream of speed 1. */
  readonly meanWorkMs: Milliseconds
}

/** A period in which noisy neighbours on the same hardware slow an upstream down. */
export interface NoisyPeriod {
  readonly from: Milliseconds
  readonly until: Milliseconds
  readonly slowdown: number
}

/** Which load an upstream reports, regardless of its actual load unless 'accurate'. */
export type ReportMode = 'accurate' | 'alwaysEmpty' | 'alwaysFull'

/** Behaviour of one upstream over a run; times are relative to the start of the run. */
export interface UpstreamPlan {
  readonly id: string
  readonly failureDomain: string
  readonly slots: number
  readonly noisyPeriods: readonly NoisyPeriod[]
  speed: number
  joinAt: Milliseconds
  /** Time after joining until the upstream reaches full speed. */
  coldMs: Milliseconds
  slowFrom: Milliseconds
  slowFactor: number
  failFrom: Milliseconds
  drainFrom: Milliseconds
  reportMode: ReportMode
  reportLagMs: Milliseconds
}

/** One planned call. */
export interface PlannedCall {
  readonly id: number
  readonly arrivesAt: Milliseconds
  readonly load: LoadKind
  /** Index of the entry VM that receives the call. */
  readonly entry: number
  /** Time on a slot of an upstream of speed 1, unless the attempt is drawn as a slow one. */
  readonly workMs: Milliseconds
  readonly fingerprint: string
  /** Whether the call crashes every upstream that runs it. */
  readonly crashesUpstream: boolean
  /** False for calls that are excluded from the results: those of the warm-up and those that crash upstreams. */
  readonly measured: boolean
}

/** Whether anything fails or changes during a scenario; determines the latency bound. */
export type ScenarioClass = 'steady' | 'fault'

/** A pattern of load and faults that policies are run under. */
export interface Scenario {
  readonly name: string
  readonly class: ScenarioClass
  /** Offered load as a share of the nominal capacity. */
  readonly loadAt: (now: Milliseconds) => number
  /** Applies the faults or differences of the scenario to the plans of the upstreams. */
  readonly prepare?: (plans: UpstreamPlan[]) => void
  /** Share of the calls that each entry VM receives; equal shares by default. */
  readonly entryShares?: readonly number[]
  /** When the last entry VM is lost. */
  readonly entryLostAt?: Milliseconds
  /** When a request that crashes upstreams is first sent. */
  readonly crashingRequestAt?: Milliseconds
}

/** One scenario at one service: the input that all policies share. */
export interface Cell {
  readonly scenario: Scenario
  readonly shape: ServiceShape
  readonly seed: number
  readonly entryCount: number
  readonly endAt: Milliseconds
  readonly plans: readonly UpstreamPlan[]
  readonly calls: readonly PlannedCall[]
}

/** The results of one policy in one cell. */
export interface Row {
  readonly scenario: string
  readonly class: ScenarioClass
  readonly shape: string
  readonly policy: string
  readonly calls: number
  readonly p50Ms: number
  readonly p99Ms: number
  readonly p999Ms: number
  /** p99 of each kind. */
  readonly p99MsByKind: Readonly<Record<string, number>>
  /** Share of the offered weight that was answered correctly before its deadline. */
  readonly weightedOnTime: number
  readonly onTimeByKind: Readonly<Record<string, number>>
  readonly retriesPerCall: number
  readonly hedgesPerCall: number
  readonly measuringMessagesPerCall: number
  readonly measuringBytesPerCall: number
  /** Bytes of load reports carried by answers, which need no dedicated messages. */
  readonly reportBytesPerCall: number
  /** Runs of non-idempotent calls after their first. */
  readonly doubledRuns: number
  /** Calls that were reported as "not run" although they ran. */
  readonly falseNotRun: number
  readonly upstreamCrashes: number
  /** Number of measured calls by outcome. */
  readonly outcomes: Readonly<Record<string, number>>
}

/** Options of a run of the decisions bench. */
export interface DecisionsOptions {
  readonly seed: number
  readonly scenarios?: readonly string[]
  readonly shapes?: readonly string[]
  readonly policies?: readonly string[]
  /** Shortens the measured part. */
  readonly quick?: boolean
  readonly entryCount?: number
  /** Length of the measured part; overrides `quick`. */
  readonly measuredMs?: Milliseconds
}
