import type { Milliseconds } from './clock.js'

/** Whether an upstream accepts new work. */
export type LifecycleState = 'live' | 'leaving'

/** A back-end VM of a service, as registered in the control store. */
export interface Upstream {
  readonly id: string
  readonly service: string
  /** Numeric IP address. */
  readonly address: string
  readonly port: number
  readonly failureDomain: string
  /** Requests that the upstream runs concurrently; undefined if unknown. */
  readonly slots?: number
  readonly state: LifecycleState
  /** Start of the process in milliseconds since the epoch; differs after a restart under the same id. */
  readonly incarnation?: number
  /** When the upstream reaches full speed after its start; undefined if unknown. */
  readonly warmAt?: Milliseconds
}

/**
 * What a response says about the requests that its upstream takes from all VMs together: at most so many a second, or
 * any number.
 */
export type RateNotice = { readonly kind: 'limited', readonly requestsPerSecond: number } | { readonly kind: 'unlimited' }

/** What the head of a response says about the requests that its upstream takes from now on. */
export interface ResponseSignals {
  /** The upstream is leaving and takes no new work. */
  readonly isLeaving: boolean
  /** How long the upstream takes no requests from this VM; undefined if it does not say. */
  readonly retryAfterMs: Milliseconds | undefined
}

/** An upstream's report of its own load, carried by a response or obtained by a probe. */
export interface LoadReport {
  /** Requests that occupy a slot. */
  readonly inFlight: number
  /** Requests that wait for a slot. */
  readonly queued: number
  readonly slots?: number
  /** Current processing time on the upstream's machine relative to its usual time. */
  readonly relativeTime?: number
  /** The upstream asks for no new work. */
  readonly draining: boolean
  /** When this VM received the report. */
  readonly receivedAt: Milliseconds
}
