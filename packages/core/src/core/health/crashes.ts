import type { Milliseconds } from '../../types/clock.js'
import type { AttemptState } from '../dispatch/callState.js'

/**
 * Takes note of an attempt that ended by a crash of its upstream. Returns true for the first attempt of a crash: all
 * attempts in flight there end by the same crash, which is one failure of the upstream, however many it took along.
 */
export function noteCrash (attempt: AttemptState, now: Milliseconds): boolean {
  const { state } = attempt
  if (attempt.startedAt <= state.crashedAt) return false
  state.crashedAt = now
  state.isCrashExplained = attempt.isSuspect
  for (const other of state.running) {
    if (other.isSuspect) state.isCrashExplained = true
  }
  return true
}

/** Whether the attempt's request may have caused the crash. One that crashed an upstream before clears those beside it. */
export function isCandidate (attempt: AttemptState): boolean {
  return attempt.isSuspect || !attempt.state.isCrashExplained
}
