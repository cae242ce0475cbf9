import type { Milliseconds } from './clock.js'
import type { VmState } from './upstream.js'

/** What an upstream registered about itself, or the removal of its entry. */
export interface UpstreamEntry {
  readonly id: string
  readonly service: string
  /** IP address by number. */
  readonly address: string
  readonly port: number
  readonly failureDomain: string
  readonly slots: number
  readonly state: VmState
  /** Start of the process in milliseconds since the epoch; 0 where it does not say. */
  readonly incarnation: number
  /** Grows with each heartbeat of an incarnation. */
  readonly sequence: number
  /** How much longer the upstream is slow after its start. */
  readonly warmupLeftMs: Milliseconds
}
