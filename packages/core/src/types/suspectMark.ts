import type { Milliseconds } from './clock.js'

/** A mark on a request that crashed upstreams; shared by all VMs. */
export interface SuspectMark {
  readonly fingerprint: string
  /** Upstreams that crashed while they ran the request. */
  readonly upstreamIds: readonly string[]
  readonly expiresAt: Milliseconds
}
