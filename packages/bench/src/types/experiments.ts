import type { Milliseconds } from '@cowsliplead/core/types/clock.js'

/** Kinds of calls that the experiments send. */
export type CallKindName = 'lookup' | 'issue' | 'download' | 'crashing'

/**
 * Outcome of one send as the caller sees it: `answered` is the upstream's complete response to this request, `wrong` a
 * response to another request or with wrong content, `upstreamError` an error status of the upstream, `notRun` and
 * `unknown` refusals by the daemon, `cut` a lost connection, `timeout` no complete response while the caller waited.
 */
export type SendOutcome = 'answered' | 'upstreamError' | 'notRun' | 'unknown' | 'cut' | 'timeout' | 'wrong'

/** One request of a caller. */
export interface CallPlan {
  readonly kind: CallKindName
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly body: string | undefined
  /** Expected size of a download; 0 for other kinds. */
  readonly bytes: number
  readonly deadlineMs: Milliseconds
}

/** One transmission of a call by the caller to one entry VM; retries are further sends. */
export interface SendRecord {
  /** Unique request id, by which upstreams count runs. */
  readonly id: string
  readonly entryId: string
  readonly sentAt: Milliseconds
  readonly durationMs: Milliseconds
  readonly outcome: SendOutcome
  /** Result code of a refusal. */
  readonly code: number | undefined
  /** Upstream that answered, if the response names it. */
  readonly upstreamId: string | undefined
  readonly detail: string
}

/** One call with all its sends. */
export interface CallRecord {
  readonly plan: CallPlan
  readonly startedAt: Milliseconds
  readonly sends: SendRecord[]
}

/** How often requests ran on the upstreams, as counted by the upstreams. */
export interface RunTally {
  /** Number of runs by send id. */
  readonly bySend: ReadonlyMap<string, number>
}

/** One invariant; it holds if `violations` is empty. */
export interface Check {
  readonly name: string
  /** Number of cases examined. */
  readonly examined: number
  readonly violations: readonly string[]
}

/** One reported figure; it does not affect the verdict. */
export interface Measurement {
  readonly name: string
  readonly value: string
}

/** Measurements and checks of one run of an experiment. */
export interface ExperimentResult {
  readonly measurements: readonly Measurement[]
  readonly checks: readonly Check[]
}

/** Settings of one run of an experiment. */
export interface ExperimentOptions {
  readonly seed: number
  /** Whether to run the short form that the tests use. */
  readonly short: boolean
}

/** A fault-injection experiment with real processes. */
export interface Experiment {
  readonly name: string
  readonly description: string
  run (options: ExperimentOptions): Promise<ExperimentResult>
}
