import type { BytesRefusal } from './connectionObserver.js'
import type { ParsedHead } from './responseParser.js'

/**
 * Why an exchange failed. `unsent`: no byte of the request was sent. `invalid`: the bytes received are not a valid
 * response. `closed`: the connection ended, was reset or timed out.
 */
export type ExchangeFailure = 'unsent' | 'invalid' | 'closed'

/** Receives the events of one exchange; none follows `onComplete` or `onFailure`. */
export interface ExchangeHandler {
  /** The first bytes of the request were written to the socket. */
  onSent (): void
  /** A chunk of a streamed body was written to the socket. */
  onBodySent (): void
  /** Returns `skip` if the response belongs to another request; the exchange then waits for the next response. */
  onHead (head: ParsedHead): 'accept' | 'skip'
  /** Returns false to pause reading until `resume`. */
  onData (chunk: Buffer): boolean
  onComplete (): void
  /** `refusal` tells why an invalid response is invalid. */
  onFailure (failure: ExchangeFailure, refusal?: BytesRefusal): void
}
