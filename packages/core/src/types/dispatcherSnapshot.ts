import type { Milliseconds } from './clock.js'
import type { ResultCodeName } from './resultCode.js'

/** Totals since the dispatcher was created. */
export interface DispatchCounters {
  readonly calls: number
  readonly delivered: number
  readonly cancelled: number
  readonly attempts: number
  readonly retries: number
  readonly hedges: number
  /** Attempts that stalled and were replaced or cancelled. */
  readonly stalls: number
  readonly ejections: number
  readonly readmissions: number
  readonly probes: number
  /** Calls that ended as not run, by code. */
  readonly notRun: Partial<Record<ResultCodeName, number>>
  /** Calls that ended with an unknown outcome, by code. */
  readonly outcomeUnknown: Partial<Record<ResultCodeName, number>>
}

/** State of one upstream in a snapshot. */
export interface UpstreamSnapshot {
  readonly id: string
  /** Attempts of this VM in progress. */
  readonly inFlight: number
  /** Maximum number of attempts of this VM in progress at once. */
  readonly limit: number
  readonly slots: number | undefined
  readonly serviceTimeMs: Milliseconds | undefined
  /** From 0 to 1: share of recent attempts that failed. */
  readonly errorShare: number
  /** From 0 to 1; below 1 during slow start. */
  readonly warmth: number
  /** From 0 to 1: how far load reports agree with this VM's own observations. */
  readonly reportTrust: number
  /** Requests per second that it takes from all VMs together; undefined if it names no limit. */
  readonly requestsPerSecond: number | undefined
  /** Whether it is cold and its service limits the requests to cold upstreams. */
  readonly isCold: boolean
  readonly draining: boolean
  /** It has said that it is leaving. */
  readonly leaving: boolean
  /** Remaining time for which it has asked for no requests; 0 if it has not. */
  readonly pauseLeftMs: Milliseconds
  readonly ejected: boolean
  readonly attempts: number
  readonly failures: number
}

/** State of a dispatcher, for the state dump and metrics. */
export interface DispatcherSnapshot {
  readonly service: string
  /** Calls that wait for an upstream. */
  readonly queued: number
  /** Attempts in progress. */
  readonly running: number
  /** Calls in the wait queue, by kind; kinds without any are left out. */
  readonly queuedByKind: Readonly<Record<string, number>>
  /** Share of the upstreams that is reserved for urgent kinds at present, from 0 to 1. */
  readonly reservedShare: number
  readonly counters: DispatchCounters
  readonly upstreams: readonly UpstreamSnapshot[]
  /** Registered upstreams in evacuated failure domains, which are not listed. */
  readonly evacuatedUpstreams: number
}
