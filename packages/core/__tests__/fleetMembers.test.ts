import { expect } from 'chai'
import { FleetMembers, type IsUp } from '../src/core/membership/fleetMembers.js'

const allUp: IsUp = () => true

function fleetOf (ownId: string, size: number): FleetMembers {
  const members = FleetMembers.create(ownId)
  for (let index = 0; index < size; index++) members.put({ vmId: `vm${index}`, feedAddress: `10.0.0.${index}:7660` })
  return members
}

/** Ids of the sources of a fleet, as its VMs decide each for itself. */
function sourcesOf (size: number, isUp: IsUp = allUp): string[] {
  const ids = Array.from({ length: size }, (_, index) => `vm${index}`)
  return ids.filter(id => fleetOf(id, size).isSource(vmId => vmId === id || isUp(vmId)))
}

describe('sources of a fleet', () => {
  // Guards against a read of the store by every VM, and against sources that serve ever more others.
  for (const [size, sources] of [[1, 1], [2, 2], [6, 2], [47, 3], [300, 14]] as const) {
    it(`are ${sources} of ${size} VMs`, () => {
      expect(sourcesOf(size)).to.have.length(sources)
    })
  }

  // Guards against VMs that each wait for another one to read the store.
  it('are followed by all others, two by each, and by about equally many', () => {
    const sources = new Set(sourcesOf(300))
    const followers = new Map<string, number>()
    for (let index = 0; index < 300; index++) {
      const followed = fleetOf(`vm${index}`, 300).followed(allUp).map(({ vmId }) => vmId)
      expect(followed).to.have.length(sources.has(`vm${index}`) ? 0 : 2)
      for (const vmId of followed) followers.set(vmId, (followers.get(vmId) ?? 0) + 1)
    }
    expect([...followers.keys()].every(vmId => sources.has(vmId))).to.equal(true)
    const mean = 2 * (300 - sources.size) / sources.size
    expect(Math.max(...followers.values())).to.be.at.most(mean * 2)
  })

  // Guards against a fleet that reads nothing once the VMs that read for it are gone.
  it('are replaced where they are down', () => {
    const before = sourcesOf(47)
    const after = sourcesOf(47, vmId => !before.includes(vmId))
    expect(after.filter(vmId => !before.includes(vmId))).to.have.length(3)
  })

  it('include a VM that nobody knows yet', () => {
    const members = fleetOf('new', 6)
    expect(members.isSource(allUp)).to.equal(true)
    expect(members.count).to.equal(7)
  })
})
