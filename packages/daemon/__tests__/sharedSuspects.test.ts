import { expect } from 'chai'
import winston from 'winston'
import { Result } from 'true-myth/result'
import { SharedSuspects } from '../src/core/gateway/sharedSuspects.js'
import type { SuspectMark } from '@cowsliplead/core/types/suspectMark.js'
import type { ControlStore, StoreResult, TableChanges, TablePage, TableRecord } from '../src/types/controlStore.js'
import { sleep } from '../src/utils/sleep.js'

/** A store that VMs share; it answers each read at once. */
class SharedTable implements ControlStore {
  readonly records: TableRecord[] = []
  writes = 0

  async newest (): Promise<StoreResult<TablePage>> {
    return Result.ok({ records: [...this.records], nextAfter: undefined, end: this.records.length })
  }

  async changes (_table: string, from: number): Promise<StoreResult<TableChanges>> {
    await sleep(5)
    return Result.ok({ records: this.records.slice(from), end: this.records.length })
  }

  async put (_table: string, records: readonly TableRecord[]): Promise<StoreResult<void>> {
    this.writes += 1
    this.records.push(...records)
    return Result.ok(undefined)
  }

  decodeRoutes (): undefined {}

  decodeUpstream (): undefined {}

  close (): void {}
}

const journal = winston.createLogger({ silent: true })

function createVm (store: ControlStore, timeOfDay = () => 1_000_000): { suspects: SharedSuspects, seen: SuspectMark[] } {
  const seen: SuspectMark[] = []
  const clock = { now: () => 500 }
  const suspects = SharedSuspects.create({ store, clock, journal, timeOfDay, importMarks: marks => seen.push(...marks) })
  return { suspects, seen }
}

describe('marks of suspect requests between VMs', () => {
  // Guards against a request that crashes as many upstreams at each VM as all VMs together may let it.
  it('reach the other VMs, one write for a batch, the crashes of a request together', async () => {
    const store = new SharedTable()
    const [one, two] = [createVm(store), createVm(store)]
    two.suspects.start()
    one.suspects.publish([{ fingerprint: 'f', upstreamIds: ['u1'], expiresAt: 60_500 }])
    one.suspects.publish([{ fingerprint: 'f', upstreamIds: ['u2'], expiresAt: 60_500 }, { fingerprint: 'g', upstreamIds: ['u1'], expiresAt: 60_500 }])
    while (two.seen.length < 2) await sleep(5)
    for (const { suspects } of [one, two]) suspects.stop()
    expect(store.writes).to.equal(1)
    expect(two.seen).to.deep.equal([
      { fingerprint: 'f', upstreamIds: ['u1', 'u2'], expiresAt: 60_500 }, { fingerprint: 'g', upstreamIds: ['u1'], expiresAt: 60_500 }
    ])
  })

  // Guards against old marks, which the store keeps for good, and bytes of other writers after a restart.
  it('are ignored once they have expired or cannot be read', async () => {
    const store = new SharedTable()
    const writer = createVm(store)
    writer.suspects.publish([{ fingerprint: 'f', upstreamIds: ['u1'], expiresAt: 60_500 }])
    while (store.records.length === 0) await sleep(5)
    store.records.push({ key: 'x', value: Buffer.from('{') })
    const later = createVm(store, () => 1_000_000 + 80_000)
    later.suspects.start()
    await sleep(30)
    for (const { suspects } of [writer, later]) suspects.stop()
    expect(later.seen).to.deep.equal([])
  })
})
