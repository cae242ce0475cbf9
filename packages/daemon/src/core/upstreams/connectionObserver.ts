import type { InvalidReason } from './responseValidation.js'

/**
 * Why a connection to an upstream was closed for the bytes that arrived on it. `bytesWhileIdle`: bytes without a request;
 * `bytesAfterResponse`: bytes beyond the end of a response; `strayResponse`: a response to another request came before the
 * expected one; `strayTooLong`: that response did not end. The others: the bytes were no valid response.
 */
export type BytesRefusal = 'bytesWhileIdle' | 'bytesAfterResponse' | 'strayResponse' | 'strayTooLong' | InvalidReason

/** Notified of bytes that belong to no request. */
export interface ConnectionObserver {
  /** A response to another request was skipped. */
  onStrayResponse (): void
  /** A connection is closed for the bytes that arrived on it. */
  onBytesRefused (reason: BytesRefusal): void
}
