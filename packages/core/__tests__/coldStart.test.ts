import { expect } from 'chai'
import { FEE, Harness } from './dispatcherHarness.js'

const TARGET_MS = 600
const KIND_WITH_TARGET = { ...FEE, deadlineMs: 2500, targetMs: TARGET_MS }
const SLOTS = 8

describe('cold start of an entry VM', () => {
  // After a restart of all VMs a backlog of calls arrives. Without learned service times it must not all be queued as if
  // work took no time, only to be refused together once the target has passed.
  it('refuses calls at once that cannot start in time, before any response has arrived', () => {
    const harness = Harness.create(2, { queueAllowanceCalls: 0 })
    const ids = Array.from({ length: 60 }, () => harness.submit(KIND_WITH_TARGET, { targetAt: harness.clock.now() + TARGET_MS }))
    const refused = ids.filter(id => harness.results.get(id)?.kind === 'notRun')
    expect(harness.started).to.have.length(SLOTS)
    expect(refused.length).to.be.at.least(30)
    expect(refused.length).to.be.below(60 - SLOTS)
  })

  it('estimates service times from responses once there are some', () => {
    const harness = Harness.create(2)
    harness.warmUp(50, 5)
    const id = harness.submit(KIND_WITH_TARGET, { targetAt: harness.clock.now() + TARGET_MS })
    harness.clock.advance(10)
    harness.end(harness.attemptOf(id))
    expect(harness.attemptOf(harness.submit(KIND_WITH_TARGET)).selection.expectedMs).to.be.closeTo(10, 5)
  })
})
