import { once } from 'node:events'
import { expect } from 'chai'
import winston from 'winston'
import { WebSocket } from 'ws'
import { FleetMembers } from '@cowsliplead/core/core/membership/fleetMembers.js'
import type { FleetRole } from '@cowsliplead/core/types/fleetMember.js'
import type { TableName, TableRecord } from '../src/types/controlStore.js'
import { TableReader } from '../src/core/control/tableReader.js'
import { Fleet } from '../src/core/feed/fleet.js'
import { MEMBERS_GROUP } from '../src/core/feed/membership.js'
import { FleetTable } from '../src/core/control/fleetTable.js'
import { MonotonicClock } from '../src/core/gateway/monotonicClock.js'
import { MemoryStore } from '../src/testing/memoryStore.js'
import { sleep } from '../src/utils/sleep.js'
import { waitUntil } from './harness.js'

const MAX_FEED_AGE_MS = 300
const READ_WAIT_MS = 20

/** Id of a VM that becomes a follower when it joins the eight VMs of these tests. */
const FOLLOWER = 'late3'

/** One VM's access to the shared store: counts the reads of the upstreams, and can be made unreachable. */
class VmStore extends MemoryStore {
  reads = 0
  /** The `waitMs` of each read of changes. */
  readonly waits: number[] = []
  isUnreachable = false

  constructor (private readonly shared: MemoryStore) {
    super()
  }

  override readNewest (table: TableName): ReturnType<MemoryStore['readNewest']> {
    this.count(table)
    return this.isUnreachable ? this.failWith(() => super.readNewest(table)) : this.shared.readNewest(table)
  }

