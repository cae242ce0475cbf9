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
})
