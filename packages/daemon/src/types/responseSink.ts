import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { ResultCodeName } from '@cowsliplead/core/types/resultCode.js'

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number
  /** Alternating names and values. */
  readonly rawHeaders: readonly string[]
  /** False if only the close of the connection ends the body. */
  readonly isFramed: boolean
}

/** What happens to a long response: it is discarded, or streamed with reading paused or flowing. */
export type StreamDecision = 'discard' | 'paused' | 'flowing'

/** Optional parts of an error response. */
export interface ErrorResponseOptions {
  /** Overrides the status that belongs to the result code. */
  readonly status?: number
  /** Time after which the caller may retry. */
  readonly retryAfterMs?: Milliseconds | undefined
}

/** Receives the outcome of a call. */
export interface ResponseSink {
  /** The status that was written for the caller; undefined if none was. */
  readonly sentStatus: number | undefined
  /** Sends a complete response; its body is delimited for the caller as it was by the upstream. */
  deliver (head: ResponseHead, body: readonly Buffer[]): void
  /** Sends the first part of a long response; the sink calls `resume` to continue after a pause. */
  startStream (head: ResponseHead, chunks: readonly Buffer[], resume: () => void): StreamDecision
  /** Sends the next part of a long response; returns false to request a pause. */
  write (chunk: Buffer): boolean
  /** Ends a long response. */
  endStream (): void
  /** Aborts a truncated long response, so that what was sent does not look complete. */
  abortStream (): void
  /** Whether a response of this length is held until it is complete, because others of the connection depend on it. */
  tryHold (bytes: number): boolean
  /** Sends an error response with a result code. */
  sendError (code: ResultCodeName, detail: string, options?: ErrorResponseOptions): void
}
