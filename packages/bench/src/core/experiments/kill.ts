import { setTimeout as delay } from 'node:timers/promises'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import type { EntryVm } from '@cowsliplead/platform/standin/localDeployment.js'
import type { Experiment, ExperimentOptions, ExperimentResult } from '../../types/experiments.js'
import { checkCalls } from './checks.js'
import { Fleet, SMALL_FLEET } from './fleet.js'
import { countUnansweredCalls, measurePhases } from './measurements.js'
import { MixedLoad } from './mixedLoad.js'

const KILLED_ENTRY_ID = 'entry-2'

const FULL_RUN = { beforeMs: 8000, downMs: 8000, afterMs: 20_000, ratePerSecond: 200, retryForMs: 20_000 }
const SHORT_RUN = { beforeMs: 1000, downMs: 1000, afterMs: 1000, ratePerSecond: 100, retryForMs: 2000 }

/** Kills one of three daemons under load and restarts it. */
export const kill: Experiment = {
  name: 'kill',
  description: 'one of three daemons gets SIGKILL under load and is restarted',
  run: options => {
    return Fleet.with({ ...SMALL_FLEET, seed: options.seed }, fleet => killDaemon(fleet, options))
  }
}

async function killDaemon (fleet: Fleet, { seed, short }: ExperimentOptions): Promise<ExperimentResult> {
  const settings = short ? SHORT_RUN : FULL_RUN
  const load = MixedLoad.start({
    balancer: fleet.balancer, random: SeededRandom.create(seed), ratePerSecond: settings.ratePerSecond, issueShare: 0.4,
    downloadIntervalMs: 0, downloadPauseMs: 0, retryForMs: settings.retryForMs, responseGraceMs: 1000
  })
  await delay(settings.beforeMs)
  const killedAt = Date.now()
  fleet.deployment.processes.signal(KILLED_ENTRY_ID, 'SIGKILL')
  await delay(settings.downMs)
  const restartedAt = Date.now()
  await fleet.deployment.startDaemon(fleet.entries.find(({ id }) => id === KILLED_ENTRY_ID) as EntryVm)
  await delay(settings.afterMs)
  await load.stop()
  const phases = [{ name: 'before', from: 0 }, { name: 'dead', from: killedAt }, { name: 'started again', from: restartedAt }]
  const runs = await fleet.tallyRuns()
  return {
    measurements: [...measurePhases(load.calls, phases), ...countUnansweredCalls(load.calls)],
    checks: checkCalls(load.calls, runs, ['lookup', 'issue'])
  }
}
