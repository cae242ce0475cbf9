import murmurhash from 'murmurhash'
import type { FleetMember, FleetRole } from '../../types/fleetMember.js'

/** Relays of a small failure domain. */
const MIN_RELAYS_PER_DOMAIN = 2
/** A failure domain has one further relay for each group of this many VMs, which bounds the followers per relay. */
const VMS_PER_EXTRA_RELAY = 24
/** Relays and followers follow this many VMs, so that the loss of one interrupts nothing. */
const FOLLOWED_COUNT = 2

/** Whether a VM is considered up. */
export type LivenessCheck = (vmId: string) => boolean

/**
 * The registered entry VMs and their roles. One VM reads the store whatever the size of the fleet; relays keep most of
 * the traffic within the failure domains. Roles follow from hashed ids, so that VMs that know the same members agree
 * without communication and any VM can assume each role.
 */
export class FleetMembers {
  /** Changes whenever the members change. */
  version = 0
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

  /** The members in order of their hashed ids. */
  list (): readonly FleetMember[] {
    this.sortedMembers ??= sortByHash([...this.members.values()], ({ vmId }) => vmId)
    return this.sortedMembers
  }

  get (vmId: string): FleetMember | undefined {
    return this.members.get(vmId)
  }

  put (member: FleetMember): void {
    this.members.set(member.vmId, member)
    this.onChange()
  }

  remove (vmId: string): void {
    this.members.delete(vmId)
    this.onChange()
  }

  /** Removes all members except those in `vmIds`. */
  retain (vmIds: ReadonlySet<string>): void {
    for (const vmId of this.members.keys()) {
      if (!vmIds.has(vmId)) this.members.delete(vmId)
    }
    this.onChange()
  }

  /** This VM's role, given which members are up; undefined until this VM is registered. */
  role (isUp: LivenessCheck): FleetRole | undefined {
    const own = this.members.get(this.ownId)
    if (own === undefined) return undefined
    const up = this.membersUp(isUp)
    const rank = up.findIndex(({ vmId }) => vmId === this.ownId)
    if (rank === 0) return 'source'
    if (rank === 1) return 'standby'
    return relaysOf(up, own.failureDomain).includes(own) ? 'relay' : 'follower'
  }

  /** The members that this VM follows; none if it is the source. Hashing spreads the followers over the relays. */
  membersToFollow (isUp: LivenessCheck): readonly FleetMember[] {
    const own = this.members.get(this.ownId)
    if (own === undefined) return []
    const up = this.membersUp(isUp)
    switch (this.role(isUp)) {
      case 'standby': return up.slice(0, 1)
      case 'relay': return up.slice(0, FOLLOWED_COUNT)
      case 'follower': return sortByHash(relaysOf(up, own.failureDomain), ({ vmId }) => `${this.ownId} ${vmId}`).slice(0, FOLLOWED_COUNT)
      default: return []
    }
  }

  private onChange (): void {
    this.version += 1
    this.sortedMembers = undefined
  }

  private membersUp (isUp: LivenessCheck): readonly FleetMember[] {
    return this.list().filter(({ vmId }) => vmId === this.ownId || isUp(vmId))
  }
}

/** The relays of a failure domain; the source and the standby can be among them. */
function relaysOf (up: readonly FleetMember[], failureDomain: string): readonly FleetMember[] {
  const inDomain = up.filter(member => member.failureDomain === failureDomain)
  return inDomain.slice(0, MIN_RELAYS_PER_DOMAIN + Math.floor(inDomain.length / VMS_PER_EXTRA_RELAY))
}

function sortByHash (members: readonly FleetMember[], textOf: (member: FleetMember) => string): FleetMember[] {
  return members
    .map(member => ({ member, hash: murmurhash.v3(textOf(member)) }))
    .sort((one, other) => one.hash - other.hash)
    .map(({ member }) => member)
}
