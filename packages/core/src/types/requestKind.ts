import type { Milliseconds } from './clock.js'

/** How the requests of one kind are treated. */
export interface RequestKind {
  readonly name: string
  /** Priority in the wait queue; under overload, calls of lower weight are refused first. */
  readonly weight: number
  /** 0 is the most urgent; undefined if only the weight counts. */
  readonly priority?: number
  /** Whether running the request twice has the effect of running it once. */
  readonly idempotent: boolean
  /** Time from arrival within which the complete response is useful. */
  readonly deadlineMs: Milliseconds
  /** Whether upstreams stop working on a request when its connection closes. */
  readonly cancellable: boolean
  /** Whether a second attempt may run concurrently with a slow first one; only idempotent kinds are hedged. */
  readonly hedgeable: boolean
  /** Time from arrival after which a response is of little use; defaults to `deadlineMs`. */
  readonly targetMs?: Milliseconds
  /**
   * Largest number of attempts per call, including the first and repeated ones at the same upstream; defaults to the
   * policy's `attemptsPerCall`.
   */
  readonly maxAttempts?: number
}
