import type { Readable } from 'node:stream'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { ResponseHead } from './responseSink.js'

/** The request that an attempt sends to its upstream. */
export interface AttemptRequest {
  readonly method: string
  readonly path: string
  readonly headers: readonly string[]
  readonly body: Buffer | Readable | null
  /** The id that the response must echo. */
  readonly echoedId: string
  /** Whether the request may be sent again to another upstream. */
  readonly isRetryable: boolean
  /** Whether a response of this length is buffered, although it is longer than usual. */
  readonly tryHold: (bytes: number) => boolean
}

/** A complete response in memory. */
export interface BufferedResponse {
  readonly head: ResponseHead
  readonly body: readonly Buffer[]
}

/** What the log says of an attempt, besides its end. */
export interface AttemptDescription {
  /** Status of the response; undefined if none arrived. */
  readonly upstreamStatus: number | undefined
  /** Number of the connection among those to the upstream, and its age. */
  readonly connection: number
  readonly connectionAgeMs: Milliseconds
  /** Responses that the connection had carried before. */
  readonly earlierResponses: number
  /** Responses to other requests that came first, and the status of the last one; undefined if there were none. */
  readonly skipped: number | undefined
  readonly skippedStatus: number | undefined
}
