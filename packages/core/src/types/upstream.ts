import type { Milliseconds } from './clock.js'

/** Whether an upstream takes new work. */
export type VmState = 'live' | 'leaving'

/** One back-end VM of a service, as it is registered. */
export interface Upstream {
  readonly id: string
  readonly service: string
  /** IP address by number. */
  readonly address: string
  readonly port: number
  readonly failureDomain: string
  /** Requests that the upstream runs at once; undefined where it does not say. */
  readonly slots?: number
  readonly state: VmState
  /** Start of the process in milliseconds since the epoch; a restart under the same id has another one. */
  readonly incarnation?: number
  /** When the upstream has reached its full speed after its start; absent where it does not say. */
  readonly warmAt?: Milliseconds
}

/** An upstream's own account of its load, carried on an ordinary answer. */
export interface LoadReport {
  /** Requests that occupy a slot. */
  readonly inFlight: number
  /** Requests that wait for a slot. */
  readonly queued: number
  readonly slots?: number
  /** How long work takes on the upstream's machine at this moment, relative to its usual time. */
  readonly relativeTime?: number
  /** The upstream asks for no new work. */
  readonly draining: boolean
  /** When this VM received the report. */
  readonly receivedAt: Milliseconds
}
