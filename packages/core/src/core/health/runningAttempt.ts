import type { Milliseconds } from '../../types/clock.js'

/** What an upstream's state keeps of an attempt under way there. */
export interface RunningAttempt {
  readonly startedAt: Milliseconds
  /** The request was already suspected of crashing upstreams when the attempt started. */
  readonly isSuspect: boolean
}
