import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { ResultCodeName } from '@cowsliplead/core/types/resultCode.js'

/** The start of a response. */
export interface ResponseHead {
  readonly status: number
  /** Name, value, name, value. */
  readonly rawHeaders: readonly string[]
  /** False where the close of the connection alone marks the end of the body; it is then passed on in the same way. */
  readonly isFramed: boolean
}

/** What becomes of a long response: discarded, or streamed and paused or not for now. */
export type StreamDecision = 'discard' | 'paused' | 'flowing'

/** What a refusal says beside its code. */
export interface RefusalOptions {
  /** Replaces the status that belongs to the code. */
  readonly status?: number
  /** Time after which the caller may come back. */
  readonly retryAfterMs?: Milliseconds
}

/** Where the outcome of a call goes. */
export interface ResponseSink {
  /** A complete response. */
  deliver (head: ResponseHead, body: readonly Buffer[]): void
  /** The first part of a long response; `resume` continues after a pause. */
  startStream (head: ResponseHead, chunks: readonly Buffer[], resume: () => void): StreamDecision
  /** More of a long response; false asks for a pause. */
  write (chunk: Buffer): boolean
  /** A long response is complete. */
  endStream (): void
  /** A long response was cut: what was passed on must not look complete. */
  breakStream (): void
  /** There is no response. */
  refuse (code: ResultCodeName, detail: string, options?: RefusalOptions): void
}
