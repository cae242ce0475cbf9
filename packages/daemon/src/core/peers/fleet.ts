import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Upstream } from '@cowsliplead/core/types/upstream.js'
import type { EntryVm, UpstreamVm, Vm, VmListing } from '../../types/platform.js'

/** The VMs as the newest VM list describes them, and this VM's place among them. */
export class Fleet {
  private listing: VmListing | undefined
  private entries: readonly EntryVm[] = []
  private upstreams: ReadonlyMap<string, readonly Upstream[]> = new Map()
  private readAt: Milliseconds | undefined

  private constructor (private readonly vmId: string, private readonly clock: Clock) {}

  static create (vmId: string, clock: Clock): Fleet {
    return new Fleet(vmId, clock)
  }

  /** False until the list was read once. */
  get isKnown (): boolean {
    return this.listing !== undefined
  }

  /** Age of the newest read. */
  get ageMs (): Milliseconds | undefined {
    return this.readAt === undefined ? undefined : this.clock.now() - this.readAt
  }

  /** Takes a newer list; an older one is ignored. */
  setListing (listing: VmListing): void {
    this.readAt = this.clock.now()
    if (this.listing !== undefined && listing.asOf < this.listing.asOf) return
    this.listing = listing
    this.entries = listing.vms.filter(isEntryVm)
    this.upstreams = groupByService(listing.vms.filter(isUpstreamVm))
  }

  upstreamsOf (service: string): readonly Upstream[] {
    return this.upstreams.get(service) ?? []
  }

  /** All entry VMs on the list. */
  entryVms (): readonly EntryVm[] {
    return this.entries
  }

  /** `host:port` of an entry VM's private port. */
  privateAddressOf (vmId: string): string | undefined {
    return this.entryVms().find(vm => vm.id === vmId)?.privateAddress
  }

  /** Entry VMs other than this one. */
  peers (): EntryVm[] {
    return this.entryVms().filter(vm => vm.id !== this.vmId)
  }

  /** Sorted ids of live entry VMs, this one included even before the list has it. */
  liveEntryIds (): string[] {
    const live = this.entryVms().filter(vm => vm.state === 'live').map(vm => vm.id)
    return [...new Set([...live, this.vmId])].sort()
  }

  /** This VM's position among the live entry VMs, and their number. */
  entryPosition (): { readonly rank: number, readonly count: number } {
    const ids = this.liveEntryIds()
    return { rank: ids.indexOf(this.vmId), count: ids.length }
  }
}

function isUpstreamVm (vm: Vm): vm is UpstreamVm {
  return vm.role === 'upstream'
}

function isEntryVm (vm: Vm): vm is EntryVm {
  return vm.role === 'entry'
}

function groupByService (upstreams: readonly UpstreamVm[]): Map<string, Upstream[]> {
  const groups = new Map<string, Upstream[]>()
  for (const upstream of upstreams) {
    const group = groups.get(upstream.service)
    if (group === undefined) groups.set(upstream.service, [upstream])
    else group.push(upstream)
  }
  return groups
}
