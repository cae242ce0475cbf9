import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { TableName, TablePosition } from '../../types/controlStore.js'

/** How far a table was read, by this VM or another one. */
export interface ReadPosition extends TablePosition {
  /** When the store answered that read, on this VM's clock. */
  readonly readAt: Milliseconds
}

/** The newest reads of the tables that each followed VM knows of. */
export class FollowedReads {
  /** Followed VMs whose reads are not passed on. */
  additionalSources: ReadonlySet<string> = new Set()
  private readonly positions = new Map<string, Map<TableName, ReadPosition>>()

  private constructor () {}

  static create (): FollowedReads {
    return new FollowedReads()
  }

  /** Number of VMs that have sent positions. */
  get vms (): number {
    return this.positions.size
  }

  /** Adds a VM, which may know of no read yet. */
  add (vmId: string): void {
    if (!this.positions.has(vmId)) this.positions.set(vmId, new Map())
  }

  set (vmId: string, table: TableName, position: ReadPosition): void {
    this.add(vmId)
    this.positions.get(vmId)?.set(table, position)
  }

  get (vmId: string, table: TableName): ReadPosition | undefined {
    return this.positions.get(vmId)?.get(table)
  }

  /** Returns whether the VM was known. */
  delete (vmId: string): boolean {
    return this.positions.delete(vmId)
  }

  of (table: TableName): ReadPosition[] {
    return [...this.positions.values()].flatMap(positions => positions.get(table) ?? [])
  }

  /** Those of the VMs whose reads are passed on. */
  passedOn (table: TableName): ReadPosition[] {
    return [...this.positions].flatMap(([vmId, positions]) => this.additionalSources.has(vmId) ? [] : positions.get(table) ?? [])
  }
}
