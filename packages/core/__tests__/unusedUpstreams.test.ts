import { expect } from 'chai'
import { FEE, Harness, LOOKUP, createUpstreams } from './dispatcherHarness.js'

const SLOW_START_MS = 2_000
const JOINED_ID = 'u003'

/** The joining upstream is in another failure domain, so that calls avoid it while others have capacity. */
function createHarness (warmInMs = 0, retryBudgetShare = 0.1): Harness {
  const harness = Harness.create(3, { retryBudgetShare, crossDomainCostMs: 1000 }, undefined, 'domain0')
  harness.warmUp(100, 5)
  const [joined, ...known] = createUpstreams(4).reverse()
  harness.dispatcher.setUpstreams([...known, { ...joined!, warmAt: harness.clock.now() + warmInMs }])
  return harness
}

/** Sends calls one after another, a millisecond apart, and returns the ids of the upstreams that received them. */
function serve (harness: Harness, kind: typeof LOOKUP, count: number): string[] {
  return Array.from({ length: count }, () => {
    const id = harness.submit(kind)
    harness.clock.advance(1)
    const attempts = harness.started.filter(({ callId }) => callId === id)
    harness.end(attempts[0]!)
    return attempts.map(({ upstreamId }) => upstreamId)
  }).flat()
}

describe('joining upstreams', () => {
  // Guards against a new upstream that stays idle forever because others always have capacity and are known to be fast.
  it('receive a call after their slow start, concurrently with a known upstream', () => {
    const harness = createHarness()
    harness.advance(SLOW_START_MS - 1)
    expect(serve(harness, LOOKUP, 1)).to.not.include(JOINED_ID)
    harness.advance(1)
    const [first, second] = serve(harness, LOOKUP, 1)
    expect([first === JOINED_ID, second]).to.deep.equal([false, JOINED_ID])
  })

  // Guards against a call to an upstream that reports that it is still warming up.
  it('receive no call before the time at which they expect to be warm', () => {
    const harness = createHarness(10_000)
    harness.advance(SLOW_START_MS)
    expect(serve(harness, LOOKUP, 1)).to.not.include(JOINED_ID)
  })

  it('receive only one such call', () => {
    const harness = createHarness()
    harness.advance(SLOW_START_MS)
    expect(serve(harness, LOOKUP, 20).filter(id => id === JOINED_ID)).to.have.length(1)
  })

  it('receive no such call if it is non-idempotent or the retry budget is empty', () => {
    const harness = createHarness()
    harness.advance(SLOW_START_MS)
    expect(serve(harness, FEE, 1)).to.not.include(JOINED_ID)
    const withoutBudget = createHarness(0, 0)
    withoutBudget.advance(SLOW_START_MS)
    expect(serve(withoutBudget, LOOKUP, 1)).to.not.include(JOINED_ID)
  })

  // An entry VM that starts before the upstreams must not send its first calls to each of them in turn.
  it('do not include upstreams registered before the first call', () => {
    const harness = Harness.create(0, { crossDomainCostMs: 1000 }, undefined, 'domain0')
    for (let count = 1; count <= 4; count++) {
      harness.advance(100)
      harness.dispatcher.setUpstreams(createUpstreams(count))
    }
    harness.advance(SLOW_START_MS)
    const used = new Set(serve(harness, LOOKUP, 40))
    expect([...used].sort()).to.deep.equal(['u000', 'u002'])
  })
})
