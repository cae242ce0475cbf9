import type { IncomingHttpHeaders } from 'node:http'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { LoadReport, RateNotice } from '@cowsliplead/core/types/upstream.js'

/** What an attempt conveys to its upstream in headers. */
export interface AttemptMetadata {
  /** Id of the caller's request. */
  readonly requestId: string
  /** Number of the attempt within the request, starting at 1. */
  readonly attemptNumber: number
  readonly upstreamId: string
  /** Absolute, on the clock of `now`. */
  readonly deadlineAt: Milliseconds
  readonly now: Milliseconds
}

/** Headers of one attempt, and the id that its response must echo. */
export interface AttemptHeaders {
  /** Alternating names and values. */
  readonly headers: readonly string[]
  readonly echoedId: string
}

/** What the head of an upstream's response conveys to the daemon. */
export interface ResponseMetadata {
  /** The echoed id; undefined if there is none. */
  readonly echoedId: string | undefined
  /** The upstream states that it did not run the request. */
  readonly notRun: boolean
  /** A different upstream answers at this address. */
  readonly isFromOtherUpstream: boolean
  /** A signature is missing that upstreams add to such a response; the response is not one that they gave. */
  readonly isUnsigned: boolean
  /** Whether callers take the status for a promise that the request has not run, which the upstream does not state. */
  readonly isUnfoundedPromise: boolean
  readonly report: LoadReport | undefined
  /** Undefined if what the response says about the upstream's request rate cannot be used. */
  readonly rateNotice: RateNotice | undefined
  /** How long the upstream keeps the connection open while it is idle; undefined if not announced. */
  readonly idleTimeoutMs: Milliseconds | undefined
  /** The upstream is leaving and takes no new work. */
  readonly isLeaving: boolean
  /** How long the upstream, which has turned the request away, takes nothing from this VM; undefined if it does not say. */
  readonly retryAfterMs: Milliseconds | undefined
  /** How long the upstream stays cold; undefined if it does not say. */
  readonly warmupLeftMs: Milliseconds | undefined
}

/** The headers by which callers, daemons and upstreams exchange ids, deadlines and load. */
export interface Dialect {
  /** The id that a caller gave its request. */
  callerRequestId (headers: IncomingHttpHeaders): string | undefined
  /** Remaining time that the caller waits; undefined if the request does not specify it. */
  timeLeftMs (headers: IncomingHttpHeaders): Milliseconds | undefined
  /** The key by which a request identifies its customer; undefined if it has none. */
  credential (headers: IncomingHttpHeaders): string | undefined
  /** Headers that tell an upstream the customer of a request. */
  customerHeaders (name: string): readonly string[]
  /** Lower-case names of request headers that are not forwarded where the configuration has customers. */
  readonly credentialHeaders: ReadonlySet<string>
  /** Headers that tell another VM how long the caller still waits. */
  timeLeftHeaders (timeLeftMs: Milliseconds): readonly string[]
  attemptHeaders (metadata: AttemptMetadata): AttemptHeaders
  readResponseMetadata (status: number, rawHeaders: readonly string[], now: Milliseconds): ResponseMetadata
  /** Headers added to each response to a caller, both to an upstream's and to those that the daemon generates. */
  addedResponseHeaders (requestId: string): readonly string[]
  /** Whether the id of the caller's request is forwarded unchanged; otherwise each attempt has its own id. */
  readonly forwardsCallerIds: boolean
  /** Lower-case names of request headers that are not forwarded, because the daemon replaces them. */
  readonly strippedRequestHeaders: ReadonlySet<string>
  /** Lower-case names of response headers that are not forwarded, because they are meant for the daemon. */
  readonly strippedResponseHeaders: ReadonlySet<string>
  /** Headers of a load probe. */
  probeHeaders (upstreamId: string): readonly string[]
  /** Value of `Retry-After`. */
  retryAfter (waitMs: Milliseconds): string
  /** Whether a response without a length is complete when its connection closes in an orderly way. */
  readonly acceptsCloseDelimited: boolean
}
