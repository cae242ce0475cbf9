import { setTimeout as delay } from 'node:timers/promises'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import type { EntryVm } from '@cowsliplead/platform/standin/localDeployment.js'
import type { ProcessExit } from '@cowsliplead/standin/core/processGroup.js'
import type { Check, Experiment, ExperimentOptions, ExperimentResult } from '../../types/experiments.js'
import { checkCalls, checkNoCutCalls } from './checks.js'
import { Fleet } from './fleet.js'
import { countUnansweredCalls, measurePhases, summarizeTimes } from './measurements.js'
import { MixedLoad } from './mixedLoad.js'

/** Long enough for a 4 MiB download in progress to finish. */
const EXIT_TIMEOUT_MS = 60_000

/** Calls without an answer this long after their deadline count as cut; long, because the machine may be busy. */
const RESPONSE_GRACE_MS = 10_000

interface Replacement {
  readonly id: string
  readonly end: ProcessExit | 'running'
  readonly exitMs: number
}

/** Replaces all daemons one after another: each is stopped by SIGTERM under load. */
export const rolling: Experiment = {
  name: 'rolling',
  description: 'every daemon is stopped gracefully and replaced in turn under load',
  run: ({ seed, short }) => {
    const fleetOptions = short
      ? { seed, entryCount: 3, registerUpstreams: 3, mapUpstreams: 1, graceS: 4 }
      : { seed, entryCount: 6, registerUpstreams: 12, mapUpstreams: 4, graceS: 12 }
    return Fleet.with(fleetOptions, fleet => replaceDaemons(fleet, { seed, short }))
  }
}

async function replaceDaemons (fleet: Fleet, { seed, short }: ExperimentOptions): Promise<ExperimentResult> {
  const load = MixedLoad.start({
    balancer: fleet.balancer, random: SeededRandom.create(seed), ratePerSecond: short ? 100 : 300, issueShare: 0.2,
    downloadIntervalMs: 1000, downloadPauseMs: short ? 20 : 120, retryForMs: 20_000, responseGraceMs: RESPONSE_GRACE_MS
  })
  await delay(short ? 500 : 3000)
  const startedAt = Date.now()
  const replacements: Replacement[] = []
  const oldEntries = [...fleet.entries]
  // The next replacement starts while the current VM stops, so that start and stop overlap.
  let nextReplacement = startReplacement(fleet)
  for (const [index, oldEntry] of oldEntries.entries()) {
    await nextReplacement
    if (index + 1 < oldEntries.length) nextReplacement = startReplacement(fleet)
    replacements.push(await stopDaemon(fleet, oldEntry))
  }
  const endedAt = Date.now()
  await delay(short ? 500 : 3000)
  await load.stop()
  const runs = await fleet.tallyRuns()
  return {
    measurements: [
      { name: 'time to replace all', value: `${endedAt - startedAt} ms for ${replacements.length} VMs` },
      { name: 'time from SIGTERM to exit', value: summarizeTimes(replacements.map(({ exitMs }) => exitMs)) },
      ...measurePhases(load.calls, [{ name: 'before', from: 0 }, { name: 'during', from: startedAt }, { name: 'after', from: endedAt }]),
      ...countUnansweredCalls(load.calls)
    ],
    checks: [checkNoCutCalls(load.calls), checkExits(replacements), ...checkCalls(load.calls, runs, ['lookup', 'issue', 'download'])]
  }
}

/** Starts a VM with a new id and waits until the load balancer sends calls to it. */
async function startReplacement (fleet: Fleet): Promise<void> {
  const entry = await fleet.deployment.addEntry()
  await fleet.deployment.startDaemon(entry)
  fleet.balancer.add(entry)
  await fleet.waitUntilInRotation(entry.id)
}

/** Sends SIGTERM to a daemon, as the platform does, and waits for its exit. */
async function stopDaemon (fleet: Fleet, oldEntry: EntryVm): Promise<Replacement> {
  const { deployment, balancer } = fleet
  const stoppedAt = Date.now()
  deployment.processes.signal(oldEntry.id, 'SIGTERM')
  const end = await Promise.race([deployment.processes.waitForExit(oldEntry.id), delay(EXIT_TIMEOUT_MS, 'running' as const, { ref: false })])
  const exitMs = Date.now() - stoppedAt
  balancer.remove(oldEntry.id)
  return { id: oldEntry.id, end, exitMs }
}

function checkExits (replacements: readonly Replacement[]): Check {
  const violations = replacements
    .filter(({ end }) => end === 'running' || end.code !== 0)
    .map(({ id, end }) => `${id} did not exit with 0: ${JSON.stringify(end)}`)
  return { name: 'every daemon exits with 0', examined: replacements.length, violations }
}
