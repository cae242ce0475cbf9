import { expect } from 'chai'
import winston from 'winston'
import { ChangeFeed } from '../src/core/feed/changeFeed.js'
import { FleetTable } from '../src/core/control/fleetTable.js'
import { SharedSuspects, SUSPECTS_GROUP } from '../src/core/control/sharedSuspects.js'
import type { SuspectMark } from '@cowsliplead/core/types/suspectMark.js'
import { sleep } from '../src/utils/sleep.js'
import { until } from './harness.js'
import { MemoryStore } from '../src/testing/memoryStore.js'

const journal = winston.createLogger({ silent: true })

interface Vm {
  readonly suspects: SharedSuspects
  readonly seen: SuspectMark[]
  start (): Promise<void>
  stop (): Promise<void>
}

function createVm (store: MemoryStore, timeOfDay = () => 1_000_000): Vm {
  const seen: SuspectMark[] = []
  const clock = { now: () => 500 }
  const suspects = SharedSuspects.create({ store, clock, journal, timeOfDay, importMarks: marks => seen.push(...marks) })
  const { reader } = FleetTable.create({ store, clock, journal, feed: ChangeFeed.create(clock), consumers: { [SUSPECTS_GROUP]: suspects } })
  return {
    suspects,
    seen,
    start: () => reader.start(error => expect.fail(error.message)),
    stop: async () => {
      suspects.close()
      await reader.stop()
    }
  }
}

describe('marks of suspect requests between VMs', () => {
  // Guards against a request that crashes as many upstreams at each VM as all VMs together may let it.
  it('reach the other VMs, one write for a batch, the crashes of a request together', async () => {
    const store = MemoryStore.create()
    const [one, two] = [createVm(store), createVm(store)]
    await two.start()
    one.suspects.publish([{ fingerprint: 'f', upstreamIds: ['u1'], expiresAt: 60_500 }])
    one.suspects.publish([{ fingerprint: 'f', upstreamIds: ['u2'], expiresAt: 60_500 }, { fingerprint: 'g', upstreamIds: ['u1'], expiresAt: 60_500 }])
    await until(() => two.seen.length === 2)
    for (const vm of [one, two]) await vm.stop()
    expect(store.records('fleet')).to.have.length(2)
    expect(two.seen).to.deep.equal([
      { fingerprint: 'f', upstreamIds: ['u1', 'u2'], expiresAt: 60_500 }, { fingerprint: 'g', upstreamIds: ['u1'], expiresAt: 60_500 }
    ])
  })

  // Guards against a request that its caller sends to every VM before the first of them has shared its mark, and against
  // a write for each mark of a burst.
  it('are written at once, and then in batches', async () => {
    const store = MemoryStore.create()
    const writer = createVm(store)
    const mark = (fingerprint: string): SuspectMark => ({ fingerprint, upstreamIds: ['u1'], expiresAt: 60_500 })
    writer.suspects.publish([mark('f')])
    await sleep(30)
    expect(store.records('fleet')).to.have.length(1)
    for (let index = 0; index < 20; index++) writer.suspects.publish([mark(`g${index}`)])
    await sleep(30)
    expect(store.records('fleet')).to.have.length(1)
    await until(() => store.records('fleet').length === 21)
    await writer.stop()
  })

  // Guards against old marks, which the store keeps for good, and bytes of other writers after a restart.
  it('are ignored once they have expired or cannot be read', async () => {
    const store = MemoryStore.create()
    const writer = createVm(store)
    writer.suspects.publish([{ fingerprint: 'f', upstreamIds: ['u1'], expiresAt: 60_500 }])
    await until(() => store.records('fleet').length > 0)
    store.records('fleet').push({ key: 'suspect/x', value: Buffer.from('{') })
    const later = createVm(store, () => 1_000_000 + 80_000)
    await later.start()
    await sleep(30)
    for (const vm of [writer, later]) await vm.stop()
    expect(later.seen).to.deep.equal([])
  })

  // Guards against a table that grows with every request that ever crashed an upstream.
  it('are removed from the store once they have expired', async () => {
    const store = MemoryStore.create()
    const writer = createVm(store)
    writer.suspects.publish([{ fingerprint: 'f', upstreamIds: ['u1'], expiresAt: 60_500 }])
    await until(() => store.records('fleet').length === 1)
    const later = createVm(store, () => 1_000_000 + 80_000)
    await later.start()
    await until(() => store.records('fleet').length === 2)
    for (const vm of [writer, later]) await vm.stop()
    expect((await store.newest('fleet')).unwrapOr(undefined)?.records).to.deep.equal([])
  })
})
