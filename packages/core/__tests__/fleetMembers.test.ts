import { expect } from 'chai'
import { FleetMembers, type LivenessCheck } from '../src/core/membership/fleetMembers.js'
import type { FleetRole } from '../src/types/fleetMember.js'

const DOMAINS = 5

const allUp: LivenessCheck = () => true

function domainOf (vmId: string): string {
  return `domain${Number(vmId.slice(2)) % DOMAINS}`
}

function idsOf (size: number): string[] {
  return Array.from({ length: size }, (_, index) => `vm${index}`)
}

function fleetOf (ownId: string, size: number): FleetMembers {
  const members = FleetMembers.create(ownId)
  for (const vmId of idsOf(size)) members.put({ vmId, feedAddress: `10.0.0.1:${7000 + Number(vmId.slice(2))}`, failureDomain: domainOf(vmId) })
  return members
}

/** Ids of the VMs that consider themselves in a role; each VM decides independently. */
function vmsInRole (role: FleetRole, size: number, isUp: LivenessCheck = allUp): string[] {
  return idsOf(size).filter(id => fleetOf(id, size).role(vmId => vmId === id || isUp(vmId)) === role)
}

function followedBy (vmId: string, size: number): string[] {
  return fleetOf(vmId, size).membersToFollow(allUp).map(member => member.vmId)
}

describe('FleetMembers', () => {
  // Guards against reads of the store that grow with the fleet.
  for (const [size, standbys] of [[1, 0], [2, 1], [6, 1], [47, 1], [124, 1], [300, 1]] as const) {
    it(`chooses one of ${size} VMs as the source, and ${standbys} as its standby`, () => {
      expect(vmsInRole('source', size)).to.have.length(1)
      expect(vmsInRole('standby', size)).to.have.length(standbys)
    })
  }

  it('lets relays follow the source and its standby, and followers two relays of their own failure domain', () => {
    const sources = [...vmsInRole('source', 124), ...vmsInRole('standby', 124)]
    const relays = vmsInRole('relay', 124)
    expect(followedBy(sources[0] as string, 124)).to.deep.equal([])
    expect(followedBy(sources[1] as string, 124)).to.deep.equal([sources[0]])
    for (const vmId of relays) expect(followedBy(vmId, 124)).to.have.members(sources)
    for (const vmId of vmsInRole('follower', 124)) {
      const followed = followedBy(vmId, 124)
      expect(followed).to.have.length(2)
      expect(followed.every(id => domainOf(id) === domainOf(vmId) && [...relays, ...sources].includes(id))).to.equal(true)
    }
  })

  // Guards against a VM whose link is saturated by its followers.
  it('spreads the followers of a failure domain about evenly over its relays', () => {
    const followers = new Map<string, number>()
    const ids = vmsInRole('follower', 300)
    for (const vmId of ids.flatMap(id => followedBy(id, 300))) followers.set(vmId, (followers.get(vmId) ?? 0) + 1)
    const mean = 2 * ids.length / followers.size
    expect(Math.max(...followers.values())).to.be.at.most(mean * 2)
  })

  // Guards against a fleet that stops reading the store when its sources fail.
  it('replaces the source, its standby and relays that are down', () => {
    const sources = [...vmsInRole('source', 47), ...vmsInRole('standby', 47)]
    const relays = vmsInRole('relay', 47)
    const isLeft: LivenessCheck = vmId => !sources.includes(vmId) && !relays.includes(vmId)
    expect(vmsInRole('source', 47, isLeft).filter(isLeft)).to.have.length(1)
    expect(vmsInRole('standby', 47, isLeft).filter(isLeft)).to.have.length(1)
    expect(vmsInRole('relay', 47, isLeft).filter(isLeft)).to.have.length.within(2 * DOMAINS - 2, 2 * DOMAINS)
  })

  it('gives a VM that is not registered yet no role', () => {
    const members = fleetOf('new', 6)
    expect(members.role(allUp)).to.equal(undefined)
    expect(members.membersToFollow(allUp)).to.deep.equal([])
    expect(members.count).to.equal(7)
  })
})
