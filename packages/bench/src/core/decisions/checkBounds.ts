import type { Row } from '../../types/decisions.js'
import { BASELINE_NAMES, ORACLE_POLICY, SHIPPED_POLICY } from './policies.js'
import * as targets from './targets.js'

/**
 * The kind whose p99 is checked on its own. The p99 over all kinds is dominated by the slowest kind, and every kind
 * except lookups has too few calls for a meaningful p99.
 */
const FREQUENT_KIND = 'lookup'

/** A bound that a row violates. */
export interface MissedBound {
  readonly scenario: string
  readonly shape: string
  readonly policy: string
  readonly measure: string
  readonly measured: number
  readonly bound: number
  /** Whether `bound` is the least or the greatest allowed value. */
  readonly limit: 'atLeast' | 'atMost'
}

interface CellRows {
  readonly shipped: Row
  readonly oracle: Row
  readonly baselines: readonly Row[]
}

/** Returns all missed bounds. Each cell needs rows of the shipped policy, the oracle and at least one baseline. */
export function checkBounds (rows: readonly Row[]): MissedBound[] {
  const cells = groupByCell(rows)
  return [...cells.values()].flatMap(cell => [...checkSafety(cell), ...checkCell(splitCell(cell))])
}

/** Returns the baseline row with the highest `weightedOnTime`; the lowest p99 breaks ties. */
export function bestBaseline (rows: readonly Row[]): Row | undefined {
  const baselines = rows.filter(row => BASELINE_NAMES.includes(row.policy))
  return baselines.sort((a, b) => b.weightedOnTime - a.weightedOnTime || a.p99Ms - b.p99Ms)[0]
}

/** Groups rows by scenario and service shape. */
export function groupByCell (rows: readonly Row[]): Map<string, Row[]> {
  const cells = new Map<string, Row[]>()
  for (const row of rows) {
    const cell = cells.get(cellKeyOf(row))
    if (cell === undefined) cells.set(cellKeyOf(row), [row])
    else cell.push(row)
  }
  return cells
}

function cellKeyOf (row: Row): string {
  return `${row.scenario}/${row.shape}`
}

function splitCell (rows: readonly Row[]): CellRows {
  const shipped = rows.find(row => row.policy === SHIPPED_POLICY)
  const oracle = rows.find(row => row.policy === ORACLE_POLICY)
  const baselines = rows.filter(row => BASELINE_NAMES.includes(row.policy))
  if (shipped === undefined || oracle === undefined || baselines.length === 0) {
    throw new Error('cannot check bounds without rows of the shipped policy, the oracle and at least one baseline')
  }
  return { shipped, oracle, baselines }
}

/** Safety bounds apply to the row of every policy, because all of them run through the same dispatcher. */
function checkSafety (rows: readonly Row[]): MissedBound[] {
  return rows.flatMap(row => [
    ...atMost(row, 'doubledRuns', row.doubledRuns, targets.MAX_DOUBLED_RUNS),
    ...atMost(row, 'falseNotRun', row.falseNotRun, targets.MAX_FALSE_NOT_RUN)
  ])
}

function checkCell ({ shipped, oracle, baselines }: CellRows): MissedBound[] {
  const maxP99Ratio = targets.MAX_P99_TO_ORACLE[shipped.class]
  const bestOnTime = Math.max(...baselines.map(row => row.weightedOnTime))
  return [
    ...atMost(shipped, 'p99Ms', shipped.p99Ms, maxP99Ratio * oracle.p99Ms),
    ...atMost(shipped, `p99Ms of ${FREQUENT_KIND}`, shipped.p99MsByKind[FREQUENT_KIND]!, maxP99Ratio * oracle.p99MsByKind[FREQUENT_KIND]!),
    ...atLeast(shipped, 'weightedOnTime to best baseline', shipped.weightedOnTime, targets.MIN_ON_TIME_TO_BEST_BASELINE * bestOnTime),
    ...atLeast(shipped, 'weightedOnTime to oracle', shipped.weightedOnTime, targets.MIN_ON_TIME_TO_ORACLE * oracle.weightedOnTime),
    ...atMost(shipped, 'measuringMessagesPerCall', shipped.measuringMessagesPerCall, targets.MAX_MEASURING_MESSAGES_WITH_REPORTS_PER_CALL),
    ...atMost(shipped, 'retriesAndHedgesPerCall', shipped.retriesPerCall + shipped.hedgesPerCall, targets.MAX_RETRIES_AND_HEDGES_PER_CALL)
  ]
}

function atMost (row: Row, measure: string, measured: number, bound: number): MissedBound[] {
  return measured <= bound ? [] : [createMissedBound(row, measure, measured, bound, 'atMost')]
}

function atLeast (row: Row, measure: string, measured: number, bound: number): MissedBound[] {
  return measured >= bound ? [] : [createMissedBound(row, measure, measured, bound, 'atLeast')]
}

function createMissedBound (row: Row, measure: string, measured: number, bound: number, limit: MissedBound['limit']): MissedBound {
  return { scenario: row.scenario, shape: row.shape, policy: row.policy, measure, measured, bound, limit }
}
