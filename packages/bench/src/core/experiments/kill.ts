import { setTimeout as delay } from 'node:timers/promises'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import type { EntryVm } from '@cowsliplead/platform/standin/localDeployment.js'
import type { Experiment, ExperimentOptions, ExperimentResult } from '../../types/experiments.js'
import { checkCalls } from './checks.js'
import { Fleet, SMALL_FLEET } from './fleet.js'
import { measureOtherEnds, measurePhases } from './measurements.js'
import { MixedLoad } from './mixedLoad.js'

const VICTIM = 'entry-2'

const FULL = { beforeMs: 8000, deadMs: 8000, afterMs: 20_000, ratePerSecond: 200, repeatForMs: 20_000 }
const SHORT = { beforeMs: 1000, deadMs: 1000, afterMs: 1000, ratePerSecond: 100, repeatForMs: 2000 }

/** One of three daemons is killed and started again. */
export const kill: Experiment = {
  name: 'kill',
  description: 'one of three daemons gets SIGKILL under load and is started again',
  run: options => {
    return Fleet.with({ ...SMALL_FLEET, seed: options.seed }, fleet => killOne(fleet, options))
  }
}

async function killOne (fleet: Fleet, { seed, short }: ExperimentOptions): Promise<ExperimentResult> {
  const times = short ? SHORT : FULL
  const load = MixedLoad.start({
    balancer: fleet.balancer, random: SeededRandom.create(seed), ratePerSecond: times.ratePerSecond, issueShare: 0.4,
    downloadEveryMs: 0, downloadPauseMs: 0, repeatForMs: times.repeatForMs, patienceMs: 1000
  })
  await delay(times.beforeMs)
  const killedAt = Date.now()
  fleet.deployment.processes.signal(VICTIM, 'SIGKILL')
  await delay(times.deadMs)
  const startedAt = Date.now()
  await fleet.deployment.startDaemon(fleet.entries.find(({ id }) => id === VICTIM) as EntryVm)
  await delay(times.afterMs)
  await load.stop()
  const phases = [{ name: 'before', from: 0 }, { name: 'dead', from: killedAt }, { name: 'started again', from: startedAt }]
  const runs = await fleet.tallyRuns()
  return {
    measurements: [...measurePhases(load.calls, phases), ...measureOtherEnds(load.calls)],
    checks: checkCalls(load.calls, runs, ['lookup', 'issue'])
  }
}
