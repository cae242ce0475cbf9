import type { Milliseconds } from '../../types/clock.js'
import type { Attempt, Call } from '../../types/dispatch.js'
import type { ResultCodeName } from '../../types/resultCode.js'
import type { Timer } from '../../utils/timerQueue.js'
import type { RunningAttempt } from '../health/runningAttempt.js'
import type { UpstreamState } from '../health/upstreamState.js'

/** Where a call is: `probing` calls wait for load probes, `parked` calls wait for the trial of a suspect request. */
export type CallPlace = 'new' | 'queued' | 'probing' | 'awaitingRetry' | 'parked' | 'running' | 'finished'

/** A call that is not finished. */
export interface CallState {
  readonly call: Call
  place: CallPlace
  queuedAt: Milliseconds
  deadlineTimer: Timer | undefined
  startTimer: Timer | undefined
  readonly running: AttemptState[]
  started: number
  /** Set once an attempt may deliver; no other attempt may from then on. */
  respondingId: number | undefined
  /** True once an attempt may have reached an upstream. */
  mayHaveRun: boolean
  lastCode: ResultCodeName | undefined
  readonly triedUpstreams: Set<string>
  readonly triedDomains: Set<string>
  /** Set after a stall: the next attempt needs a proven connection. */
  needsProvenConnection: boolean
  /** When probes were last sent for this call. */
  probedAt: Milliseconds
}

/** An attempt under way. */
export interface AttemptState extends RunningAttempt {
  readonly attempt: Attempt
  readonly owner: CallState
  readonly state: UpstreamState
  /** Wait for a slot that was predicted at the start. */
  readonly predictedWaitMs: Milliseconds
  /** The same if the report is taken at its word. */
  readonly reportedWaitMs: Milliseconds
  progressAt: Milliseconds
  timer: Timer | undefined
  readonly isTrial: boolean
  /** Set once the host was told to discard the response; it must not be delivered afterwards. */
  isDiscarded: boolean
}

export function createCallState (call: Call): CallState {
  return {
    call,
    place: 'new',
    queuedAt: 0,
    deadlineTimer: undefined,
    startTimer: undefined,
    running: [],
    started: 0,
    respondingId: undefined,
    mayHaveRun: false,
    lastCode: undefined,
    triedUpstreams: new Set(),
    triedDomains: new Set(),
    needsProvenConnection: false,
    probedAt: -Infinity
  }
}
