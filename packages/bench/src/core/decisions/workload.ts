import type { RandomSource } from '@cowsliplead/core/types/randomSource.js'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import { hashUniform } from '../../utils/seededHash.js'
import type { LoadKind, PlannedCall, Scenario, UpstreamPlan } from '../../types/decisions.js'
import {
  LOAD_MIX, MEAN_WORK_MS, SLOW_ATTEMPT_MAX_FACTOR, SLOW_ATTEMPT_MIN_FACTOR, SLOW_ATTEMPT_SHARE, WORK_SIGMA
} from './loadMix.js'

/** Upper bound of `Scenario.loadAt`; arrivals are generated at this load and thinned to the scenario's. */
const MAX_LOAD = 1.5

/** Inputs for planning the calls of a cell. */
export interface WorkloadOptions {
  readonly seed: number
  readonly scenario: Scenario
  readonly plans: readonly UpstreamPlan[]
  readonly entryCount: number
  readonly measuredFrom: number
  readonly endAt: number
}

/** Calls per millisecond that the upstreams can run without faults or noise. */
export function nominalCapacity (plans: readonly UpstreamPlan[]): number {
  return plans.reduce((sum, plan) => sum + plan.slots * plan.speed, 0) / MEAN_WORK_MS
}

/** Plans Poisson arrivals at the rate of the scenario; every policy gets the same calls. */
export function planCalls (options: WorkloadOptions): PlannedCall[] {
  const random = SeededRandom.create(options.seed)
  const peakRate = MAX_LOAD * nominalCapacity(options.plans)
  const calls: PlannedCall[] = []
  let at = 0
  for (;;) {
    at -= Math.log(1 - random.next()) / peakRate
    if (at >= options.endAt) return calls
    if (random.next() * MAX_LOAD >= options.scenario.loadAt(at)) continue
    calls.push(planCall(calls.length, at, random, options))
  }
}

function planCall (id: number, at: number, random: RandomSource, options: WorkloadOptions): PlannedCall {
  const load = pickLoadKind(random.next())
  const entry = pickEntry(random.next(), options)
  const workMs = load.meanWorkMs * logNormal(random)
  return {
    id,
    arrivesAt: at,
    load,
    entry,
    workMs,
    fingerprint: `call-${id}`,
    crashesUpstream: false,
    measured: at >= options.measuredFrom
  }
}

function pickLoadKind (point: number): LoadKind {
  let remaining = point
  for (const load of LOAD_MIX) {
    remaining -= load.share
    if (remaining < 0) return load
  }
  return LOAD_MIX[0]!
}

function pickEntry (point: number, options: WorkloadOptions): number {
  const shares = options.scenario.entryShares
  if (shares === undefined) return Math.floor(point * options.entryCount)
  const total = shares.slice(0, options.entryCount).reduce((sum, share) => sum + share, 0)
  let remaining = point * total
  for (let entry = 0; entry < options.entryCount; entry += 1) {
    remaining -= shares[entry] ?? 0
    if (remaining < 0) return entry
  }
  return 0
}

/** Draws from a log-normal distribution with mean 1. */
function logNormal (random: RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()))
  const normal = radius * Math.cos(2 * Math.PI * random.next())
  return Math.exp(WORK_SIGMA * normal - WORK_SIGMA * WORK_SIGMA / 2)
}

/** Work of one attempt of a call; `attemptIndex` is 0 for its first attempt. The same for every policy. */
export function attemptWorkMs (seed: number, call: PlannedCall, attemptIndex: number): number {
  if (hashUniform(seed, call.id, 2 * attemptIndex) >= SLOW_ATTEMPT_SHARE) return call.workMs
  const point = hashUniform(seed, call.id, 2 * attemptIndex + 1)
  return call.workMs * (SLOW_ATTEMPT_MIN_FACTOR + point * (SLOW_ATTEMPT_MAX_FACTOR - SLOW_ATTEMPT_MIN_FACTOR))
}
