import type { ScenarioClass } from '../../types/decisions.js'

// Targets of the design page. They are requirements: never adjust them to a measurement.

/** p99 of the shipped policy as a multiple of the oracle's. */
export const MAX_P99_TO_ORACLE: Readonly<Record<ScenarioClass, number>> = { steady: 1.25, fault: 1.5 }

/** `weightedOnTime` of the shipped policy as a share of the best baseline's. */
export const MIN_ON_TIME_TO_BEST_BASELINE = 1

/** `weightedOnTime` of the shipped policy as a share of the oracle's. */
export const MIN_ON_TIME_TO_ORACLE = 0.99

/** Dedicated measuring messages (probes) per call. */
export const MAX_MEASURING_MESSAGES_PER_CALL = 0.01

/** The same limit where answers carry load reports, as they do in every scenario of the decisions bench. */
export const MAX_MEASURING_MESSAGES_WITH_REPORTS_PER_CALL = 0

/** Retries plus hedges per call. */
export const MAX_RETRIES_AND_HEDGES_PER_CALL = 0.1

/** Runs of a non-idempotent call after its first. */
export const MAX_DOUBLED_RUNS = 0

/** Calls that were reported as "not run" although they ran. */
export const MAX_FALSE_NOT_RUN = 0
