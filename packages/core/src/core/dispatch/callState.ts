import type { Milliseconds } from '../../types/clock.js'
import type { Attempt, Call } from '../../types/dispatch.js'
import type { ResultCodeName } from '../../types/resultCode.js'
import type { Timer } from '../../utils/timerQueue.js'
import type { RunningAttempt } from '../health/runningAttempt.js'
import type { UpstreamState } from '../health/upstreamState.js'

/** Phase of a call: `probing` calls wait for load probes, `parked` calls wait for the trial of a suspect request. */
export type CallPhase = 'new' | 'queued' | 'probing' | 'awaitingRetry' | 'parked' | 'running' | 'finished'

/** Dispatch state of a call that is not finished. */
export interface CallState {
  readonly call: Call
  phase: CallPhase
  queuedAt: Milliseconds
  deadlineTimer: Timer | undefined
  /** Fires at the latest time at which a waiting call could start and still finish in time. */
  waitTimer: Timer | undefined
  /** Attempts in progress. */
  readonly running: AttemptState[]
  /** Attempts started so far. */
  attemptCount: number
  /** Attempt whose response goes to the caller; the responses of all others are discarded. */
  respondingAttemptId: number | undefined
  /** True once an upstream may have run the request. */
  mayHaveRun: boolean
  lastResultCode: ResultCodeName | undefined
  readonly triedUpstreams: Set<string>
  readonly triedDomains: Set<string>
  /** Set after a stall: further attempts need a proven connection, see `Attempt.provenConnection`. */
  needsProvenConnection: boolean
  /** When load probes were last requested for this call. */
  probedAt: Milliseconds
}

/** State of an attempt in progress. */
export interface AttemptState extends RunningAttempt {
  readonly attempt: Attempt
  readonly callState: CallState
  readonly upstreamState: UpstreamState
  /** Wait for a slot at the upstream, as predicted when the attempt started. */
  readonly predictedWaitMs: Milliseconds
  /** The same prediction with full trust in the load report. */
  readonly reportedWaitMs: Milliseconds
  lastProgressAt: Milliseconds
  /** Set once it has stalled beside another attempt, until it makes progress. */
  hasStalled: boolean
  timer: Timer | undefined
  /** The upstream is ejected and this attempt tests whether it has recovered. */
  readonly isTrial: boolean
  /** Set once `onAttemptResponding` returned `discard`; it must not be delivered afterwards. */
  isDiscarded: boolean
}

export function recordProgress (attempt: AttemptState, now: Milliseconds): void {
  attempt.lastProgressAt = now
  attempt.hasStalled = false
}

export function createCallState (call: Call): CallState {
  return {
    call,
    phase: 'new',
    queuedAt: 0,
    deadlineTimer: undefined,
    waitTimer: undefined,
    running: [],
    attemptCount: 0,
    respondingAttemptId: undefined,
    mayHaveRun: false,
    lastResultCode: undefined,
    triedUpstreams: new Set(),
    triedDomains: new Set(),
    needsProvenConnection: false,
    probedAt: -Infinity
  }
}
