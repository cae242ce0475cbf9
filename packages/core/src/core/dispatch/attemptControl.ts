import type { CallResult, CancelReason } from '../../types/dispatch.js'
import type { AttemptState, CallState } from './callState.js'

/** Operations of the call engine that `AttemptMonitor` uses. */
export interface AttemptControl {
  mayRetry (state: CallState): boolean
  /** Starts a hedge if possible. Returns whether it started. */
  startHedge (state: CallState): boolean
  /** Starts an attempt in place of a stalled one if possible. Returns whether it started. */
  startReplacement (state: CallState): boolean
  cancelAttempt (attempt: AttemptState, reason: CancelReason): void
  finish (state: CallState, result: CallResult): void
}
