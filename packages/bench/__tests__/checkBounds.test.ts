import { expect } from 'chai'
import { checkBounds } from '../src/core/decisions/checkBounds.js'
import type { Row, ScenarioClass } from '../src/types/decisions.js'

function createRow (policy: string, change: Partial<Row> = {}): Row {
  return {
    scenario: 's', class: 'steady', shape: 'x', policy, calls: 1000, p50Ms: 5, p99Ms: 20, p999Ms: 40, p99MsByKind: { lookup: 10 },
    weightedOnTime: 1, onTimeByKind: { lookup: 1 }, retriesPerCall: 0, hedgesPerCall: 0, measuringMessagesPerCall: 0,
    measuringBytesPerCall: 0, reportBytesPerCall: 60, doubledRuns: 0, falseNotRun: 0, upstreamCrashes: 0, outcomes: {}, ...change
  }
}

function missedMeasures (change: Partial<Row>, scenarioClass: ScenarioClass, baseline: Partial<Row> = {}): string[] {
  const rows = [createRow('ours', change), createRow('oracle', baseline), createRow('random', baseline)]
    .map(row => ({ ...row, class: scenarioClass }))
  return checkBounds(rows).map(({ measure }) => measure)
}

describe('checkBounds', () => {
  const cases: [string, Partial<Row>, Partial<Row>, ScenarioClass, string[]][] = [
    ['p99 at the bound of steady scenarios', { p99Ms: 25 }, {}, 'steady', []],
    ['p99 above the bound of steady scenarios', { p99Ms: 25.1 }, {}, 'steady', ['p99Ms']],
    ['p99 at the bound of fault scenarios', { p99Ms: 30 }, {}, 'fault', []],
    ['p99 above the bound of fault scenarios', { p99Ms: 30.1 }, {}, 'fault', ['p99Ms']],
    ['p99 of lookups above the bound', { p99MsByKind: { lookup: 13 } }, {}, 'steady', ['p99Ms of lookup']],
    ['on-time share below the best baseline', { weightedOnTime: 0.995 }, {}, 'steady', ['weightedOnTime to best baseline']],
    ['on-time share below 99% of the oracle', { weightedOnTime: 0.98 }, {}, 'fault', ['weightedOnTime to best baseline', 'weightedOnTime to oracle']],
    ['on-time share equal to both', { weightedOnTime: 0.7 }, { weightedOnTime: 0.7 }, 'fault', []],
    ['a dedicated measuring message', { measuringMessagesPerCall: 0.001 }, {}, 'steady', ['measuringMessagesPerCall']],
    ['retries and hedges at the budget', { retriesPerCall: 0.05, hedgesPerCall: 0.05 }, {}, 'fault', []],
    ['retries and hedges above the budget', { retriesPerCall: 0.05, hedgesPerCall: 0.051 }, {}, 'fault', ['retriesAndHedgesPerCall']],
    ['a repeated run of a non-idempotent call', { doubledRuns: 1 }, {}, 'fault', ['doubledRuns']],
    ['"not run" for a call that ran', { falseNotRun: 1 }, {}, 'fault', ['falseNotRun']]
  ]
  for (const [name, shipped, baseline, scenarioClass, expected] of cases) {
    // Guards against a check that never fails, or that fails at exactly its bound.
    it(name, () => expect(missedMeasures(shipped, scenarioClass, baseline)).to.deep.equal(expected))
  }

  // Guards against a check that passes because there was nothing to compare with.
  it('throws without rows of the oracle', () => {
    expect(() => checkBounds([createRow('ours'), createRow('random')])).to.throw('cannot check bounds without rows of the shipped policy')
  })
})
