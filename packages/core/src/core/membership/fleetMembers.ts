import murmurhash from 'murmurhash'
import type { FleetMember } from '../../types/fleetMember.js'

/** VMs that read the store for the others in a small fleet; one can fail without any of the others reading for itself. */
const LEAST_SOURCES = 2
/** Each further group of this many VMs adds one that reads the store, which bounds how many others each one serves. */
const VMS_PER_SOURCE = 24
/** Sources that one VM follows, so that the loss of one is not noticed. */
const SOURCES_FOLLOWED = 2

/** Tells whether a VM takes another one to be up. */
export type IsUp = (vmId: string) => boolean

/**
 * The entry VMs that announced themselves. Which of them read the store for the others follows from their ids alone:
 * VMs that know the same members agree without a message, and none is set aside.
 */
export class FleetMembers {
  private readonly members = new Map<string, FleetMember>()
  /** By the hash of their ids; undefined after a change. */
  private ordered: readonly FleetMember[] | undefined

  private constructor (private readonly ownId: string) {}

  /** `ownId` is the VM's own id; it counts as a member before it has announced itself. */
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
    this.ordered = undefined
  }

  remove (vmId: string): void {
    this.members.delete(vmId)
    this.ordered = undefined
  }

  /** Keeps those of `vmIds` only. */
  retain (vmIds: ReadonlySet<string>): void {
    for (const vmId of this.members.keys()) {
      if (!vmIds.has(vmId)) this.members.delete(vmId)
    }
    this.ordered = undefined
  }

  /** Whether this VM reads the store for others, as far as the members that are up are concerned. */
  isSource (isUp: IsUp): boolean {
    return !this.members.has(this.ownId) || this.sources(isUp).some(({ vmId }) => vmId === this.ownId)
  }

  /** The VMs that this one follows; none where it reads the store itself. The followers of a fleet are spread over its sources. */
  followed (isUp: IsUp): readonly FleetMember[] {
    if (this.isSource(isUp)) return []
    return sortByHash(this.sources(isUp), ({ vmId }) => `${this.ownId} ${vmId}`).slice(0, SOURCES_FOLLOWED)
  }

  private sources (isUp: IsUp): readonly FleetMember[] {
    this.ordered ??= sortByHash([...this.members.values()], ({ vmId }) => vmId)
    const up = this.ordered.filter(({ vmId }) => vmId === this.ownId || isUp(vmId))
    return up.slice(0, LEAST_SOURCES + Math.floor(this.count / VMS_PER_SOURCE))
  }
}

function sortByHash (members: readonly FleetMember[], textOf: (member: FleetMember) => string): FleetMember[] {
  return members
    .map(member => ({ member, hash: murmurhash.v3(textOf(member)) }))
    .sort((one, other) => one.hash - other.hash)
    .map(({ member }) => member)
}
