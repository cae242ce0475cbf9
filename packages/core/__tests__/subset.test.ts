import { expect } from 'chai'
import { chooseSubset, preferenceOf, type RankedUpstream } from '../src/core/routing/subset.js'
import { Harness, createUpstreams } from './dispatcherHarness.js'

const LIMIT = 64
const UPSTREAMS = 300
const VMS = 60

/** Ids of the upstreams that a VM uses; upstreams alternate between two failure domains. */
function subsetOf (vm: number, without?: string, ownDomain: string | undefined = `domain${vm % 2}`): Set<string> {
  const all: RankedUpstream[] = createUpstreams(UPSTREAMS)
    .filter(({ id }) => id !== without)
    .map(upstream => ({ upstream, preference: preferenceOf(`vm${vm}`, upstream.id) }))
  return new Set(chooseSubset(all, LIMIT, ownDomain).map(({ upstream }) => upstream.id))
}

describe('subset of a large service\'s upstreams', () => {
  // Guards against upstreams that no VM uses, or that far more VMs use than others; VMs choose without coordination.
  it('covers all upstreams about evenly over all VMs', () => {
    const uses = new Map<string, number>()
    for (let vm = 0; vm < VMS; vm++) {
      const subset = subsetOf(vm)
      expect(subset.size).to.equal(LIMIT)
      for (const id of subset) uses.set(id, (uses.get(id) ?? 0) + 1)
    }
    const mean = VMS * LIMIT / UPSTREAMS
    expect(uses.size).to.equal(UPSTREAMS)
    expect(Math.min(...uses.values())).to.be.at.least(mean / 3)
    expect(Math.max(...uses.values())).to.be.at.most(mean * 2)
  })

  // Guards against connections that are closed on all VMs whenever one upstream leaves.
  it('replaces only the upstream that left', () => {
    const before = subsetOf(3)
    const left = [...before][10] as string
    const after = subsetOf(3, left)
    expect([...before].filter(id => !after.has(id))).to.deep.equal([left])
    expect(after.size).to.equal(LIMIT)
  })

  // Guards against avoidable traffic between failure domains, and against a VM without upstreams in another domain.
  it('has three quarters of its upstreams in the own failure domain', () => {
    const sameDomain = [...subsetOf(4)].filter(id => Number(id.slice(1)) % 2 === 0)
    expect(sameDomain.length).to.equal(LIMIT * 0.75)
  })

  it('has all of its upstreams in other failure domains if its own has none', () => {
    expect(subsetOf(5, undefined, 'domain9').size).to.equal(LIMIT)
  })

  // Guards against a VM that must carry the load of failed VMs but uses only its usual subset of the upstreams.
  it('grows with the number of attempts under way and shrinks when they end', () => {
    const harness = Harness.create(120, { scanLimitUpstreams: 30 })
    const ids = Array.from({ length: 200 }, () => harness.submit())
    expect(harness.dispatcher.upstreamCount).to.equal(120)
    for (const id of ids) harness.end(harness.attemptOf(id))
    harness.submit()
    harness.submit()
    expect(harness.dispatcher.upstreamCount).to.equal(30)
  })
})
