import { expect } from 'chai'
import { checkAnsweredCallsRan, checkCoverage, checkNotRunRefusals, checkNoCutCalls, checkResponses, checkRunsMatchSends, checkNoRepeatedRuns } from '../src/core/experiments/checks.js'
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
    id: `send-${index}`, entryId: 'entry-1', sentAt: index, durationMs: 1, outcome, code: undefined, upstreamId: 'register-1', detail: ''
  }))
  return { plan: planCall('issue', 1, 0), startedAt: 0, sends }
}

function runsOf (...bySend: Array<[string, number]>): RunTally {
  return { bySend: new Map(bySend) }
}

describe('checks of the experiments', () => {
  // Guards against checks that never report a violation.
  const violatedChecks: Array<[string, Check]> = [
    ['a response to another request', checkResponses([callWith('wrong')])],
    ['a lost connection', checkNoCutCalls([callWith('cut')])],
    ['a send that timed out', checkNoCutCalls([callWith('timeout')])],
    ['a call that ran twice', checkNoRepeatedRuns([callWith('unknown', 'answered')], runsOf(['send-0', 1], ['send-1', 1]))],
    ['a send that ran although refused as "not run"', checkNotRunRefusals([callWith('notRun', 'answered')], runsOf(['send-0', 1]))],
    ['an answered call that did not run', checkAnsweredCallsRan([callWith('answered')], runsOf(), new Set())],
    ['a run that belongs to no send', checkRunsMatchSends([callWith('answered')], runsOf(['other', 1]))],
    ['a kind without answered calls', checkCoverage([callWith('unknown')], ['issue'])]
  ]
  for (const [name, check] of violatedChecks) {
    it(`find ${name}`, () => expect(check.violations).to.have.length(1))
  }

  // Guards against a false violation when a call runs on a retry after an earlier send was refused as not run.
  it('accept a run by a retry after "not run"', () => {
    const runs = runsOf(['send-1', 1])
    expect(checkNotRunRefusals([callWith('notRun', 'answered')], runs).violations).to.deep.equal([])
  })
})

describe('short experiments with real processes', function () {
  this.timeout(TIMEOUT_MS)

  // Guards against calls that are cut, run twice, get a false "not run" or another call's response under faults.
  for (const experiment of [rolling, kill, upstreams, storeDown, inForce]) {
    it(`${experiment.name}: every invariant holds`, async () => {
      const { checks } = await experiment.run({ seed: SEED, short: true })
      expect(checks.filter(({ violations }) => violations.length > 0)).to.deep.equal([])
    })
  }
})
