import type { CallResult, CancelReason } from '../../types/dispatch.js'
import type { AttemptState, CallState } from './callState.js'

/** What the watch of attempts may ask of the engine. */
export interface AttemptControl {
  mayRetry (state: CallState): boolean
  /** Returns whether a hedge started. */
  startHedge (state: CallState): boolean
  /** Returns whether an attempt started in place of one that stalled. */
  startReplacement (state: CallState): boolean
  cancelAttempt (attempt: AttemptState, reason: CancelReason): void
  finish (state: CallState, result: CallResult): void
}
