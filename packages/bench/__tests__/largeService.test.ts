import { expect } from 'chai'
import { WARM_UP_MS } from '../src/core/decisions/scenarios.js'
import { runPolicy } from '../src/core/decisions/simulation.js'
import { SERVICE_TO_ORACLE } from '../src/core/decisions/targets.js'
import { planUpstreams } from '../src/core/decisions/upstreamPlans.js'
import { planCalls } from '../src/core/decisions/workload.js'
import type { Cell, Scenario, ServiceShape } from '../src/types/decisions.js'

const SEED = 1
const VMS = 47
const LOAD = 0.6
const END_AT_MS = WARM_UP_MS + 200

const SCENARIO: Scenario = { name: 'largeService', class: 'steady', loadAt: () => LOAD }
const SHAPE: ServiceShape = { name: 'glossary-200x3', upstreams: 200, slots: 3, failureDomains: 5 }

function createCell (): Cell {
  const plans = planUpstreams(SHAPE, SEED, END_AT_MS)
  const calls = planCalls({ seed: SEED, scenario: SCENARIO, plans, entryCount: VMS, measuredFrom: WARM_UP_MS, endAt: END_AT_MS })
  return { scenario: SCENARIO, shape: SHAPE, seed: SEED, entryCount: VMS, endAt: END_AT_MS, plans, calls }
}

describe('a service with more upstreams than one VM uses, under load', () => {
  // Guards against subsets that leave upstreams idle while others have queues (issue 14).
  it('is served as well as its capacity allows', () => {
    const cell = createCell()
    const ours = runPolicy(cell, 'ours')
    const oracle = runPolicy(cell, 'oracle')
    expect(ours.weightedOnTime).to.be.at.least(SERVICE_TO_ORACLE * oracle.weightedOnTime)
  })
})
