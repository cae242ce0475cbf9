import { expect } from 'chai'
import winston from 'winston'
import { ChangeFeed } from '../src/core/feed/changeFeed.js'
import { FleetTable } from '../src/core/control/fleetTable.js'
import { SharedSuspects, SUSPECTS_GROUP } from '../src/core/control/sharedSuspects.js'
import type { SuspectMark } from '@cowsliplead/core/types/suspectMark.js'
import { sleep } from '../src/utils/sleep.js'
import { waitUntil } from './harness.js'
import { MemoryStore } from '../src/testing/memoryStore.js'

const logger = winston.createLogger({ silent: true })

interface Vm {
  readonly suspects: SharedSuspects
  readonly imported: SuspectMark[]
  start (): Promise<void>
  stop (): Promise<void>
}

function createVm (store: MemoryStore, wallClock = () => 1_000_000): Vm {
  const imported: SuspectMark[] = []
  const clock = { now: () => 500 }
  const suspects = SharedSuspects.create({ store, clock, logger, wallClock, importMarks: marks => imported.push(...marks) })
  const { reader } = FleetTable.create({ store, clock, logger, feed: ChangeFeed.create(clock), consumers: { [SUSPECTS_GROUP]: suspects } })
  return {
    suspects,
    imported,
    start: () => reader.start(error => expect.fail(error.message)),
    stop: async () => {
      suspects.close()
      await reader.stop()
    }
  }
}

describe('shared marks of suspect requests', () => {
  // Guards against a request that crashes as many upstreams through each VM as it may through all VMs together.
  it('reach the other VMs in one write, with the crashes of a request merged', async () => {
    const store = MemoryStore.create()
    const [one, two] = [createVm(store), createVm(store)]
    await two.start()
    one.suspects.publish([{ fingerprint: 'f', upstreamIds: ['u1'], expiresAt: 60_500 }])
    one.suspects.publish([{ fingerprint: 'f', upstreamIds: ['u2'], expiresAt: 60_500 }, { fingerprint: 'g', upstreamIds: ['u1'], expiresAt: 60_500 }])
    await waitUntil(() => two.imported.length === 2)
    for (const vm of [one, two]) await vm.stop()
    expect(store.records('fleet')).to.have.length(2)
    expect(two.imported).to.deep.equal([
      { fingerprint: 'f', upstreamIds: ['u1', 'u2'], expiresAt: 60_500 }, { fingerprint: 'g', upstreamIds: ['u1'], expiresAt: 60_500 }
    ])
  })

  // Guards against a request that its caller retries at every VM before the first of them has shared its mark, and
  // against a write for each mark of a burst.
  it('are written immediately at first, and then in batches', async () => {
    const store = MemoryStore.create()
    const writer = createVm(store)
    const mark = (fingerprint: string): SuspectMark => ({ fingerprint, upstreamIds: ['u1'], expiresAt: 60_500 })
    writer.suspects.publish([mark('f')])
    await sleep(30)
    expect(store.records('fleet')).to.have.length(1)
    for (let index = 0; index < 20; index++) writer.suspects.publish([mark(`g${index}`)])
    await sleep(30)
    expect(store.records('fleet')).to.have.length(1)
    await waitUntil(() => store.records('fleet').length === 21)
    await writer.stop()
  })

  // Guards against importing old marks, which the store keeps forever, or invalid records after a restart.
  it('are ignored if they have expired or cannot be read', async () => {
    const store = MemoryStore.create()
    const writer = createVm(store)
    writer.suspects.publish([{ fingerprint: 'f', upstreamIds: ['u1'], expiresAt: 60_500 }])
    await waitUntil(() => store.records('fleet').length > 0)
    store.records('fleet').push({ key: 'suspect/x', value: Buffer.from('{') })
    const later = createVm(store, () => 1_000_000 + 80_000)
    await later.start()
    await sleep(30)
    for (const vm of [writer, later]) await vm.stop()
    expect(later.imported).to.deep.equal([])
  })

  // Guards against a table that grows with each request that crashes an upstream.
  it('are removed from the store once they have expired', async () => {
    const store = MemoryStore.create()
    const writer = createVm(store)
    writer.suspects.publish([{ fingerprint: 'f', upstreamIds: ['u1'], expiresAt: 60_500 }])
    await waitUntil(() => store.records('fleet').length === 1)
    const later = createVm(store, () => 1_000_000 + 80_000)
    await later.start()
    await waitUntil(() => store.records('fleet').length === 2)
    for (const vm of [writer, later]) await vm.stop()
    expect((await store.readNewest('fleet')).unwrapOr(undefined)?.records).to.deep.equal([])
  })
})
