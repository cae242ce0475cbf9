import { expect } from 'chai'
import winston from 'winston'
import type { Upstream } from '@cowsliplead/core/types/upstream.js'
import type { UpstreamEntry } from '@cowsliplead/core/types/upstreamEntry.js'
import { ChangeFeed } from '../src/core/feed/changeFeed.js'
import { ControlState } from '../src/core/control/controlState.js'
import { MemoryStore } from '../src/testing/memoryStore.js'
import { sleep } from '../src/utils/sleep.js'
import { waitUntil } from './harness.js'

const RENEWAL_MS = 60

/** Longer than the pause between two reads of the upstreams. */
const READ_INTERVAL_MS = 1000

/** Runs at nine tenths of the real speed, so that every timer fires before the clock reaches its time. */
const slowClock = { now: () => performance.now() * 0.9 }

const ENTRY: UpstreamEntry = {
  id: 'u1', service: 'permits', address: '10.0.0.1', port: 80, failureDomain: 'a', slots: 4, state: 'live',
  incarnation: 1, sequence: 1, warmupLeftMs: 0
}

/** Longer than a test takes. */
const LONG_RENEWAL_MS = 60_000

describe('upstreams whose entries expire during a store outage', () => {
  // Guards against an expiry timer that fires before the clock reaches its time and is not set again: an upstream whose
  // entry was removed then stays in use until another entry changes.
  it('are removed after the renewal period, even if no other entry changes', async () => {
    const store = MemoryStore.create()
    store.putUpstream(ENTRY)
    let upstreams: readonly Upstream[] = []
    const services = { config: undefined, setConfig: () => {}, setEvacuatedDomains: () => {}, setUpstreams: (listed: readonly Upstream[]) => void (upstreams = listed) }
    const control = ControlState.create({
      store, clock: slowClock, feed: ChangeFeed.create(slowClock), services, logger: winston.createLogger({ silent: true }),
      renewalMs: RENEWAL_MS, onConfig: () => {}
    })
    for (const reader of control.readers) await reader.start(error => expect.fail(error.message))
    await waitUntil(() => upstreams.length === 1)
    store.failure = 'unanswered'
    await sleep(READ_INTERVAL_MS)
    store.records('upstreams').push({ key: ENTRY.id, value: undefined })
    store.failure = undefined
    await sleep(READ_INTERVAL_MS + 3 * RENEWAL_MS)
    for (const reader of control.readers) await reader.stop()
    control.close()
    expect(upstreams).to.deep.equal([])
  })

  /** A VM without answers of the store while the entry of its upstream goes; resolves once it has read the store again. */
  async function loseEntryInOutage (others: { readonly readForMs: number }): Promise<{ upstreams: () => readonly Upstream[], stop: () => Promise<void> }> {
    const store = MemoryStore.create()
    store.putUpstream(ENTRY)
    let upstreams: readonly Upstream[] = []
    const services = { config: undefined, setConfig: () => {}, setEvacuatedDomains: () => {}, setUpstreams: (listed: readonly Upstream[]) => void (upstreams = listed) }
    const feed = ChangeFeed.create(slowClock)
    const control = ControlState.create({
      store, clock: slowClock, feed, services, logger: winston.createLogger({ silent: true }), renewalMs: LONG_RENEWAL_MS, onConfig: () => {}
    })
    for (const reader of control.readers) await reader.start(error => expect.fail(error.message))
    await waitUntil(() => upstreams.length === 1)
    store.failure = 'unanswered'
    await sleep(READ_INTERVAL_MS)
    store.records('upstreams').push({ key: ENTRY.id, value: undefined })
    store.failure = undefined
    await sleep(READ_INTERVAL_MS)
    feed.receivePositions('other', { upstreams: { epoch: 0, end: 2, ageMs: 0, readForMs: others.readForMs } })
    const stop = async (): Promise<void> => {
      for (const reader of control.readers) await reader.stop()
      control.close()
    }
    return { upstreams: () => upstreams, stop }
  }

  // Guards against a VM that comes back from a cut and goes on using upstreams that have left meanwhile.
  it('are removed as soon as other VMs have read the store throughout', async () => {
    const { upstreams, stop } = await loseEntryInOutage({ readForMs: 10 * READ_INTERVAL_MS })
    await sleep(READ_INTERVAL_MS / 2)
    await stop()
    expect(upstreams()).to.deep.equal([])
  })

  // Guards against live upstreams that are given up because the store has lost their entries.
  it('are kept until they can be renewed if other VMs have not read the store either', async () => {
    const { upstreams, stop } = await loseEntryInOutage({ readForMs: 0 })
    await sleep(READ_INTERVAL_MS / 2)
    await stop()
    expect(upstreams().map(({ id }) => id)).to.deep.equal([ENTRY.id])
  })
})
