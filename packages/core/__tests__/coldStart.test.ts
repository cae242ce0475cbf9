import { expect } from 'chai'
import { FEE, Harness } from './dispatcherHarness.js'

const TARGET_MS = 600
const AIMED = { ...FEE, deadlineMs: 2500, targetMs: TARGET_MS }
const SLOTS = 8

describe('a VM that has just started', () => {
  // Guards against a backlog after a restart of all VMs that is let into the queue as if work took no time, and is
  // refused together once its target has passed.
  it('refuses what it cannot start in time at once, before it has seen an answer', () => {
    const harness = Harness.create(2, { queueAllowanceCalls: 0 })
    const ids = Array.from({ length: 60 }, () => harness.submit(AIMED, { targetAt: harness.clock.now() + TARGET_MS }))
    const refused = ids.filter(id => harness.results.get(id)?.kind === 'notRun')
    expect(harness.started).to.have.length(SLOTS)
    expect(refused.length).to.be.at.least(30)
    expect(refused.length).to.be.below(60 - SLOTS)
  })

  it('takes its usual times from answers once it has some', () => {
    const harness = Harness.create(2)
    harness.warmUp(50, 5)
    const id = harness.submit(AIMED, { targetAt: harness.clock.now() + TARGET_MS })
    harness.clock.advance(10)
    harness.end(harness.attemptOf(id))
    expect(harness.attemptOf(harness.submit(AIMED)).basis.expectedMs).to.be.closeTo(10, 5)
  })
})
