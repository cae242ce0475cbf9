import { expect } from 'chai'
import winston from 'winston'
import type { TableName, TableRecord } from '../src/types/controlStore.js'
import { TableReader } from '../src/core/control/tableReader.js'
import { Fleet } from '../src/core/feed/fleet.js'
import { MEMBERS_GROUP } from '../src/core/feed/membership.js'
import { FleetTable } from '../src/core/control/fleetTable.js'
import { MonotonicClock } from '../src/core/gateway/monotonicClock.js'
import { MemoryStore } from '../src/testing/memoryStore.js'
import { sleep } from '../src/utils/sleep.js'
import { until } from './harness.js'

const MAX_FEED_AGE_MS = 300
const READ_WAIT_MS = 20

/** A VM that becomes no source where it joins the others of these tests. */
const FOLLOWER = 'late3'

/** One VM's view of the store: counts its reads of the upstreams, and may be cut off. */
class VmStore extends MemoryStore {
  reads = 0
  /** How long each read of changes was to wait. */
  readonly waits: number[] = []
  isCut = false

  constructor (private readonly shared: MemoryStore) {
    super()
  }

  override newest (table: TableName): ReturnType<MemoryStore['newest']> {
    this.count(table)
    return this.isCut ? this.failWith(() => super.newest(table)) : this.shared.newest(table)
  }

  override changes (table: TableName, from: number, waitMs: number): ReturnType<MemoryStore['changes']> {
    this.count(table)
    if (table === 'upstreams') this.waits.push(waitMs)
    return this.isCut ? this.failWith(() => super.changes(table, from, waitMs)) : this.shared.changes(table, from, waitMs)
  }

  override put (table: TableName, records: readonly TableRecord[]): ReturnType<MemoryStore['put']> {
    return this.shared.put(table, records)
  }

  private count (table: TableName): void {
    if (table === 'upstreams') this.reads += 1
  }

  private failWith<Value> (call: () => Value): Value {
    this.failure = 'unanswered'
    return call()
  }
}

/** The part of a daemon that follows the store and the other VMs. */
class Vm {
  readonly keys: string[] = []
  onTake: () => void = () => {}
  onFailure: (error: Error) => void = error => expect.fail(error.message)
  /** When the reader last told that the store answers again. */
  returnedAt: number | undefined
  readonly store: VmStore
  readonly fleet: Fleet
  private readonly parts: ReadonlyArray<{ start (fail: (error: Error) => void): Promise<void>, stop (): Promise<void> }>

  constructor (vmId: string, shared: MemoryStore) {
    this.store = new VmStore(shared)
    const { store } = this
    const clock = MonotonicClock.create()
    const journal = winston.createLogger({ silent: true })
    this.fleet = Fleet.create({ vmId, address: '127.0.0.1:0', store, clock, journal, onSize: () => {} })
    const { feed, membership, server } = this.fleet
    const table = FleetTable.create({ store, clock, journal, feed, consumers: { [MEMBERS_GROUP]: membership } })
    const take = (records: readonly TableRecord[]): void => {
      this.onTake()
      this.keys.push(...records.map(({ key }) => key))
    }
    const reader = TableReader.create({
      store, clock, feed, table: 'upstreams', waitMs: READ_WAIT_MS, pauseMs: 0, maxFeedAgeMs: MAX_FEED_AGE_MS,
      consumer: { onSnapshot: take, onChanges: take, onReturn: () => void (this.returnedAt = performance.now()), onFailure: () => {} }
    })
    this.parts = [server, table.reader, reader]
  }

  async start (): Promise<void> {
    for (const part of this.parts) await part.start(error => this.onFailure(error))
    this.fleet.start()
  }

  async stop (): Promise<void> {
    this.fleet.close()
    for (const part of this.parts) await part.stop()
  }

  get follows (): number {
    return this.fleet.snapshot().follows.length
  }
}

function record (key: string): TableRecord {
  return { key, value: Buffer.from(key) }
}

