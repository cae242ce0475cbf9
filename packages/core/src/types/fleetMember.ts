/** One entry VM as it announced itself to the others. */
export interface FleetMember {
  readonly vmId: string
  /** Where the others may follow what it reads from the store: IP address and port. */
  readonly feedAddress: string
}
