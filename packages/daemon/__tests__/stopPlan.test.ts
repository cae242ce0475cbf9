import { expect } from 'chai'
import { StopPlan, type RequestEnd } from '../src/core/gateway/stopPlan.js'

const STARTED_AT = 1000
const GRACE_MS = 6000

function endOf (deadlineAt: number, latency?: RequestEnd['latency']): RequestEnd {
  return { deadlineAt, latency }
}

describe('StopPlan', () => {
  const plan = StopPlan.create(STARTED_AT, GRACE_MS)
  const accepts = (afterMs: number, timeLimitMs: number): boolean => plan.accepts(STARTED_AT + afterMs, endOf(STARTED_AT + afterMs + timeLimitMs))

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
    expect(short.accepts(STARTED_AT + 1500, endOf(STARTED_AT + 2500))).to.equal(false)
    expect(short.accepts(STARTED_AT + 1500, endOf(STARTED_AT + 1800))).to.equal(true)
  })

  // Guards against a deadline at the very end of the grace period, whose answer meets the exit.
  it('leaves time for the answer at the deadline', () => {
    expect(plan.accepts(plan.exitsAt - 1000, endOf(plan.exitsAt - 1))).to.equal(false)
    expect(plan.accepts(plan.exitsAt - 1000, endOf(plan.answersUntil))).to.equal(true)
    expect(plan.exitsAt - plan.answersUntil).to.be.at.least(0.02 * GRACE_MS - 1)
  })

  for (const graceMs of [2000, 6000, 10_000]) {
    it(`takes nothing late that usually outlasts a grace period of ${graceMs} ms, whatever its deadline`, () => {
      const stop = StopPlan.create(0, graceMs)
      const latency = { typicalMs: 0.2 * graceMs, longMs: 0.5 * graceMs }
      expect(stop.accepts(0.4 * graceMs, endOf(0.9 * graceMs, latency))).to.equal(true)
      expect(stop.accepts(0.5 * graceMs, endOf(0.9 * graceMs, latency))).to.equal(graceMs < 5000)
      expect(stop.accepts(0.56 * graceMs, endOf(0.9 * graceMs, latency))).to.equal(false)
    })
  }

  it('refuses early only what most likely outlasts it', () => {
    expect(plan.accepts(STARTED_AT + 2000, endOf(Infinity, { typicalMs: 3000, longMs: 9000 }))).to.equal(true)
    expect(plan.accepts(STARTED_AT + 2000, endOf(Infinity, { typicalMs: 4000, longMs: 9000 }))).to.equal(false)
    expect(plan.accepts(STARTED_AT + 2000, endOf(plan.answersUntil, { typicalMs: 4000, longMs: 9000 }))).to.equal(true)
  })

  it('lets a waiting request wait until it could not end any more', () => {
    const latency = { typicalMs: 100, longMs: 500 }
    expect(plan.mayWait(STARTED_AT + 2000, endOf(Infinity))).to.equal(true)
    expect(plan.mayWait(STARTED_AT + 3000, endOf(Infinity))).to.equal(false)
    expect(plan.mayWait(plan.answersUntil - 600, endOf(Infinity, latency))).to.equal(true)
    expect(plan.mayWait(plan.answersUntil - 400, endOf(Infinity, latency))).to.equal(false)
  })

  it('listens for a part of the grace period and exits before its end', () => {
    expect(plan.listensUntil).to.be.within(STARTED_AT + 3000, plan.exitsAt)
    expect(plan.exitsAt).to.be.below(STARTED_AT + GRACE_MS)
  })
})
