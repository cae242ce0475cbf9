import { expect } from 'chai'
import { UpstreamDirectory } from '../src/core/membership/upstreamDirectory.js'
import type { Upstream } from '../src/types/upstream.js'
import { Harness, upstreams } from './dispatcherHarness.js'
import type { UpstreamEntry } from '../src/types/upstreamEntry.js'

const RENEWAL_MS = 2000

function entry (fields: Partial<UpstreamEntry> = {}): UpstreamEntry {
  return {
    id: 'u1', service: 'permits', address: '10.0.0.1', port: 80, failureDomain: 'a', slots: 4, state: 'live',
    incarnation: 100, sequence: 5, warmupLeftMs: 0, ...fields
  }
}

function createDirectory (): UpstreamDirectory {
  const directory = UpstreamDirectory.create({ renewalMs: RENEWAL_MS })
  directory.put(entry(), 0)
  return directory
}

describe('upstreams that start again under their id', () => {
  // Guards against a fresh process that stays ejected for what its predecessor did.
  it('start without what was learned before', () => {
    const harness = Harness.create(0, { ejectionCapacityShare: 1 })
    const [upstream] = upstreams(1) as [Upstream]
    harness.dispatcher.setUpstreams([{ ...upstream, incarnation: 1 }])
    for (let i = 0; i < 6; i++) {
      const id = harness.submit()
      if (harness.started.some(({ callId }) => callId === id)) harness.end(harness.attemptOf(id), 'failed')
    }
    expect(harness.dispatcher.snapshot().upstreams[0]).to.include({ ejected: true })
    harness.dispatcher.setUpstreams([{ ...upstream, incarnation: 2 }])
    expect(harness.dispatcher.snapshot().upstreams[0]).to.include({ ejected: false, failures: 0, errorShare: 0 })
  })
})

describe('upstream directory', () => {
  // Guards against a delayed write that brings a drained upstream, or an earlier process of the same id, back.
  const older: Array<[string, UpstreamEntry]> = [
    ['an earlier heartbeat', entry({ sequence: 4, port: 81 })],
    ['an earlier incarnation', entry({ incarnation: 99, sequence: 9, port: 81 })]
  ]
  for (const [name, late] of older) {
    it(`ignores ${name}`, () => {
      const directory = createDirectory()
      expect(directory.put(late, 0)).to.equal('ignored')
      expect(directory.get('u1')?.port).to.equal(80)
    })
  }

  it('does not take an incarnation back that drains', () => {
    const directory = createDirectory()
    expect(directory.put(entry({ state: 'leaving' }), 0)).to.equal('draining')
    expect(directory.put(entry(), 0)).to.equal('ignored')
    expect(directory.get('u1')?.state).to.equal('leaving')
  })

  it('takes a restart under the same id, whose heartbeats start anew', () => {
    const directory = createDirectory()
    expect(directory.put(entry({ incarnation: 101, sequence: 0 }), 0)).to.equal('restarted')
  })

  // Guards against upstreams that are handed to every dispatcher anew with each heartbeat, and against a warm-up that
  // begins anew with it.
  it('tells a heartbeat that changes nothing from a change', () => {
    const directory = UpstreamDirectory.create({ renewalMs: RENEWAL_MS })
    directory.put(entry({ warmupLeftMs: 3000 }), 0)
    const listed = directory.list()
    expect(directory.put(entry({ sequence: 6, warmupLeftMs: 2500 }), 1000)).to.equal('renewed')
    expect(directory.list()).to.equal(listed)
    expect(listed[0]?.warmAt).to.equal(3000)
    expect(directory.put(entry({ sequence: 7, slots: 5 }), 1000)).to.equal('updated')
  })

  // Guards against dropping all upstreams whose entries lapsed while the registry was away.
  it('holds entries that are missing after an outage until they could be renewed', () => {
    const directory = createDirectory()
    directory.onRegistryReturn(1000)
    expect(directory.replaceAll([], 1000)).to.deep.equal([])
    expect(directory.expire(1000 + RENEWAL_MS - 1)).to.deep.equal([])
    expect(directory.list()).to.have.length(1)
    expect(directory.expire(1000 + RENEWAL_MS)).to.deep.equal(['u1'])
    expect(directory.list()).to.deep.equal([])
  })

  it('keeps an entry that is renewed in time', () => {
    const directory = createDirectory()
    directory.onRegistryReturn(1000)
    directory.remove('u1', 1000)
    directory.put(entry({ sequence: 6 }), 1500)
    expect(directory.expire(1000 + RENEWAL_MS)).to.deep.equal([])
  })

  // Guards against new work for an upstream that left while the registry was reachable, or that was draining before.
  it('removes at once what leaves without an outage, and what was draining', () => {
    const directory = createDirectory()
    expect(directory.remove('u1', 0)).to.equal('removed')
    directory.put(entry({ incarnation: 102, state: 'leaving' }), 0)
    directory.onRegistryReturn(1000)
    expect(directory.remove('u1', 1000)).to.equal('removed')
  })
})
