import { expect } from 'chai'
import { FleetMembers, type LivenessCheck } from '../src/core/membership/fleetMembers.js'

const allUp: LivenessCheck = () => true

function fleetOf (ownId: string, size: number): FleetMembers {
  const members = FleetMembers.create(ownId)
  for (let index = 0; index < size; index++) members.put({ vmId: `vm${index}`, feedAddress: `10.0.0.${index}:7660` })
  return members
}

/** Ids of the VMs that consider themselves sources; each VM decides independently. */
function sourcesOf (size: number, isUp: LivenessCheck = allUp): string[] {
  const ids = Array.from({ length: size }, (_, index) => `vm${index}`)
  return ids.filter(id => fleetOf(id, size).isSource(vmId => vmId === id || isUp(vmId)))
}

describe('FleetMembers', () => {
  // Guards against every VM reading the store, and against an unbounded number of followers per source.
  for (const [size, sources] of [[1, 1], [2, 2], [6, 2], [47, 3], [300, 14]] as const) {
    it(`chooses ${sources} of ${size} VMs as sources`, () => {
      expect(sourcesOf(size)).to.have.length(sources)
    })
  }

  // Guards against VMs that all wait for one another to read the store.
  it('makes each other VM follow two sources and spreads the followers about evenly', () => {
    const sources = new Set(sourcesOf(300))
    const followers = new Map<string, number>()
    for (let index = 0; index < 300; index++) {
      const sourceIds = fleetOf(`vm${index}`, 300).sourcesToFollow(allUp).map(({ vmId }) => vmId)
      expect(sourceIds).to.have.length(sources.has(`vm${index}`) ? 0 : 2)
      for (const vmId of sourceIds) followers.set(vmId, (followers.get(vmId) ?? 0) + 1)
    }
    expect([...followers.keys()].every(vmId => sources.has(vmId))).to.equal(true)
    const mean = 2 * (300 - sources.size) / sources.size
    expect(Math.max(...followers.values())).to.be.at.most(mean * 2)
  })

  // Guards against a fleet that stops reading the store when its sources fail.
  it('replaces sources that are down', () => {
    const before = sourcesOf(47)
    const after = sourcesOf(47, vmId => !before.includes(vmId))
    expect(after.filter(vmId => !before.includes(vmId))).to.have.length(3)
  })

  it('makes a VM that is not registered yet a source', () => {
    const members = fleetOf('new', 6)
    expect(members.isSource(allUp)).to.equal(true)
    expect(members.count).to.equal(7)
  })
})
