import { expect } from 'chai'
import { UpstreamDirectory } from '../src/core/membership/upstreamDirectory.js'
import type { Upstream } from '../src/types/upstream.js'
import { Harness, createUpstreams } from './dispatcherHarness.js'
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

describe('upstreams that restart under the same id', () => {
  // Guards against a new process that stays ejected because of its predecessor's failures.
  it('start without the state of the previous process', () => {
    const harness = Harness.create(0, { ejectionCapacityShare: 1 })
    const [upstream] = createUpstreams(1) as [Upstream]
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

describe('UpstreamDirectory', () => {
  // Guards against a delayed write that restores a drained upstream or an earlier process with the same id.
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

  it('does not return a draining incarnation to service', () => {
    const directory = createDirectory()
    expect(directory.put(entry({ state: 'leaving' }), 0)).to.equal('draining')
    expect(directory.put(entry(), 0)).to.equal('ignored')
    expect(directory.get('u1')?.state).to.equal('leaving')
  })

  it('accepts a restart under the same id, which resets the heartbeat sequence', () => {
    const directory = createDirectory()
    expect(directory.put(entry({ incarnation: 101, sequence: 0 }), 0)).to.equal('restarted')
  })

  // Guards against passing the upstreams to every dispatcher on each heartbeat, and against a warm-up that each
  // heartbeat restarts.
  it('distinguishes a heartbeat that changes nothing from a change', () => {
    const directory = UpstreamDirectory.create({ renewalMs: RENEWAL_MS })
    directory.put(entry({ warmupLeftMs: 3000 }), 0)
    const listed = directory.list()
    expect(directory.put(entry({ sequence: 6, warmupLeftMs: 2500 }), 1000)).to.equal('renewed')
    expect(directory.list()).to.equal(listed)
    expect(listed[0]?.warmAt).to.equal(3000)
    expect(directory.put(entry({ sequence: 7, slots: 5 }), 1000)).to.equal('updated')
  })

  // Guards against dropping all upstreams whose entries lapsed while the control store was unreachable.
  it('holds entries that are missing after an outage for the renewal period', () => {
    const directory = createDirectory()
    directory.onStoreRecovered(1000)
    expect(directory.replaceAll([], 1000)).to.deep.equal([])
    expect(directory.expire(1000 + RENEWAL_MS - 1)).to.deep.equal([])
    expect(directory.list()).to.have.length(1)
    expect(directory.expire(1000 + RENEWAL_MS)).to.deep.equal(['u1'])
    expect(directory.list()).to.deep.equal([])
  })

  it('keeps an entry that is renewed in time', () => {
    const directory = createDirectory()
    directory.onStoreRecovered(1000)
    directory.remove('u1', 1000)
    directory.put(entry({ sequence: 6 }), 1500)
    expect(directory.expire(1000 + RENEWAL_MS)).to.deep.equal([])
  })

  // Guards against new work for an upstream that was removed while the control store was reachable, or that was draining.
  it('removes entries immediately if there was no outage or the upstream was draining', () => {
    const directory = createDirectory()
    expect(directory.remove('u1', 0)).to.equal('removed')
    directory.put(entry({ incarnation: 102, state: 'leaving' }), 0)
    directory.onStoreRecovered(1000)
    expect(directory.remove('u1', 1000)).to.equal('removed')
  })
})

describe('upstreams in a store that is restored from a copy', () => {
  // Guards against calls to an upstream that has left, after the copy has brought its entry back.
  it('are not used again after they have left', () => {
    const directory = createDirectory()
    directory.remove('u1', 10)
    directory.onStoreRecovered(20)
    directory.replaceAll([entry(), entry({ id: 'u2', sequence: 1 })], 20)
    expect(directory.list().map(({ id }) => id)).to.deep.equal(['u2'])
    expect(directory.isOutdated(entry())).to.equal(true)
    expect(directory.isOutdated(entry({ incarnation: 99, sequence: 9 }))).to.equal(true)
  })

  // Guards against an upstream that lapsed during an outage, or started again, and stays unused although it is alive.
  for (const [name, renewed] of [['a later heartbeat', entry({ sequence: 6 })], ['a new incarnation', entry({ incarnation: 101, sequence: 0 })]] as const) {
    it(`are used again after ${name}`, () => {
      const directory = createDirectory()
      directory.remove('u1', 10)
      expect(directory.isOutdated(renewed)).to.equal(false)
      expect(directory.put(renewed, 20)).to.equal('added')
    })
  }

  it('are forgotten some time after they have left', () => {
    const directory = createDirectory()
    directory.remove('u1', 0)
    directory.put(entry({ id: 'u2' }), 3_600_000)
    directory.remove('u2', 3_600_000)
    expect(directory.put(entry(), 3_600_000)).to.equal('added')
  })
})
