import { expect } from 'chai'
import { runDecisions } from '../src/core/decisions/runDecisions.js'
import { runInWorkers } from '../src/core/decisions/runInWorkers.js'
import { SCENARIOS } from '../src/core/decisions/scenarios.js'
import { MAX_DOUBLED_RUNS, MAX_FALSE_NOT_RUN, MAX_MEASURING_MESSAGES_WITH_REPORTS_PER_CALL } from '../src/core/decisions/targets.js'

const SEED = 1
const MEASURED_MS = 300
const SMALL_SHAPES = ['maps-6x4', 'export-8x3']
const STEADY_SCENARIOS = SCENARIOS.filter(scenario => scenario.class === 'steady').map(({ name }) => name)

describe('decisions bench', () => {
  // Guards against results that change from run to run.
  it('gives equal rows for equal seeds and different rows for different seeds', () => {
    const options = { seed: SEED, scenarios: ['oneSlow'], shapes: ['maps-6x4'], measuredMs: MEASURED_MS }
    expect(runDecisions(options)).to.deep.equal(runDecisions(options))
    expect(runDecisions({ ...options, seed: SEED + 1 })).to.not.deep.equal(runDecisions(options))
  })

  // Guards against rows that depend on how cells are distributed over threads.
  it('gives the same rows in worker threads', async () => {
    const options = { seed: SEED, scenarios: ['steady50', 'swing'], shapes: ['maps-6x4'], measuredMs: MEASURED_MS }
    expect(await runInWorkers(options, 2)).to.deep.equal(runDecisions(options))
  })

  // Guards against an oracle that is too weak to serve as the upper limit.
  it('has an oracle that is at least as good as the random policy in steady scenarios', () => {
    const rows = runDecisions({ seed: SEED, scenarios: STEADY_SCENARIOS, policies: ['random', 'oracle'], measuredMs: MEASURED_MS })
    for (const oracle of rows.filter(({ policy }) => policy === 'oracle')) {
      const random = rows.find(row => row.policy === 'random' && row.scenario === oracle.scenario && row.shape === oracle.shape)!
      const cell = `${oracle.scenario} ${oracle.shape}`
      expect(oracle.p99Ms, cell).to.be.at.most(random.p99Ms)
      expect(oracle.weightedOnTime, cell).to.be.at.least(random.weightedOnTime)
    }
  })

  // Guards against repeated runs of a non-idempotent call, "not run" for a call that ran, and unnecessary probes.
  it('upholds the guarantees of the dispatcher in every scenario', () => {
    const rows = runDecisions({ seed: SEED, shapes: SMALL_SHAPES, policies: ['ours', 'conventional'], measuredMs: MEASURED_MS })
    for (const row of rows) {
      const cell = `${row.scenario} ${row.shape} ${row.policy}`
      expect(row.doubledRuns, cell).to.equal(MAX_DOUBLED_RUNS)
      expect(row.falseNotRun, cell).to.equal(MAX_FALSE_NOT_RUN)
      expect(row.measuringMessagesPerCall, cell).to.equal(MAX_MEASURING_MESSAGES_WITH_REPORTS_PER_CALL)
    }
  })

  // Guards against calls missing from the results: each measured call is counted in exactly one outcome.
  it('accounts for every measured call', () => {
    const rows = runDecisions({ seed: SEED, scenarios: ['entryLost', 'overload130'], shapes: ['maps-6x4'], measuredMs: MEASURED_MS })
    for (const row of rows) {
      const counted = Object.values(row.outcomes).reduce((sum, count) => sum + count, 0)
      expect(counted, `${row.scenario} ${row.policy}`).to.equal(row.calls)
    }
  })
})
