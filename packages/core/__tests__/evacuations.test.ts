import { expect } from 'chai'
import { Evacuations } from '../src/core/membership/evacuations.js'
import { createUpstreams, FEE, Harness, LOOKUP } from './dispatcherHarness.js'
import { deliveredShare, PausingService, SLOTS } from './pausingService.js'

const HOLD_MS = 15_000

function evacuated (...domains: string[]): Evacuations {
  const evacuations = Evacuations.create()
  evacuations.replaceAll(new Set(domains), 0)
  return evacuations
}

describe('orders to evacuate failure domains', () => {
  it('end with their removal, or with a snapshot of the same epoch that lacks them', () => {
    const evacuations = evacuated('a', 'b', 'c')
    expect(evacuations.onOrder('a', false)).to.equal('ended')
    expect(evacuations.onOrder('a', false)).to.equal('unchanged')
    expect(evacuations.replaceAll(new Set(['c']), 10)).to.deep.equal([{ failureDomain: 'c', change: 'unchanged' }, { failureDomain: 'b', change: 'ended' }])
    expect([...evacuations.domains()]).to.deep.equal(['c'])
  })

  // Guards against new work in an evacuated domain because the store was restored from a copy without its order.
  it('are held after a restore until operators have had time to write them again', () => {
    const evacuations = evacuated('a', 'b', 'c')
    evacuations.onStoreRestored(100)
    evacuations.replaceAll(new Set(['c']), 110)
    expect([...evacuations.domains()]).to.have.members(['a', 'b', 'c'])
    expect(evacuations.onOrder('a', true)).to.equal('confirmed')
    expect(evacuations.nextExpiryAt()).to.equal(100 + HOLD_MS)
    expect(evacuations.expire(99 + HOLD_MS)).to.deep.equal([])
    expect(evacuations.expire(100 + HOLD_MS)).to.deep.equal([{ failureDomain: 'b', change: 'ended' }])
    expect([...evacuations.domains()]).to.have.members(['a', 'c'])
    expect(evacuations.nextExpiryAt()).to.equal(undefined)
  })

  // Guards against an evacuation that cannot be ended, or a second restore that ends one, in the time after a restore.
  it('can be withdrawn while held, and are held through a second restore', () => {
    const evacuations = evacuated('a', 'b')
    evacuations.onStoreRestored(0)
    evacuations.replaceAll(new Set(), 0)
    expect(evacuations.onOrder('a', false)).to.equal('ended')
    evacuations.onStoreRestored(HOLD_MS - 1)
    evacuations.replaceAll(new Set(), HOLD_MS - 1)
    expect(evacuations.expire(HOLD_MS)).to.deep.equal([])
    expect([...evacuations.domains()]).to.deep.equal(['b'])
  })
})

