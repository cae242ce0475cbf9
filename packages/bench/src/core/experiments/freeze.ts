import { setTimeout as delay } from 'node:timers/promises'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import type { Experiment, ExperimentOptions, ExperimentResult } from '../../types/experiments.js'
import { checkCalls } from './checks.js'
import { Fleet, SMALL_FLEET } from './fleet.js'
import { countUnansweredCalls, measurePhases } from './measurements.js'
import { MixedLoad } from './mixedLoad.js'

const FROZEN_ENTRY_ID = 'entry-2'
const BEFORE_MS = 5000
const FROZEN_MS = 10_000
const AFTER_MS = 12_000

/** Pauses one daemon for 10 s under load. */
export const freeze: Experiment = {
  name: 'freeze',
  description: 'one of three daemons gets SIGSTOP for 10 s under load',
  run: options => {
    return Fleet.with({ ...SMALL_FLEET, seed: options.seed }, fleet => freezeDaemon(fleet, options))
  }
}

async function freezeDaemon (fleet: Fleet, { seed }: ExperimentOptions): Promise<ExperimentResult> {
  const load = MixedLoad.start({
    balancer: fleet.balancer, random: SeededRandom.create(seed), ratePerSecond: 200, issueShare: 0.4,
    downloadIntervalMs: 0, downloadPauseMs: 0, retryForMs: 5000, responseGraceMs: 1000
  })
  await delay(BEFORE_MS)
  const frozenAt = Date.now()
  fleet.deployment.processes.signal(FROZEN_ENTRY_ID, 'SIGSTOP')
  await delay(FROZEN_MS)
  const resumedAt = Date.now()
  fleet.deployment.processes.signal(FROZEN_ENTRY_ID, 'SIGCONT')
  await delay(AFTER_MS)
  await load.stop()
  const phases = [{ name: 'before', from: 0 }, { name: 'frozen', from: frozenAt }, { name: 'after', from: resumedAt }]
  const runs = await fleet.tallyRuns()
  return {
    measurements: [...measurePhases(load.calls, phases), ...countUnansweredCalls(load.calls)],
    checks: checkCalls(load.calls, runs, ['lookup', 'issue'])
  }
}
