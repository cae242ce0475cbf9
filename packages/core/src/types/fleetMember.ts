/** An entry VM's registration in the fleet. */
export interface FleetMember {
  readonly vmId: string
  /** IP address and port where other VMs can subscribe to what this one reads from the store. */
  readonly feedAddress: string
}
