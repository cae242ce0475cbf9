import type { Milliseconds } from './clock.js'

/** How a service treats one kind of request. */
export interface RequestKind {
  readonly name: string
  /** Share in weighted service; higher weights are kept longer under overload. */
  readonly weight: number
  /** Whether running the request twice has the effect of running it once. */
  readonly idempotent: boolean
  /** Time from arrival within which the whole answer is useful. */
  readonly deadlineMs: Milliseconds
  /** Whether upstreams stop the work when the connection closes. */
  readonly cancellable: boolean
  /** Whether a second attempt may run beside a slow first one; only idempotent kinds are hedged. */
  readonly hedgeable: boolean
  /** Time from arrival after which an answer is of little use; `deadlineMs` where absent. */
  readonly targetMs?: Milliseconds
  /** Upstreams that one call may be sent to; the policy's number where absent. */
  readonly maxAttempts?: number
}
