import { setTimeout as delay } from 'node:timers/promises'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import type { Experiment, ExperimentOptions, ExperimentResult } from '../../types/experiments.js'
import { checkCalls } from './checks.js'
import { Fleet, SMALL_FLEET } from './fleet.js'
import { measureOtherEnds, measurePhases } from './measurements.js'
import { MixedLoad } from './mixedLoad.js'

const FULL = { beforeMs: 5000, downMs: 20_000, afterMs: 10_000, ratePerSecond: 150 }
const SHORT = { beforeMs: 500, downMs: 2000, afterMs: 1000, ratePerSecond: 100 }

/** The store is silent under load, and comes back. */
export const storeDown: Experiment = {
  name: 'storedown',
  description: 'the control store does not answer for 20 s under load, and an upstream is killed meanwhile',
  run: options => {
    return Fleet.with({ ...SMALL_FLEET, seed: options.seed }, fleet => interruptStore(fleet, options))
  }
}

async function interruptStore (fleet: Fleet, { seed, short }: ExperimentOptions): Promise<ExperimentResult> {
  const times = short ? SHORT : FULL
  const load = MixedLoad.start({
    balancer: fleet.balancer, random: SeededRandom.create(seed), ratePerSecond: times.ratePerSecond, issueShare: 0.4,
    downloadEveryMs: 0, downloadPauseMs: 0, repeatForMs: 0, patienceMs: 1000
  })
  await delay(times.beforeMs)
  const downAt = Date.now()
  await fleet.deployment.store.setFaults({ mode: 'silent' })
  await delay(times.downMs / 2)
  await fleet.killUpstream('register-1')
  await delay(times.downMs / 2)
  const upAt = Date.now()
  await fleet.deployment.store.setFaults({ mode: 'none' })
  await delay(times.afterMs)
  await load.stop()
  const phases = [{ name: 'before', from: 0 }, { name: 'store down', from: downAt }, { name: 'after', from: upAt }]
  const runs = await fleet.tallyRuns()
  return {
    measurements: [...measurePhases(load.calls, phases), ...measureOtherEnds(load.calls)],
    checks: checkCalls(load.calls, runs, ['lookup', 'issue'], fleet.killed)
  }
}
