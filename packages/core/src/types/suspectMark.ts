import type { Milliseconds } from './clock.js'

/** Marks a request as suspected of crashing upstreams; shared among all VMs. */
export interface SuspectMark {
  readonly fingerprint: string
  /** Upstreams that crashed while they ran the request. */
  readonly upstreamIds: readonly string[]
  readonly expiresAt: Milliseconds
}
