import { expect } from 'chai'
import { StopPlan } from '../src/core/gateway/stopPlan.js'

const STARTED_AT = 1000
const GRACE_MS = 6000

describe('StopPlan', () => {
  const plan = StopPlan.create(STARTED_AT, GRACE_MS)
  const accepts = (afterMs: number, timeLimitMs: number): boolean => plan.accepts(STARTED_AT + afterMs, STARTED_AT + afterMs + timeLimitMs)

  it('accepts every request until the load balancer has taken the VM out', () => {
    expect(accepts(0, 60_000)).to.equal(true)
    expect(accepts(2400, 60_000)).to.equal(true)
  })

  // Guards against a request that is accepted late during a stop and cut off when the daemon exits.
  it('then accepts only requests that end before the daemon exits', () => {
    expect(accepts(3200, 2000)).to.equal(true)
    expect(accepts(3200, 5000)).to.equal(false)
  })

  // Guards against cutting off requests in a deployment whose grace period is shorter than a load balancer needs.
  it('does so for a short grace period as well', () => {
    const short = StopPlan.create(STARTED_AT, 2000)
    expect(short.accepts(STARTED_AT + 1500, STARTED_AT + 2500)).to.equal(false)
    expect(short.accepts(STARTED_AT + 1500, STARTED_AT + 1800)).to.equal(true)
  })

  it('listens for a part of the grace period and exits before its end', () => {
    expect(plan.listensUntil).to.be.within(STARTED_AT + 3000, plan.exitsAt)
    expect(plan.exitsAt).to.be.below(STARTED_AT + GRACE_MS)
  })
})