  override readChanges (table: TableName, from: number, waitMs: number): ReturnType<MemoryStore['readChanges']> {
    this.count(table)
    if (table === 'upstreams') this.waits.push(waitMs)
    return this.isUnreachable ? this.failWith(() => super.readChanges(table, from, waitMs)) : this.shared.readChanges(table, from, waitMs)
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

/** The part of a daemon that reads the store and follows other VMs. */
class Vm {
  readonly keys: string[] = []
  onRecords: () => void = () => {}
  onFailure: (error: Error) => void = error => expect.fail(error.message)
  /** When the reader last reported the recovery of the store. */
  recoveredAt: number | undefined
  readonly store: VmStore
  readonly fleet: Fleet
  private readonly components: ReadonlyArray<{ start (fail: (error: Error) => void): Promise<void>, stop (): Promise<void> }>

  constructor (readonly vmId: string, shared: MemoryStore, { startsFromCopy = false } = {}) {
    this.store = new VmStore(shared)
    const { store } = this
    const clock = MonotonicClock.create()
    const logger = winston.createLogger({ silent: true })
    this.fleet = Fleet.create({ maxConnections: 100, vmId, members: FleetMembers.create(vmId), failureDomain: `domain${Number(vmId.at(-1)) % 2}`, address: '127.0.0.1:0', store, clock, logger, onSizeChange: () => {} })
    const { feed, membership, server } = this.fleet
    const table = FleetTable.create({ store, clock, logger, feed, consumers: { [MEMBERS_GROUP]: membership } })
    const appendRecords = (records: readonly TableRecord[]): void => {
      this.onRecords()
      this.keys.push(...records.map(({ key }) => key))
    }
    const reader = TableReader.create({
      store, clock, feed, table: 'upstreams', waitMs: READ_WAIT_MS, pauseMs: 0, maxFeedAgeMs: MAX_FEED_AGE_MS, startsFromCopy,
      consumer: { isOutdated: () => false, onSnapshot: appendRecords, onChanges: appendRecords, onRecovery: () => void (this.recoveredAt = performance.now()), onRestore: () => {}, onFailure: () => {} }
    })
    this.components = [server, table.reader, reader]
  }

  async start (): Promise<void> {
    for (const component of this.components) await component.start(error => this.onFailure(error))
    this.fleet.start()
  }

  async stop (): Promise<void> {
    this.fleet.close()
    for (const component of this.components) await component.stop()
  }

  get follows (): number {
    return this.fleet.snapshot().follows.length
  }
}

function record (key: string): TableRecord {
  return { key, value: Buffer.from(key) }
}

describe('changes read from the store', () => {
  let shared: MemoryStore
  let vms: Vm[]

  beforeEach(async () => {
    shared = MemoryStore.create()
    shared.records('upstreams').push(record('a'))
    vms = Array.from({ length: 8 }, (_, index) => new Vm(`vm${index}`, shared))
    await Promise.all(vms.map(vm => vm.start()))
    await waitUntil(() => readers().length === 2 && others().every(vm => vm.follows === 2))
    // A VM reads the store itself until those that it follows have sent it the positions of their last reads.
    await waitUntil(() => others().every(vm => vm.fleet.feed.covers('upstreams', { epoch: 0, offset: 1 }, MAX_FEED_AGE_MS)))
    await sleep(100)
  })

  afterEach(() => Promise.all(vms.map(vm => vm.stop())))

  function inRole (role: FleetRole): Vm[] {
    return vms.filter(vm => vm.fleet.snapshot().role === role)
  }

  /** The source and its standby. */
  function readers (): Vm[] {
    return [...inRole('source'), ...inRole('standby')]
  }

  /** Relays and followers. */
  function others (): Vm[] {
    return vms.filter(vm => !readers().includes(vm))
  }

  // Guards against every VM reading the same changes from the store, which is too costly in large fleets.
  it('are read by one of eight VMs and passed on to the others', async () => {
    const rest = vms.filter(vm => !inRole('source').includes(vm))
    const before = rest.map(vm => vm.store.reads)
    shared.records('upstreams').push(record('b'), record('c'))
    await waitUntil(() => vms.every(vm => vm.keys.join('') === 'abc'))
    await sleep(200)
    // Guards against sources that poll the store without waiting for changes.
    for (const { store } of inRole('source')) expect(store.waits.slice(-3)).to.deep.equal([READ_WAIT_MS, READ_WAIT_MS, READ_WAIT_MS])
    expect(rest.map(vm => vm.store.reads)).to.deep.equal(before)
  })

  // Guards against a VM that serves with stale state because those that it follows no longer reach the store.
  it('are read by the other VMs once the source and its standby are cut off from the store', async () => {
    for (const vm of readers()) vm.store.isUnreachable = true
    await sleep(2 * READ_WAIT_MS)
    shared.records('upstreams').push(record('b'))
    const changedAt = performance.now()
    await waitUntil(() => others().every(vm => vm.keys.includes('b')))
    expect(performance.now() - changedAt).to.be.at.most(MAX_FEED_AGE_MS + 200)
  })

  // Guards against keeping an upstream deregistered long after an outage, as if its entry had expired during the outage.
  it('are not needed for a follower to notice the end of an outage', async () => {
    for (const vm of vms) vm.store.isUnreachable = true
    await sleep(2 * MAX_FEED_AGE_MS)
    const endedAt = performance.now()
    for (const vm of vms) vm.store.failure = undefined
    for (const vm of vms) vm.store.isUnreachable = false
    await sleep(2 * MAX_FEED_AGE_MS + 500)
    const changedAt = performance.now()
    shared.records('upstreams').push(record('b'))
    await waitUntil(() => vms.every(vm => vm.keys.includes('b')))
    for (const vm of vms) expect(vm.recoveredAt).to.be.within(endedAt, changedAt)
  })

  // Guards against one record that ends the processes of all followers at once.
  it('fail the reader, not the process, if they cannot be applied', async () => {
    const failed = new Set<Vm>()
    for (const vm of others()) {
      vm.onFailure = () => void failed.add(vm)
      vm.onRecords = () => {
        throw new Error('test')
      }
    }
    shared.records('upstreams').push(record('b'))
    await waitUntil(() => failed.size === 6)
  })

  // Guards against copies of a large configuration that saturate the link of a small VM.
  it('are read by each VM instead of passed on if they are large', async () => {
    const before = others().map(vm => vm.store.reads)
    shared.records('upstreams').push({ key: 'b', value: Buffer.alloc(200_000) })
    await waitUntil(() => vms.every(vm => vm.keys.includes('b')))
    for (const [index, vm] of others().entries()) expect(vm.store.reads).to.be.greaterThan(before[index] as number)
  })

  // Guards against a fleet that gets no changes any more after its source has died.
  it('are read by other VMs once the source and its standby have stopped', async () => {
    const ended = readers()
    await Promise.all(ended.map(vm => vm.stop()))
    const left = vms.filter(vm => !ended.includes(vm))
    shared.records('upstreams').push(record('b'))
    await waitUntil(() => left.every(vm => vm.keys.includes('b')))
    await waitUntil(() => left.filter(vm => vm.follows === 0).length === 1)
  })

  // Guards against changes that are lost between a follower's snapshot and the first change relayed to it.
  it('are read from the store by a follower that missed them', async () => {
    const late = new Vm(FOLLOWER, shared)
    vms.push(late)
    await late.start()
    await waitUntil(() => late.follows === 2)
    for (let index = 0; index < 50; index++) {
      shared.records('upstreams').push(record(`k${index}`))
      if (index % 10 === 0) await sleep(5)
    }
    await waitUntil(() => vms.every(vm => new Set(vm.keys).size === 51))
    for (const vm of vms) expect(vm.keys.length, 'no change is applied twice').to.equal(51)
  })
})

describe('a VM that starts', () => {
  let shared: MemoryStore
  let vms: Vm[]

  beforeEach(async () => {
    shared = MemoryStore.create()
    shared.records('upstreams').push(record('a'), record('b'), { key: 'a', value: undefined })
    vms = Array.from({ length: 4 }, (_, index) => new Vm(`vm${index}`, shared, { startsFromCopy: true }))
    await Promise.all(vms.map(vm => vm.start()))
    await waitUntil(() => vms.filter(vm => vm.follows === 2).length === 2 && vms.every(vm => vm.keys.length > 0))
  })

  afterEach(() => Promise.all(vms.map(vm => vm.stop())))

  async function startLate (): Promise<Vm> {
    const late = new Vm(FOLLOWER, shared, { startsFromCopy: true })
    vms.push(late)
    await late.start()
    await waitUntil(() => late.keys.length > 0)
    return late
  }

  // Guards against starts of a large fleet that each read all tables from the store.
  it('takes the tables from the VMs that it follows', async () => {
    const late = await startLate()
    expect(late.store.reads).to.equal(0)
    expect(late.keys, 'without the removed record').to.deep.equal(['b'])
    shared.records('upstreams').push(record('c'))
    await waitUntil(() => late.keys.join('') === 'bc')
    expect(late.store.reads).to.equal(0)
  })

  // Guards against an upstream that has left and is used again after a restart, because the other VMs still list it.
  it('reads the store if the VMs that it follows are cut off from it', async () => {
    for (const vm of vms) vm.store.isUnreachable = true
    await sleep(2 * MAX_FEED_AGE_MS)
    shared.records('upstreams').push({ key: 'b', value: undefined }, record('c'))
    const late = await startLate()
    expect(late.keys).to.deep.equal(['c'])
    expect(late.store.reads).to.be.greaterThan(0)
  })

  // Guards against one invalid message that ends the process of a VM.
  it('ends a connection that sends it an invalid request, and serves the others', async () => {
    const [vm] = vms as [Vm]
    for (const message of ['{', '{"kind":"copies","tables":["unknown"]}', 'x'.repeat(100_000)]) {
      const socket = new WebSocket(`ws://${vm.fleet.server.address}`)
      const closed = once(socket, 'close')
      socket.on('error', () => {})
      socket.on('open', () => socket.send(message))
      await closed
    }
    const late = await startLate()
    expect(late.keys).to.deep.equal(['b'])
  })
})

describe('member records', () => {
  // Guards against a VM that stops reading the table because of an invalid record.
  it('are ignored if they are invalid', async () => {
    const shared = MemoryStore.create()
    for (const value of ['{', '{}', '{"feedAddress":"10.0.0.1:99999"}', '{"feedAddress":"no address"}']) {
      shared.records('fleet').push({ key: `member/vm${value.length}`, value: Buffer.from(value) })
    }
    const vm = new Vm('vm0', shared)
    await vm.start()
    try {
      await waitUntil(() => shared.records('fleet').length === 5)
      expect(vm.fleet.snapshot()).to.include({ vms: 1, followers: 0 })
    } finally {
      await vm.stop()
    }
  })
})

describe('a VM that could not reach the one that it follows', () => {
  // Guards against VMs that come back from a cut and hear nothing of the others for as long as the cut has lasted.
  it('connects to it at once when the store answers again', async () => {
    const shared = MemoryStore.create()
    const vms = ['vm0', 'vm1'].map(vmId => new Vm(vmId, shared))
    await Promise.all(vms.map(vm => vm.start()))
    try {
      await waitUntil(() => vms.some(vm => vm.follows === 1))
      const [standby, source] = (vms[0] as Vm).follows === 1 ? vms as [Vm, Vm] : [...vms].reverse() as [Vm, Vm]
      await source.fleet.server.stop()
      await waitUntil(() => standby.follows === 0)
      await source.fleet.server.start(error => expect.fail(error.message))
      shared.records('fleet').push({ key: `member/${source.vmId}`, value: Buffer.from(JSON.stringify({ feedAddress: source.fleet.server.address, failureDomain: 'domain0' })) })
      await sleep(600)
      expect(standby.follows).to.equal(0)
      standby.fleet.retryLost()
      expect(standby.follows).to.equal(1)
    } finally {
      await Promise.all(vms.map(vm => vm.stop()))
    }
  })
})

describe('a VM whose member record was removed', () => {
  // Guards against a VM that no other VM can follow because its record is missing.
  it('announces itself again', async () => {
    const shared = MemoryStore.create()
    const vm = new Vm('vm0', shared)
    await vm.start()
    try {
      await waitUntil(() => shared.records('fleet').length === 1)
      shared.records('fleet').push({ key: 'member/vm0', value: undefined })
      await waitUntil(() => shared.records('fleet').length === 3)
      expect(shared.records('fleet').at(-1)?.value?.toString()).to.equal(JSON.stringify({ feedAddress: vm.fleet.server.address, failureDomain: 'domain0' }))
    } finally {
      await vm.stop()
    }
  })
})
