import { expect } from 'chai'
import { DRAINING_MS, EXCHANGE_EVERY_MS, FAN_OUT, Membership, SILENT_AFTER_MS } from '../src/core/membership/membership.js'
import { FakeClock } from '../src/types/clock.js'
import { MAX_EXCHANGE_ENTRIES } from '../src/types/exchange.js'
import { memberOf, type VmListView } from '../src/types/member.js'
import { SeededRandom } from '../src/types/randomSource.js'

/** VMs that exchange messages over links that can be cut. */
class Fleet {
  readonly clock = FakeClock.create(1_000)
  readonly vms = new Map<string, Membership>()
  readonly stopped = new Set<string>()
  readonly cut = new Set<string>()
  readonly news: string[] = []
  messages = 0
  bytes = 0
  largest = 0

  constructor (count: number) {
    const random = SeededRandom.create(5)
    for (let index = 0; index < count; index++) {
      const id = `vm${index}`
      this.vms.set(id, Membership.create(memberOf(id, 1), this.clock, random, {
        onDraining: upstream => this.news.push(`${id} ${upstream}`),
        onSuspect: (fingerprint, crashes) => this.news.push(`${id} ${fingerprint} ${crashes}`)
      }))
    }
    this.list([...this.vms.keys()].map(id => ({ id, state: 'live' })))
  }

  at (index: number): Membership {
    return this.vms.get(`vm${index}`) as Membership
  }

  list (vms: VmListView['vms']): void {
    for (const vm of this.vms.values()) vm.onVmList({ asOf: this.clock.now(), vms })
  }

  run (rounds: number): void {
    for (let round = 0; round < rounds; round++) {
      this.clock.advance(EXCHANGE_EVERY_MS)
      for (const [id, vm] of this.vms) {
        if (this.stopped.has(id)) continue
        for (const target of vm.takeTargets()) this.exchange(id, vm, target)
      }
    }
  }

  private exchange (id: string, vm: Membership, target: string): void {
    const peer = this.vms.get(target)
    if (peer === undefined || this.stopped.has(target) || this.cut.has([id, target].sort().join(' '))) {
      vm.onUnreachable(target)
      return
    }
    const message = vm.createMessage()
    this.count(message)
    peer.onMessage(JSON.parse(JSON.stringify(message)))
    const answer = peer.createMessage()
    this.count(answer)
    vm.onMessage(JSON.parse(JSON.stringify(answer)))
  }

  private count (message: ReturnType<Membership['createMessage']>): void {
    this.messages++
    this.bytes += JSON.stringify(message).length
    this.largest = Math.max(this.largest, message.heartbeats.length)
  }
}

describe('membership', () => {
  // Guards against a VM that is cut off or slow being taken for gone, and a dead one for live.
  it('tells silent, cut off, leaving and gone VMs apart', () => {
    const fleet = new Fleet(6)
    fleet.run(5)
    expect(fleet.at(0).share()).to.deep.equal({ rank: 0, count: 6 })
    expect(fleet.at(0).liveMembers()).to.have.lengthOf(5)
    fleet.cut.add('vm0 vm1')
    fleet.stopped.add('vm2')
    fleet.at(3).leaving = true
    fleet.run(SILENT_AFTER_MS / EXCHANGE_EVERY_MS + 4)
    expect([1, 2, 3, 4].map(index => fleet.at(0).stateOf(`vm${index}`))).to.deep.equal(['cutOff', 'silent', 'leaving', 'live'])
    expect(fleet.at(0).share()).to.deep.equal({ rank: 0, count: 4 })
    fleet.list(['vm0', 'vm1', 'vm3', 'vm4', 'vm5'].map(id => ({ id, state: 'live' })))
    expect(fleet.at(0).stateOf('vm2')).to.equal('gone')
    fleet.cut.clear()
    fleet.run(3)
    expect(fleet.at(0).stateOf('vm1')).to.equal('live')
  })

  // Guards against news that reaches only some VMs, that is told twice, or that VMs keep alive among themselves.
  it('passes notices on, once each, until they expire', () => {
    const fleet = new Fleet(6)
    fleet.run(2)
    fleet.at(0).noteDraining('u1')
    expect([fleet.at(0).noteCrash('f'), fleet.at(0).marks.crashesOf('f')]).to.deep.equal([1, 1])
    fleet.run(3)
    expect(fleet.news.sort()).to.deep.equal([1, 2, 3, 4, 5].flatMap(index => [`vm${index} f 1`, `vm${index} u1`]))
    expect(fleet.at(4).noteCrash('f')).to.equal(2)
    fleet.run(3)
    expect([0, 1, 2, 3, 4, 5].map(index => fleet.at(index).marks.crashesOf('f'))).to.deep.equal([2, 2, 2, 2, 2, 2])
    fleet.run(DRAINING_MS / EXCHANGE_EVERY_MS)
    expect([0, 1, 5].map(index => fleet.at(index).marks.isDraining('u1'))).to.deep.equal([false, false, false])
  })

  // Guards against work per VM that grows with the fleet, and against live VMs that look silent in a large one.
  it('keeps messages per VM constant and every VM known in a large fleet', () => {
    for (const size of [6, 60, 200]) {
      const fleet = new Fleet(size)
      fleet.run(10)
      let unknown = 0
      let seen = 0
      for (let round = 0; round < 5; round++) {
        fleet.run(1)
        for (let index = 0; index < size; index += Math.ceil(size / 20)) {
          seen += size - 1
          unknown += size - fleet.at(index).share().count
        }
      }
      console.log(`      ${size} VMs: ${(fleet.bytes / size / 15).toFixed(0)} bytes/s sent per VM, ${(100 * unknown / seen).toFixed(2)}% of live VMs taken for silent`)
      expect(fleet.messages / size / 15).to.be.at.most(2 * FAN_OUT)
      expect(fleet.largest).to.be.at.most(MAX_EXCHANGE_ENTRIES)
      expect(unknown / seen).to.be.at.most(0.01)
    }
  })

  // Guards against a restarted VM that is taken for its earlier incarnation, and against messages that break a VM.
  it('follows incarnations and ignores what it cannot read', () => {
    const fleet = new Fleet(2)
    fleet.run(2)
    const restarted = { ...fleet.at(1).createMessage(), from: 'vm1#2', configRevision: 4, heartbeats: [['vm1#2', 1]] }
    fleet.at(0).onMessage(restarted)
    expect(fleet.at(0).liveMembers()).to.deep.equal(['vm1#2'])
    expect(fleet.at(0).newestConfig()).to.deep.equal({ vmId: 'vm1', revision: 4 })
    for (const bad of [null, {}, { ...restarted, version: 2, from: 'vm1#3', heartbeats: [['vm1#3', 1]] }, { ...restarted, heartbeats: 'x' }]) fleet.at(0).onMessage(bad)
    fleet.at(0).onMessage(fleet.at(1).createMessage())
    expect(fleet.at(0).liveMembers()).to.deep.equal(['vm1#2'])
  })
})
