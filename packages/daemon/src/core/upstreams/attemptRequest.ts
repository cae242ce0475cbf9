import type { Readable } from 'node:stream'

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