describe('what VMs read from the store', () => {
  let shared: MemoryStore
  let vms: Vm[]

  beforeEach(async () => {
    shared = MemoryStore.create()
    shared.records('upstreams').push(record('a'))
    vms = Array.from({ length: 8 }, (_, index) => new Vm(`vm${index}`, shared))
    await Promise.all(vms.map(vm => vm.start()))
    await until(() => followers().length === 6 && followers().every(vm => vm.follows === 2))
    await sleep(100)
  })

  afterEach(() => Promise.all(vms.map(vm => vm.stop())))

  function followers (): Vm[] {
    return vms.filter(vm => vm.follows > 0)
  }

  function sources (): Vm[] {
    return vms.filter(vm => vm.follows === 0)
  }

  // Guards against a call to the store by each VM for the same news, which costs more than it earns in large fleets.
  it('is read by two of eight and handed on to the others', async () => {
    const before = followers().map(vm => vm.store.reads)
    shared.records('upstreams').push(record('b'), record('c'))
    await until(() => vms.every(vm => vm.keys.join('') === 'abc'))
    await sleep(200)
    // Guards against sources that ask without waiting.
    for (const { store } of sources()) expect(store.waits.slice(-3)).to.deep.equal([READ_WAIT_MS, READ_WAIT_MS, READ_WAIT_MS])
    expect(followers().map(vm => vm.store.reads)).to.deep.equal(before)
  })

  // Guards against a VM that serves by old knowledge because the VM that it follows no longer reaches the store.
  it('is read by the followers once their sources are cut off from the store', async () => {
    for (const vm of sources()) vm.store.isCut = true
    await sleep(2 * READ_WAIT_MS)
    shared.records('upstreams').push(record('b'))
    const changedAt = performance.now()
    await until(() => followers().every(vm => vm.keys.includes('b')))
    expect(performance.now() - changedAt).to.be.at.most(MAX_FEED_AGE_MS + 200)
  })

  // Guards against an upstream that leaves long after an outage and is kept as if its entry had lapsed in it.
  it('ends an outage for a follower when a source reads again, not with the next change', async () => {
    for (const vm of vms) vm.store.isCut = true
    await sleep(2 * MAX_FEED_AGE_MS)
    for (const vm of vms) vm.store.failure = undefined
    for (const vm of vms) vm.store.isCut = false
    await sleep(2 * MAX_FEED_AGE_MS + 500)
    const changedAt = performance.now()
    shared.records('upstreams').push(record('b'))
    await until(() => vms.every(vm => vm.keys.includes('b')))
    for (const vm of vms) expect(vm.returnedAt).to.be.within(changedAt - 2 * MAX_FEED_AGE_MS - 500, changedAt)
  })

  // Guards against one record that ends the processes of all followers at once.
  it('fails the reader, not the process, where a change cannot be taken', async () => {
    const failed = new Set<Vm>()
    for (const vm of followers()) {
      vm.onFailure = () => void failed.add(vm)
      vm.onTake = () => {
        throw new Error('test')
      }
    }
    shared.records('upstreams').push(record('b'))
    await until(() => failed.size === 6)
  })

  // Guards against the link of a small VM that is held up by copies of a large configuration.
  it('is not handed on but read by each where it is large', async () => {
    const before = followers().map(vm => vm.store.reads)
    shared.records('upstreams').push({ key: 'b', value: Buffer.alloc(200_000) })
    await until(() => vms.every(vm => vm.keys.includes('b')))
    for (const [index, vm] of followers().entries()) expect(vm.store.reads).to.be.greaterThan(before[index] as number)
  })

  // Guards against a fleet that stands still when the VMs that read for it die.
  it('is read by others once the sources have ended', async () => {
    const ended = sources()
    await Promise.all(ended.map(vm => vm.stop()))
    const left = vms.filter(vm => !ended.includes(vm))
    shared.records('upstreams').push(record('b'))
    await until(() => left.every(vm => vm.keys.includes('b')))
    await until(() => left.filter(vm => vm.follows === 0).length === 2)
  })

  // Guards against changes that are lost between the snapshot of a follower and the first change that it is handed.
  it('is completed from the store where a follower missed changes', async () => {
    const late = new Vm(FOLLOWER, shared)
    vms.push(late)
    await late.start()
    await until(() => late.follows === 2)
    for (let index = 0; index < 50; index++) {
      shared.records('upstreams').push(record(`k${index}`))
      if (index % 10 === 0) await sleep(5)
    }
    await until(() => vms.every(vm => new Set(vm.keys).size === 51))
    for (const vm of vms) expect(vm.keys.length, 'no change is applied twice').to.equal(51)
  })
})

describe('member records', () => {
  // Guards against a VM that stops to follow the store because another writer's record cannot be used.
  it('that cannot be used are left out', async () => {
    const shared = MemoryStore.create()
    for (const value of ['{', '{}', '{"feedAddress":"10.0.0.1:99999"}', '{"feedAddress":"no address"}']) {
      shared.records('fleet').push({ key: `member/vm${value.length}`, value: Buffer.from(value) })
    }
    const vm = new Vm('vm0', shared)
    await vm.start()
    try {
      await until(() => shared.records('fleet').length === 5)
      expect(vm.fleet.snapshot()).to.include({ vms: 1, followers: 0 })
    } finally {
      await vm.stop()
    }
  })
})

describe('a VM that a member record says is elsewhere', () => {
  // Guards against a VM that nobody can follow because another one removed its record.
  it('announces itself again', async () => {
    const shared = MemoryStore.create()
    const vm = new Vm('vm0', shared)
    await vm.start()
    try {
      await until(() => shared.records('fleet').length === 1)
      shared.records('fleet').push({ key: 'member/vm0', value: undefined })
      await until(() => shared.records('fleet').length === 3)
      expect(shared.records('fleet').at(-1)?.value?.toString()).to.equal(JSON.stringify({ feedAddress: vm.fleet.server.address }))
    } finally {
      await vm.stop()
    }
  })
})