describe('an evacuated failure domain', () => {
  const EVACUATED = new Set(['domain0'])
  const ALL = new Set(['domain0', 'domain1'])

  function startedAfter (harness: Harness, from: number): Set<string> {
    return new Set(harness.started.slice(from).map(({ upstreamId }) => upstreamId))
  }

  // Guards against trial calls, hedges and retries that reach upstreams which first attempts avoid.
  it('gets no attempts of any purpose', () => {
    const harness = Harness.create(4, { ejectionCapacityShare: 1, attemptsPerCall: 4 })
    harness.warmUp(200)
    const from = harness.started.length
    harness.dispatcher.setEvacuatedDomains(EVACUATED)
    for (let step = 0; step < 100; step++) {
      const id = harness.submit(LOOKUP)
      harness.advance(20)
      for (const attempt of harness.started.filter(({ callId }) => callId === id)) harness.end(attempt, step % 3 === 0 ? 'failed' : 'answered')
    }
    expect(new Set(harness.started.slice(from).map(({ purpose }) => purpose))).to.include('retry')
    expect([...startedAfter(harness, from)]).to.have.members(['u001', 'u003'])
  })

  it('gets no load probes', () => {
    const harness = Harness.create(4, { probeUpstreams: 4 })
    harness.dispatcher.setEvacuatedDomains(EVACUATED)
    harness.submit()
    expect(harness.probes).to.have.members(['u001', 'u003'])
  })

  it('has running attempts end normally', () => {
    const harness = Harness.create(2)
    harness.warmUp()
    const ids = Array.from({ length: 4 }, () => harness.submit(FEE))
    harness.dispatcher.setEvacuatedDomains(ALL)
    for (const id of ids) harness.end(harness.attemptOf(id))
    expect(ids.map(id => harness.results.get(id)?.kind)).to.deep.equal(ids.map(() => 'delivered'))
  })

  // Guards against calls that wait in vain until their deadlines once the last upstream is evacuated.
  it('has waiting and new calls refused at once, with a Retry-After, if it was the last one', () => {
    const harness = Harness.create(1, { queueAllowanceCalls: 0 })
    harness.warmUp()
    const ids = Array.from({ length: 6 }, () => harness.submit())
    expect(ids.filter(id => harness.results.has(id))).to.deep.equal([])
    harness.dispatcher.setEvacuatedDomains(EVACUATED)
    const waiting = ids.filter(id => !harness.started.some(({ callId }) => callId === id))
    expect(waiting).not.to.have.length(0)
    for (const id of [...waiting, harness.submit()]) {
      expect(harness.results.get(id)).to.deep.equal({ kind: 'notRun', code: 'noUpstream', retryAfterMs: 1000 })
    }
  })

  // Guards against retries that wait for upstreams which are evacuated, until their deadlines.
  it('ends a call at once whose retry has no upstream left', () => {
    const harness = Harness.create(2)
    harness.warmUp()
    const id = harness.submit()
    harness.dispatcher.setEvacuatedDomains(ALL)
    harness.end(harness.attemptOf(id), 'notRun', { report: harness.report() })
    expect(harness.results.get(id)).to.deep.equal({ kind: 'notRun', code: 'shed', retryAfterMs: 1000 })
  })

  it('is taken up again, also by upstreams that register meanwhile', () => {
    const harness = Harness.create(2)
    harness.warmUp()
    harness.dispatcher.setEvacuatedDomains(EVACUATED)
    harness.dispatcher.setUpstreams(createUpstreams(4))
    expect(harness.dispatcher.upstreamCount).to.equal(2)
    expect(harness.dispatcher.snapshot().evacuatedUpstreams).to.equal(2)
    harness.dispatcher.setEvacuatedDomains(new Set())
    expect(harness.dispatcher.upstreamCount).to.equal(4)
    const from = harness.started.length
    for (let index = 0; index < 12; index++) harness.submit()
    expect([...startedAfter(harness, from)]).to.include.members(['u000', 'u002'])
  })

  // Guards against an upstream that counts as warm because it was registered before the evacuation.
  it('has its upstreams start slowly when it is taken up again', () => {
    const harness = Harness.create(2)
    harness.warmUp()
    harness.dispatcher.setEvacuatedDomains(EVACUATED)
    harness.advance(10_000)
    harness.dispatcher.setEvacuatedDomains(new Set())
    harness.submit()
    const warmth = new Map(harness.dispatcher.snapshot().upstreams.map(upstream => [upstream.id, upstream.warmth]))
    expect(warmth.get('u000')).to.be.below(0.2)
    expect(warmth.get('u001')).to.equal(1)
  })

  // Guards against an overload of the other upstreams, and of those that return, when half of them are evacuated under load.
  for (const { load, intervalMs, share } of [{ load: 0.4, intervalMs: 2, share: 0.99 }, { load: 0.8, intervalMs: 1, share: 0.55 }]) {
    it(`leaves the others within their slots when half of the service goes and returns, at ${load} of all slots`, () => {
      const service = new PausingService()
      service.run(1000, intervalMs)
      service.harness.dispatcher.setEvacuatedDomains(EVACUATED)
      expect(deliveredShare(service.run(3000, intervalMs))).to.be.at.least(share)
      service.harness.dispatcher.setEvacuatedDomains(new Set())
      service.run(3000, intervalMs)
      expect(deliveredShare(service.run(2000, intervalMs))).to.be.at.least(0.99)
      expect(service.mostInFlight).to.be.at.most(SLOTS + 1)
    })
  }
})
