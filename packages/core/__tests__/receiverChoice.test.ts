import { expect } from 'chai'
import { HandoverLimit } from '../src/core/handover/handoverLimit.js'
import { ReceiverChoice } from '../src/core/handover/receiverChoice.js'
import { FleetMembers } from '../src/core/membership/fleetMembers.js'
import { FakeClock } from '../src/types/clock.js'
import { SeededRandom } from '../src/types/randomSource.js'

const NONE: ReadonlySet<string> = new Set()

describe('ReceiverChoice', () => {
  let clock: FakeClock
  let members: FleetMembers
  let choice: ReceiverChoice

  beforeEach(() => {
    clock = FakeClock.create()
    members = FleetMembers.create('vm0')
    for (let i = 0; i < 12; i++) {
      members.put({ vmId: `vm${i}`, feedAddress: '10.0.0.1:1', peerAddress: `10.0.0.${i}:2`, failureDomain: 'abc'[i % 3] as string })
    }
    choice = ReceiverChoice.create({ vmId: 'vm0', failureDomain: 'a', members, clock, random: SeededRandom.create(3) })
  })

  function chosen (count: number, tried = NONE): Set<string | undefined> {
    return new Set(Array.from({ length: count }, () => choice.choose(tried)?.failureDomain))
  }

  // Guards against calls that are handed to VMs of a failure domain that is cut off as a whole.
  it('chooses VMs of other failure domains, and of its own where none of these is left', () => {
    expect(chosen(100)).to.deep.equal(new Set(['b', 'c']))
    for (const member of members.list()) if (member.failureDomain !== 'a') choice.avoid(member.vmId, 'full')
    expect(chosen(20)).to.deep.equal(new Set(['a']))
  })

  it('avoids a domain of which two VMs are cut off, for a second', () => {
    choice.avoid('vm1', 'cutOff')
    choice.avoid('vm4', 'cutOff')
    expect(chosen(100)).to.deep.equal(new Set(['c']))
    clock.advance(1000)
    expect(chosen(100)).to.deep.equal(new Set(['b', 'c']))
  })

  // Guards against calls that stay at a VM that is cut off because the others had no room a moment ago.
  it('chooses a VM that had no room rather than none, but none that is cut off', () => {
    for (const { vmId } of members.list()) choice.avoid(vmId, vmId === 'vm5' ? 'full' : 'cutOff')
    expect(choice.choose(NONE)?.vmId).to.equal('vm5')
    choice.onAllCut()
    expect(choice.isAllCut).to.equal(false)
  })

  // Guards against a VM that does not answer and gets a share of all calls.
  it('gives no more calls to a VM that keeps those it has', () => {
    for (let i = 0; i < 40; i++) choice.onStart('vm1')
    const picks = Array.from({ length: 200 }, () => choice.choose(NONE)?.vmId)
    expect(picks.filter(id => id === 'vm1').length).to.be.below(12)
  })

  // Guards against requests that go from VM to VM while upstreams are down for all of them.
  it('chooses none for half a second after all were found to be cut off', () => {
    choice.onAllCut()
    expect(choice.choose(NONE)).to.equal(undefined)
    clock.advance(500)
    expect(choice.choose(NONE)).not.to.equal(undefined)
  })

  it('chooses no VM without a peer address, none twice, and never itself', () => {
    for (const { vmId } of members.list()) if (vmId !== 'vm0' && vmId !== 'vm5') members.put({ vmId, feedAddress: '10.0.0.1:1', failureDomain: 'b' })
    expect(choice.choose(NONE)?.vmId).to.equal('vm5')
    expect(choice.choose(new Set(['vm5']))).to.equal(undefined)
  })
})

describe('HandoverLimit', () => {
  // Guards against a cut domain that overloads the other VMs.
  it('allows calls in relation to the own ones, and none while the event loop lags', () => {
    const clock = FakeClock.create()
    const limit = HandoverLimit.create({ clock, calls: 4, perOwnCall: 2 })
    for (let i = 0; i < 2000; i++) {
      clock.advance(50)
      limit.sample(10, 0)
    }
    expect(limit.maximum).to.be.within(23, 24)
    const entered = Array.from({ length: 30 }, () => limit.tryEnter()).filter(Boolean).length
    expect(entered).to.equal(limit.maximum)
    limit.leave()
    limit.sample(10, 250)
    expect(limit.tryEnter()).to.equal(false)
    clock.advance(500)
    expect(limit.tryEnter()).to.equal(true)
  })
})
