import { setTimeout as delay } from 'node:timers/promises'
import type { Check, Experiment, ExperimentOptions, ExperimentResult, Measurement } from '../../types/experiments.js'
import { Fleet } from './fleet.js'
import { summarizeTimes } from './measurements.js'
import { PolicyChanges, type TimedChange } from './policyChanges.js'

const CHANGES = 20
const PAUSE_MS = 100
/** The design's bound for a change to be in force everywhere. */
const WAIT_MS = 8000
const CONVERGE_MS = 15_000
const DOWN_MS = 3000

interface Condition {
  readonly name: string
  readonly faults: object
}

const CONDITIONS: readonly Condition[] = [
  { name: 'store healthy', faults: {} },
  { name: 'store slow by 300 ms', faults: { slowMs: 300 } }
]

const NO_FAULTS = { mode: 'none', slowMs: 0, lostAppends: 0 }

/** Time until accepted changes are in force on all VMs, and races between operators. */
export const inForce: Experiment = {
  name: 'inforce',
  description: 'time from accepted to in force on six daemons, racing operators, a lost answer, a store that was down',
  run: options => {
    const plan = { seed: options.seed, entryCount: 6, registerUpstreams: 2, mapUpstreams: 1, graceS: 1 }
    return Fleet.with(plan, fleet => measureChanges(fleet, options))
  }
}

async function measureChanges (fleet: Fleet, { short }: ExperimentOptions): Promise<ExperimentResult> {
  const changes = PolicyChanges.start(fleet)
  const { store } = fleet.deployment
  const measurements: Measurement[] = []
  const checks: Check[] = []
  for (const { name, faults } of CONDITIONS) {
    await store.setFaults(faults)
    const timed = await publishMany(changes, short ? 3 : CHANGES)
    await store.setFaults(NO_FAULTS)
    measurements.push(...describeChanges(name, timed))
    checks.push(checkApplied(name, timed))
  }
  checks.push(await raceOperators(changes))
  await store.setFaults({ lostAppends: 1 })
  checks.push(await publishOnce('an append whose answer was lost is applied once', changes))
  await store.setFaults({ mode: 'busy' })
  setTimeout(() => void store.setFaults(NO_FAULTS), DOWN_MS)
  checks.push(await publishOnce('a change is applied once the store answers again', changes))
  checks.push(changes.stop())
  return { measurements, checks }
}

async function publishMany (changes: PolicyChanges, count: number): Promise<TimedChange[]> {
  const timed: TimedChange[] = []
  for (let index = 0; index < count; index++) {
    timed.push(await changes.publishTimed(WAIT_MS))
    await delay(PAUSE_MS)
  }
  return timed
}

function describeChanges (condition: string, timed: readonly TimedChange[]): Measurement[] {
  const complete = timed.filter(({ everywhereMs }) => everywhereMs !== undefined)
  return [
    { name: `${condition}, request to accepted`, value: summarizeTimes(timed.map(({ acceptedMs }) => acceptedMs)) },
    { name: `${condition}, accepted to in force on all`, value: summarizeTimes(complete.map(change => change.everywhereMs as number)) },
    { name: `${condition}, in force on all within ${WAIT_MS} ms`, value: `${complete.length} of ${timed.length}` }
  ]
}

function checkApplied (condition: string, timed: readonly TimedChange[]): Check {
  const violations = timed.flatMap(({ result, everywhereMs }) => {
    if (result.kind !== 'applied') return [`a change without rival was answered ${result.kind}`]
    return everywhereMs === undefined ? [`revision ${result.revision} was not in force everywhere within ${WAIT_MS} ms`] : []
  })
  return { name: `${condition}: changes without rival are applied and in force everywhere`, examined: timed.length, violations }
}

/** Two operators publish on the same base at once. */
async function raceOperators (changes: PolicyChanges): Promise<Check> {
  const violations: string[] = []
  const base = changes.newest
  const results = await Promise.all([500, 501].map(mark => changes.publish(`rival-${mark}`, base, mark)))
  const kinds = results.map(({ kind }) => kind).sort()
  if (kinds.join() !== 'applied,conflict') violations.push(`verdicts ${kinds.join(' and ')}`)
  changes.newest = base + 1
  if (!await changes.waitAll(base + 1, CONVERGE_MS)) violations.push('the winner is not in force on all')
  return { name: 'of two racing operators one wins', examined: 2, violations }
}

async function publishOnce (name: string, changes: PolicyChanges): Promise<Check> {
  const violations: string[] = []
  const base = changes.newest
  const { result, everywhereMs } = await changes.publishTimed(CONVERGE_MS)
  if (result.kind !== 'applied' || result.revision !== base + 1) violations.push(`verdict ${JSON.stringify(result)} on revision ${base}`)
  if (everywhereMs === undefined) violations.push('not in force on all')
  return { name, examined: 1, violations }
}
