import type { IncomingHttpHeaders } from 'node:http'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { LoadReport } from '@cowsliplead/core/types/upstream.js'

/** What an attempt says of itself to its upstream. */
export interface AttemptIdentity {
  /** Id of the caller's request. */
  readonly requestId: string
  /** Number of the attempt within the request, from 1. */
  readonly attempt: number
  readonly upstreamId: string
  /** Absolute. */
  readonly deadlineAt: Milliseconds
  readonly now: Milliseconds
}

/** Headers of one attempt, and the id that its response has to echo. */
export interface AttemptHeaders {
  /** Name, value, name, value. */
  readonly headers: readonly string[]
  readonly echoedId: string
}

/** What the head of an upstream's response says beside the answer itself. */
export interface ResponseMarks {
  /** The echoed id; undefined where there is none. */
  readonly echoedId: string | undefined
  /** The upstream states that it did not run the request. */
  readonly notRun: boolean
  /** Another upstream answers at this address. */
  readonly isOtherUpstream: boolean
  readonly report: LoadReport | undefined
  /** How long the upstream keeps the connection open while it is idle; undefined where it does not say. */
  readonly idleTimeoutMs: Milliseconds | undefined
}

/** The headers by which callers, daemons and upstreams understand each other. */
export interface Dialect {
  /** The id that a caller gave its request. */
  callerRequestId (headers: IncomingHttpHeaders): string | undefined
  /** Time that the caller will wait from now on; undefined where it does not say. */
  timeLeftMs (headers: IncomingHttpHeaders): Milliseconds | undefined
  attemptHeaders (identity: AttemptIdentity): AttemptHeaders
  readResponse (status: number, rawHeaders: readonly string[], now: Milliseconds): ResponseMarks
  /** Headers of responses that the daemon makes, and those added to an upstream's. */
  callerHeaders (requestId: string): readonly string[]
  /** Whether upstreams get the id of the caller's request as it came; otherwise each attempt has an id of its own. */
  readonly forwardsCallerIds: boolean
  /** Lower-case names of callers' headers that the daemon replaces. */
  readonly keptFromUpstreams: ReadonlySet<string>
  /** Lower-case names of upstreams' headers that are meant for the daemon. */
  readonly keptFromCallers: ReadonlySet<string>
  /** Headers of a load probe. */
  probeHeaders (upstreamId: string): readonly string[]
  /** Value of `Retry-After`. */
  retryAfter (waitMs: Milliseconds): string
  /** Whether a response without a length is whole when its connection closes in order. */
  readonly acceptsUnframed: boolean
}
