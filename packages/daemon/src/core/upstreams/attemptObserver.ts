import type { AttemptEnd } from '@cowsliplead/core/types/dispatch.js'
import type { RateNotice, ResponseSignals } from '@cowsliplead/core/types/upstream.js'
import type { ResponseHead, StreamDecision } from '../../types/responseSink.js'

/** Receives the events of an attempt. */
export interface AttemptObserver<Attempt> {
  /** The head of the response says how many requests a second the upstream takes. */
  onRateNotice (attempt: Attempt, notice: RateNotice): void
  /** The head of the response says that the upstream is leaving or asks for a pause. */
  onSignals (attempt: Attempt, signals: ResponseSignals): void
  /** The head of a response has arrived, whatever it says. */
  onResponse (attempt: Attempt, isNewConnection: boolean): void
  /** Bytes were sent or received, which restarts stall detection. */
  onProgress (attempt: Attempt): void
  /** The response is too long to be buffered; `chunks` are those received so far. */
  onStream (attempt: Attempt, head: ResponseHead, chunks: readonly Buffer[]): StreamDecision
  /** The next chunk of a streamed response; returning false pauses reading until `resume`. */
  onChunk (attempt: Attempt, chunk: Buffer): boolean
  /** Called exactly once. A complete response that was not streamed is in `bufferedResponse`. */
  onEnd (attempt: Attempt, end: AttemptEnd): void
}
