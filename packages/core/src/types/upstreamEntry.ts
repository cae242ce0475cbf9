import type { Milliseconds } from './clock.js'
import type { LifecycleState } from './upstream.js'

/** An upstream's entry in the control store, which the upstream itself writes. */
export interface UpstreamEntry {
  readonly id: string
  readonly service: string
  /** Numeric IP address. */
  readonly address: string
  readonly port: number
  readonly failureDomain: string
  readonly slots: number
  readonly state: LifecycleState
  /** Start of the process in milliseconds since the epoch; 0 if unknown. */
  readonly incarnation: number
  /** Increases with each heartbeat of an incarnation. */
  readonly sequence: number
  /** Remaining time until the upstream reaches full speed after its start. */
  readonly warmupLeftMs: Milliseconds
}
