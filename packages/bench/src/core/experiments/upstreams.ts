import { setTimeout as delay } from 'node:timers/promises'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import type { CallRecord, Check, Experiment, ExperimentOptions, ExperimentResult, RunTally } from '../../types/experiments.js'
import { checkCalls } from './checks.js'
import { Fleet } from './fleet.js'
import { countUnansweredCalls, measurePhases } from './measurements.js'
import { MixedLoad } from './mixedLoad.js'

/** Time after its drain notice by which an upstream must no longer receive new requests. */
const DRAIN_NOTICE_LIMIT_MS = 3000
const CROSSED_RESPONSES = 10
const TRUNCATED_RESPONSES = 10
const CRASHING_CALL_COUNT = 9
/** A request is refused after this many crashes; suspect records reach all VMs before the request is sent again. */
const MAX_CRASHES = 3
const ENTRY_COUNT = 3
const DRAINING_UPSTREAM = 'register-5'
const DEREGISTERED_UPSTREAM = 'register-6'

interface DrainCount {
  readonly upstream: string
  readonly startedAtLimit: number
}

/** Injects several kinds of upstream faults at the same time. */
export const upstreams: Experiment = {
  name: 'upstreams',
  description: 'upstreams that crash, hang, cross or truncate responses, fail, drain or slow down, all in one run',
  run: options => {
    const fleetOptions = { seed: options.seed, entryCount: ENTRY_COUNT, registerUpstreams: 10, mapUpstreams: 2, graceS: 1 }
    return Fleet.with(fleetOptions, fleet => runUpstreamFaults(fleet, options))
  }
}

async function runUpstreamFaults (fleet: Fleet, { seed, short }: ExperimentOptions): Promise<ExperimentResult> {
  const load = MixedLoad.start({
    balancer: fleet.balancer, random: SeededRandom.create(seed), ratePerSecond: short ? 100 : 200, issueShare: 0.3,
    downloadIntervalMs: 500, downloadPauseMs: 5, retryForMs: short ? 2000 : 10_000, responseGraceMs: 1000
  })
  await delay(short ? 1000 : 5000)
  const faultsStartedAt = Date.now()
  await enableFaults(fleet, load)
  await delay(DRAIN_NOTICE_LIMIT_MS)
  const drainCounts = await countStartedRuns(fleet)
  await sendCrashingCalls(load)
  await delay(short ? 1000 : 15_000)
  const faultsClearedAt = Date.now()
  for (const id of ['register-4', 'register-7']) await fleet.setUpstreamFaults(id, { failFastShare: 0, speed: 1 })
  await delay(short ? 500 : 8000)
  await load.stop()
  const runs = await fleet.tallyRuns()
  const drainCheck = await checkDrains(fleet, drainCounts)
  const phases = [{ name: 'before', from: 0 }, { name: 'faulty', from: faultsStartedAt }, { name: 'after', from: faultsClearedAt }]
  return {
    measurements: [
      ...measurePhases(load.calls, phases),
      { name: 'runs of the crashing request', value: String(countCrashingRuns(load.calls, runs)) },
      ...countUnansweredCalls(load.calls)
    ],
    checks: [
      drainCheck,
      checkCrashes(load.calls, runs),
      ...checkCalls(load.calls, runs, ['lookup', 'issue', 'download'], fleet.killedUpstreams)
    ]
  }
}

async function enableFaults (fleet: Fleet, load: MixedLoad): Promise<void> {
  load.startCall('crashing', 0)
  await fleet.silenceConnections('register-1')
  await fleet.setUpstreamFaults('register-2', { crossedResponses: CROSSED_RESPONSES })
  await fleet.setUpstreamFaults('register-3', { truncatedResponses: TRUNCATED_RESPONSES })
  await fleet.setUpstreamFaults('register-4', { failFastShare: 1 })
  await fleet.setUpstreamFaults('register-7', { speed: 0.1 })
  await fleet.killUpstream('register-8')
  await fleet.setUpstreamFaults(DRAINING_UPSTREAM, { draining: true })
  await fleet.deregister(DEREGISTERED_UPSTREAM)
}

async function sendCrashingCalls (load: MixedLoad): Promise<void> {
  for (let count = 1; count < CRASHING_CALL_COUNT; count++) {
    load.startCall('crashing', 0)
    await delay(50)
  }
}

async function countStartedRuns (fleet: Fleet): Promise<DrainCount[]> {
  return Promise.all([DRAINING_UPSTREAM, DEREGISTERED_UPSTREAM].map(async upstream => {
    const { started } = await fleet.readRunReport(upstream)
    return { upstream, startedAtLimit: started }
  }))
}

async function checkDrains (fleet: Fleet, drainCounts: readonly DrainCount[]): Promise<Check> {
  const violations: string[] = []
  for (const { upstream, startedAtLimit } of drainCounts) {
    const { started } = await fleet.readRunReport(upstream)
    if (started > startedAtLimit) violations.push(`${upstream} started ${started - startedAtLimit} runs more than ${DRAIN_NOTICE_LIMIT_MS} ms after its drain notice`)
  }
  return { name: 'no new work on a draining upstream after 3 s', examined: drainCounts.length, violations }
}

function checkCrashes (calls: readonly CallRecord[], runs: RunTally): Check {
  const runCount = countCrashingRuns(calls, runs)
  const violations = runCount > MAX_CRASHES ? [`the crashing request ran ${runCount} times, at most ${MAX_CRASHES} expected`] : []
  if (runCount === 0) violations.push('the crashing request never ran')
  return { name: 'a crashing request is refused after three crashes, at all VMs together', examined: runCount, violations }
}

function countCrashingRuns (calls: readonly CallRecord[], runs: RunTally): number {
  const sends = calls.filter(({ plan }) => plan.kind === 'crashing').flatMap(call => call.sends)
  return sends.reduce((sum, { id }) => sum + (runs.bySend.get(id) ?? 0), 0)
}
