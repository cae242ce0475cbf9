import type { Milliseconds } from '../../types/clock.js'

/** The part of an in-flight attempt that the state of its upstream refers to. */
export interface RunningAttempt {
  readonly startedAt: Milliseconds
  /** Whether the request was already suspected of crashing upstreams when the attempt started. */
  readonly isSuspect: boolean
}
