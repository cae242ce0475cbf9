/** An entry VM as registered in the control store. */
export interface FleetMember {
  readonly vmId: string
  /** Address at which other VMs follow this one's reads of the store. */
  readonly feedAddress: string
  /** Address at which other VMs send requests to this one; undefined for daemons of earlier versions. */
  readonly peerAddress?: string | undefined
  readonly failureDomain: string
}

/**
 * How a VM learns of changes in the control store: the source reads the store, the standby follows it and reads the store
 * as soon as it does not, relays follow both and pass their reads on within a failure domain, followers follow relays.
 */
export type FleetRole = 'source' | 'standby' | 'relay' | 'follower'
