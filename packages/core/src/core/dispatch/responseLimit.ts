import type { Milliseconds } from '../../types/clock.js'
import type { CallState } from './callState.js'

/**
 * How long a response that makes progress may go on beyond the time limit of its kind: enough for what is on its way, and too
 * short for its caller to notice.
 */
const PROGRESS_GRACE_MS: Milliseconds = 200

/**
 * When the response of a call must have ended, as seen at `now`; `now` if none has begun. A response that has begun has until
 * the time limit of its kind, also if the caller has said that it waits less long: the caller then ends it itself.
 */
export function latestResponseEndAt ({ call, running, respondingAttemptId }: CallState, now: Milliseconds): Milliseconds {
  const responding = running.find(({ attempt }) => attempt.id === respondingAttemptId)
  if (responding === undefined) return now
  const limitAt = call.arrivedAt + call.kind.deadlineMs
  const isSilent = now - responding.lastProgressAt >= PROGRESS_GRACE_MS
  return isSilent ? limitAt : limitAt + PROGRESS_GRACE_MS
}
