import type { Milliseconds } from '../../types/clock.js'
import type { AttemptState } from '../dispatch/callState.js'

/**
 * Records that an attempt ended with a crash of its upstream. Returns true for the first attempt of a crash: all
 * attempts in flight there end with the same crash, which counts as one failure of the upstream.
 */
export function recordCrash (attempt: AttemptState, now: Milliseconds): boolean {
  const { upstreamState } = attempt
  if (attempt.startedAt <= upstreamState.crashedAt) return false
  upstreamState.crashedAt = now
  upstreamState.isCrashAttributed = attempt.isSuspect
  for (const other of upstreamState.runningAttempts) {
    if (other.isSuspect) upstreamState.isCrashAttributed = true
  }
  return true
}

/**
 * Whether the attempt's request may have caused the crash. If a request that was already suspect was in flight too, the
 * crash is attributed to that one.
 */
export function mayHaveCausedCrash (attempt: AttemptState): boolean {
  return attempt.isSuspect || !attempt.upstreamState.isCrashAttributed
}
