import type { AttemptEnd } from '@cowsliplead/core/types/dispatch.js'
import type { RateNotice, ResponseSignals } from '@cowsliplead/core/types/upstream.js'
import type { ResponseHead, StreamDecision } from '../../types/responseSink.js'
import type { ActiveAttempt } from './activeAttempt.js'

/** Receives the events of an attempt. */
export interface AttemptObserver {
  /** The head of the response says how many requests a second the upstream takes. */
  onRateNotice (attempt: ActiveAttempt, notice: RateNotice): void
  /** The head of the response says that the upstream is leaving or asks for a pause. */
  onSignals (attempt: ActiveAttempt, signals: ResponseSignals): void
  /** The head of a response has arrived, whatever it says. */
  onResponse (attempt: ActiveAttempt, isNewConnection: boolean): void
  /** Bytes were sent or received, which restarts stall detection. */
  onProgress (attempt: ActiveAttempt): void
  /** The response is too long to be buffered; `chunks` are those received so far. */
  onStream (attempt: ActiveAttempt, head: ResponseHead, chunks: readonly Buffer[]): StreamDecision
  /** The next chunk of a streamed response; returning false pauses reading until `resume`. */
  onChunk (attempt: ActiveAttempt, chunk: Buffer): boolean
  /** Called exactly once. A complete response that was not streamed is in `bufferedResponse`. */
  onEnd (attempt: ActiveAttempt, end: AttemptEnd): void
}
