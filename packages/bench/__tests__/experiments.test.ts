import { expect } from 'chai'
import { checkAnswersRan, checkCoverage, checkNotRun, checkNothingCut, checkResponses, checkRunsKnown, checkRunsOnce } from '../src/core/experiments/checks.js'
import { kill } from '../src/core/experiments/kill.js'
import { rolling } from '../src/core/experiments/rolling.js'
import { inForce } from '../src/core/experiments/inForce.js'
import { storeDown } from '../src/core/experiments/storeDown.js'
import { upstreams } from '../src/core/experiments/upstreams.js'
import { planCall } from '../src/core/experiments/callPlans.js'
import type { CallRecord, Check, RunTally, SendOutcome } from '../src/types/experiments.js'

const SEED = 7
const TIMEOUT_MS = 90_000

function callWith (...outcomes: SendOutcome[]): CallRecord {
  const sends = outcomes.map((outcome, index) => ({
    id: `send-${index}`, entry: 'entry-1', at: index, tookMs: 1, outcome, code: undefined, upstream: 'register-1', detail: ''
  }))
  return { plan: planCall('issue', 1, 0), startedAt: 0, sends }
}

function runsOf (...bySend: Array<[string, number]>): RunTally {
  return { bySend: new Map(bySend) }
}

describe('checks of the experiments', () => {
  // Guards against checks that cannot fail.
  const violated: Array<[string, Check]> = [
    ['a response of another request', checkResponses([callWith('wrong')])],
    ['a lost connection', checkNothingCut([callWith('cut')])],
    ['no answer at all', checkNothingCut([callWith('timeout')])],
    ['two runs of a call', checkRunsOnce([callWith('unknown', 'answered')], runsOf(['send-0', 1], ['send-1', 1]))],
    ['"not run" for a send that ran', checkNotRun([callWith('notRun', 'answered')], runsOf(['send-0', 1]))],
    ['an answer without a run', checkAnswersRan([callWith('answered')], runsOf(), new Set())],
    ['a run of no send', checkRunsKnown([callWith('answered')], runsOf(['other', 1]))],
    ['no answered call', checkCoverage([callWith('unknown')], ['issue'])]
  ]
  for (const [name, check] of violated) {
    it(`find ${name}`, () => expect(check.violations).to.have.length(1))
  }

  // Guards against a violation where a repeat runs a call that was refused before.
  it('accept a run by a send after "not run"', () => {
    const runs = runsOf(['send-1', 1])
    expect(checkNotRun([callWith('notRun', 'answered')], runs).violations).to.deep.equal([])
  })
})

describe('short experiments over real processes', function () {
  this.timeout(TIMEOUT_MS)

  // Guards against calls cut, run twice, wrongly refused or mixed up by faults of processes and upstreams.
  for (const experiment of [rolling, kill, upstreams, storeDown, inForce]) {
    it(`${experiment.name}: every invariant holds`, async () => {
      const { checks } = await experiment.run({ seed: SEED, short: true })
      expect(checks.filter(({ violations }) => violations.length > 0)).to.deep.equal([])
    })
  }
})
