import { setTimeout as delay } from 'node:timers/promises'
import type { Check, Experiment, ExperimentOptions, ExperimentResult, Measurement } from '../../types/experiments.js'
import { Fleet } from './fleet.js'
import { summarizeTimes } from './measurements.js'
import { PolicyChangeTracker, type TimedChange } from './policyChangeTracker.js'

const CHANGE_COUNT = 20
const PUBLISH_PAUSE_MS = 100
/** Maximum time by design for an accepted change to be in force on all VMs. */
const APPLY_TIMEOUT_MS = 8000
const CONVERGENCE_TIMEOUT_MS = 15_000
const STORE_OUTAGE_MS = 3000

interface StoreCondition {
  readonly name: string
  readonly faults: object
}

const CONDITIONS: readonly StoreCondition[] = [
  { name: 'store healthy', faults: {} },
  { name: 'store slow by 300 ms', faults: { slowMs: 300 } }
]

const NO_FAULTS = { mode: 'none', slowMs: 0, lostAppends: 0 }

/** Measures how long accepted policy changes take to be in force on all VMs, and checks concurrent publishing. */
export const inForce: Experiment = {
  name: 'inforce',
  description: 'time until accepted policy changes are in force on six daemons; concurrent publishes, lost response, store outage',
  run: options => {
    const fleetOptions = { seed: options.seed, entryCount: 6, registerUpstreams: 2, mapUpstreams: 1, graceS: 1 }
    return Fleet.with(fleetOptions, fleet => measureChanges(fleet, options))
  }
}

async function measureChanges (fleet: Fleet, { short }: ExperimentOptions): Promise<ExperimentResult> {
  const tracker = PolicyChangeTracker.start(fleet)
  const { store } = fleet.deployment
  const measurements: Measurement[] = []
  const checks: Check[] = []
  for (const { name, faults } of CONDITIONS) {
    await store.setFaults(faults)
    const timedChanges = await publishSequence(tracker, short ? 3 : CHANGE_COUNT)
    await store.setFaults(NO_FAULTS)
    measurements.push(...summarizeChanges(name, timedChanges))
    checks.push(checkApplied(name, timedChanges))
  }
  checks.push(await raceOperators(tracker))
  await store.setFaults({ lostAppends: 1 })
  checks.push(await checkSingleChange('an append whose answer was lost is applied once', tracker))
  await store.setFaults({ mode: 'busy' })
  setTimeout(() => void store.setFaults(NO_FAULTS), STORE_OUTAGE_MS)
  checks.push(await checkSingleChange('a change is applied once the store answers again', tracker))
  checks.push(tracker.stop())
  return { measurements, checks }
}

async function publishSequence (tracker: PolicyChangeTracker, count: number): Promise<TimedChange[]> {
  const changes: TimedChange[] = []
  for (let index = 0; index < count; index++) {
    changes.push(await tracker.publishTimed(APPLY_TIMEOUT_MS))
    await delay(PUBLISH_PAUSE_MS)
  }
  return changes
}

function summarizeChanges (condition: string, changes: readonly TimedChange[]): Measurement[] {
  const propagated = changes.filter(({ propagationMs }) => propagationMs !== undefined)
  return [
    { name: `${condition}, request to accepted`, value: summarizeTimes(changes.map(({ acceptedMs }) => acceptedMs)) },
    { name: `${condition}, accepted to in force on all`, value: summarizeTimes(propagated.map(change => change.propagationMs as number)) },
    { name: `${condition}, in force on all within ${APPLY_TIMEOUT_MS} ms`, value: `${propagated.length} of ${changes.length}` }
  ]
}

function checkApplied (condition: string, changes: readonly TimedChange[]): Check {
  const violations = changes.flatMap(({ result, propagationMs }) => {
    if (result.kind !== 'applied') return [`a change without a concurrent publish got the result ${result.kind}`]
    return propagationMs === undefined ? [`revision ${result.revision} was not in force on all VMs within ${APPLY_TIMEOUT_MS} ms`] : []
  })
  return { name: `${condition}: changes without rival are applied and in force everywhere`, examined: changes.length, violations }
}

/** Two operators publish concurrently on the same base revision: one is applied, the other gets a conflict. */
async function raceOperators (tracker: PolicyChangeTracker): Promise<Check> {
  const violations: string[] = []
  const base = tracker.newestRevision
  const results = await Promise.all([500, 501].map(queueLimit => tracker.publish(`rival-${queueLimit}`, base, queueLimit)))
  const kinds = results.map(({ kind }) => kind).sort()
  if (kinds.join() !== 'applied,conflict') violations.push(`publish results: ${kinds.join(' and ')}`)
  tracker.newestRevision = base + 1
  if (!await tracker.waitForRevision(base + 1, CONVERGENCE_TIMEOUT_MS)) violations.push('the applied change is not in force on all VMs')
  return { name: 'of two racing operators one wins', examined: 2, violations }
}

/** Publishes one change under the current store fault and checks that it creates exactly one revision. */
async function checkSingleChange (name: string, tracker: PolicyChangeTracker): Promise<Check> {
  const violations: string[] = []
  const base = tracker.newestRevision
  const { result, propagationMs } = await tracker.publishTimed(CONVERGENCE_TIMEOUT_MS)
  if (result.kind !== 'applied' || result.revision !== base + 1) violations.push(`publish returned ${JSON.stringify(result)} on base revision ${base}`)
  if (propagationMs === undefined) violations.push('the change is not in force on all VMs')
  return { name, examined: 1, violations }
}
