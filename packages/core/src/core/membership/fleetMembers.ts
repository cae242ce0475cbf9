import murmurhash from 'murmurhash'
import type { FleetMember } from '../../types/fleetMember.js'

/** Sources of a small fleet: when one fails, the others need not read the store themselves. */
const MIN_SOURCES = 2
/** The fleet has one further source for each group of this many VMs, which bounds the followers per source. */
const VMS_PER_EXTRA_SOURCE = 24
/** Each follower subscribes to this many sources, so that the loss of one interrupts nothing. */
const SOURCES_PER_FOLLOWER = 2

/** Whether a VM is considered up. */
export type LivenessCheck = (vmId: string) => boolean

/**
 * The registered entry VMs. Some of them, the sources, read the store on behalf of the others, which subscribe to them.
 * The sources are chosen by hashed ids, so that VMs that know the same members agree without communication and any VM
 * can assume the role.
 */
export class FleetMembers {
  private readonly members = new Map<string, FleetMember>()
  /** Members in order of their hashed ids; undefined after a change. */
  private sortedMembers: readonly FleetMember[] | undefined

  private constructor (private readonly ownId: string) {}

  /** `ownId` is the VM's own id; it counts as a member even before it is registered. */
  static create (ownId: string): FleetMembers {
    return new FleetMembers(ownId)
  }

  /** Number of VMs, this one included. */
  get count (): number {
    return this.members.size + (this.members.has(this.ownId) ? 0 : 1)
  }

  get (vmId: string): FleetMember | undefined {
    return this.members.get(vmId)
  }

  put (member: FleetMember): void {
    this.members.set(member.vmId, member)
    this.sortedMembers = undefined
  }

  remove (vmId: string): void {
    this.members.delete(vmId)
    this.sortedMembers = undefined
  }

  /** Removes all members except those in `vmIds`. */
  retain (vmIds: ReadonlySet<string>): void {
    for (const vmId of this.members.keys()) {
      if (!vmIds.has(vmId)) this.members.delete(vmId)
    }
    this.sortedMembers = undefined
  }

  /** Whether this VM reads the store itself, given which members are up. A VM that is not registered yet does. */
  isSource (isUp: LivenessCheck): boolean {
    return !this.members.has(this.ownId) || this.sources(isUp).some(({ vmId }) => vmId === this.ownId)
  }

  /** The sources that this VM follows; none if it is a source. Hashing spreads the followers over the sources. */
  sourcesToFollow (isUp: LivenessCheck): readonly FleetMember[] {
    if (this.isSource(isUp)) return []
    return sortByHash(this.sources(isUp), ({ vmId }) => `${this.ownId} ${vmId}`).slice(0, SOURCES_PER_FOLLOWER)
  }

  private sources (isUp: LivenessCheck): readonly FleetMember[] {
    this.sortedMembers ??= sortByHash([...this.members.values()], ({ vmId }) => vmId)
    const up = this.sortedMembers.filter(({ vmId }) => vmId === this.ownId || isUp(vmId))
    return up.slice(0, MIN_SOURCES + Math.floor(this.count / VMS_PER_EXTRA_SOURCE))
  }
}

function sortByHash (members: readonly FleetMember[], textOf: (member: FleetMember) => string): FleetMember[] {
  return members
    .map(member => ({ member, hash: murmurhash.v3(textOf(member)) }))
    .sort((one, other) => one.hash - other.hash)
    .map(({ member }) => member)
}
