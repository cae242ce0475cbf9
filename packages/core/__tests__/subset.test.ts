import { expect } from 'chai'
import { chooseSubset, preferenceOf, type RankedUpstream } from '../src/core/routing/subset.js'
import { Harness, upstreams } from './dispatcherHarness.js'

const LIMIT = 64
const UPSTREAMS = 300
const VMS = 60

/** The ids that a VM uses; upstreams alternate between two failure domains. */
function subsetOf (vm: number, without?: string, ownDomain: string | undefined = `domain${vm % 2}`): Set<string> {
  const all: RankedUpstream[] = upstreams(UPSTREAMS)
    .filter(({ id }) => id !== without)
    .map(upstream => ({ upstream, preference: preferenceOf(`vm${vm}`, upstream.id) }))
  return new Set(chooseSubset(all, LIMIT, ownDomain).map(({ upstream }) => upstream.id))
}

describe('the subset of a large service that a VM uses', () => {
  // Guards against upstreams that no VM uses, or that many more VMs use than others, although VMs do not know each other.
  it('covers all upstreams about equally often over all VMs', () => {
    const uses = new Map<string, number>()
    for (let vm = 0; vm < VMS; vm++) {
      const chosen = subsetOf(vm)
      expect(chosen.size).to.equal(LIMIT)
      for (const id of chosen) uses.set(id, (uses.get(id) ?? 0) + 1)
    }
    const mean = VMS * LIMIT / UPSTREAMS
    expect(uses.size).to.equal(UPSTREAMS)
    expect(Math.min(...uses.values())).to.be.at.least(mean / 3)
    expect(Math.max(...uses.values())).to.be.at.most(mean * 2)
  })

  // Guards against connections that are given up on all VMs whenever one upstream leaves.
  it('replaces only the upstream that left', () => {
    const before = subsetOf(3)
    const left = [...before][10] as string
    const after = subsetOf(3, left)
    expect([...before].filter(id => !after.has(id))).to.deep.equal([left])
    expect(after.size).to.equal(LIMIT)
  })

  // Guards against bytes between failure domains while the own one has room, and against a domain without any way out.
  it('has three quarters in the own failure domain', () => {
    const own = [...subsetOf(4)].filter(id => Number(id.slice(1)) % 2 === 0)
    expect(own.length).to.equal(LIMIT * 0.75)
  })

  it('takes all of its upstreams from elsewhere where its own failure domain has none', () => {
    expect(subsetOf(5, undefined, 'domain9').size).to.equal(LIMIT)
  })

  // Guards against a VM that is left alone with the load of all and uses a part of the upstreams only.
  it('grows with the attempts under way and shrinks when they end', () => {
    const harness = Harness.create(120, { scanLimitUpstreams: 30 })
    const ids = Array.from({ length: 200 }, () => harness.submit())
    expect(harness.dispatcher.upstreamCount).to.equal(120)
    for (const id of ids) harness.end(harness.attemptOf(id))
    harness.submit()
    harness.submit()
    expect(harness.dispatcher.upstreamCount).to.equal(30)
  })
})
