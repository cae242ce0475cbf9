import { expect } from 'chai'
import { FEE, Harness, LOOKUP, upstreams } from './dispatcherHarness.js'

const SLOW_START_MS = 2_000
const JOINED = 'u003'

/** The upstream that joins is in another failure domain, so that calls go elsewhere while there is room. */
function createHarness (warmInMs = 0, retryBudgetShare = 0.1): Harness {
  const harness = Harness.create(3, { retryBudgetShare, crossDomainCostMs: 1000 }, undefined, 'domain0')
  harness.warmUp(100, 5)
  const [joined, ...known] = upstreams(4).reverse()
  harness.dispatcher.setUpstreams([...known, { ...joined!, warmAt: harness.clock.now() + warmInMs }])
  return harness
}

/** Sends calls one by one, a millisecond apart, and returns the upstreams that got them. */
function serve (harness: Harness, kind: typeof LOOKUP, count: number): string[] {
  return Array.from({ length: count }, () => {
    const id = harness.submit(kind)
    harness.clock.advance(1)
    const attempts = harness.started.filter(({ callId }) => callId === id)
    harness.end(attempts[0]!)
    return attempts.map(({ upstreamId }) => upstreamId)
  }).flat()
}

describe('upstreams that join', () => {
  // Guards against a donated VM that stays idle for ever because the others always have room and are known to be fast.
  it('get a call once their slow start is over, beside an upstream that is known', () => {
    const harness = createHarness()
    harness.advance(SLOW_START_MS - 1)
    expect(serve(harness, LOOKUP, 1)).to.not.include(JOINED)
    harness.advance(1)
    const [first, second] = serve(harness, LOOKUP, 1)
    expect([first === JOINED, second]).to.deep.equal([false, JOINED])
  })

  // Guards against a call that goes to an upstream which says that it is still slow.
  it('get none before they are warm by their own word', () => {
    const harness = createHarness(10_000)
    harness.advance(SLOW_START_MS)
    expect(serve(harness, LOOKUP, 1)).to.not.include(JOINED)
  })

  it('get one such call', () => {
    const harness = createHarness()
    harness.advance(SLOW_START_MS)
    expect(serve(harness, LOOKUP, 20).filter(id => id === JOINED)).to.have.length(1)
  })

  it('are not tried with a call that must not run twice, nor beyond the budget', () => {
    const harness = createHarness()
    harness.advance(SLOW_START_MS)
    expect(serve(harness, FEE, 1)).to.not.include(JOINED)
    const poor = createHarness(0, 0)
    poor.advance(SLOW_START_MS)
    expect(serve(poor, LOOKUP, 1)).to.not.include(JOINED)
  })

  // Guards against a VM that starts before the upstreams and sends its first calls to each of them in turn.
  it('are not those that were there before the first call', () => {
    const harness = Harness.create(0, { crossDomainCostMs: 1000 }, undefined, 'domain0')
    for (let count = 1; count <= 4; count++) {
      harness.advance(100)
      harness.dispatcher.setUpstreams(upstreams(count))
    }
    harness.advance(SLOW_START_MS)
    const used = new Set(serve(harness, LOOKUP, 40))
    expect([...used].sort()).to.deep.equal(['u000', 'u002'])
  })
})
