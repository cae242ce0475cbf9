import { setTimeout as delay } from 'node:timers/promises'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import type { Experiment, ExperimentOptions, ExperimentResult } from '../../types/experiments.js'
import { checkCalls } from './checks.js'
import { Fleet, SMALL_FLEET } from './fleet.js'
import { countUnansweredCalls, measurePhases } from './measurements.js'
import { MixedLoad } from './mixedLoad.js'

const FULL_RUN = { beforeMs: 5000, downMs: 20_000, afterMs: 10_000, ratePerSecond: 150 }
const SHORT_RUN = { beforeMs: 500, downMs: 2000, afterMs: 1000, ratePerSecond: 100 }

/** The store stops answering under load and recovers later. */
export const storeDown: Experiment = {
  name: 'storedown',
  description: 'the control store does not answer for 20 s under load; an upstream is killed during the outage',
  run: options => {
    return Fleet.with({ ...SMALL_FLEET, seed: options.seed }, fleet => interruptStore(fleet, options))
  }
}

async function interruptStore (fleet: Fleet, { seed, short }: ExperimentOptions): Promise<ExperimentResult> {
  const settings = short ? SHORT_RUN : FULL_RUN
  const load = MixedLoad.start({
    balancer: fleet.balancer, random: SeededRandom.create(seed), ratePerSecond: settings.ratePerSecond, issueShare: 0.4,
    downloadIntervalMs: 0, downloadPauseMs: 0, retryForMs: 0, responseGraceMs: 1000
  })
  await delay(settings.beforeMs)
  const downAt = Date.now()
  await fleet.deployment.store.setFaults({ mode: 'silent' })
  await delay(settings.downMs / 2)
  await fleet.killUpstream('register-1')
  await delay(settings.downMs / 2)
  const upAt = Date.now()
  await fleet.deployment.store.setFaults({ mode: 'none' })
  await delay(settings.afterMs)
  await load.stop()
  const phases = [{ name: 'before', from: 0 }, { name: 'store down', from: downAt }, { name: 'after', from: upAt }]
  const runs = await fleet.tallyRuns()
  return {
    measurements: [...measurePhases(load.calls, phases), ...countUnansweredCalls(load.calls)],
    checks: checkCalls(load.calls, runs, ['lookup', 'issue'], fleet.killedUpstreams)
  }
}
