import type { Milliseconds } from './clock.js'
import type { RequestKind } from './requestKind.js'
import type { ResultCodeName } from './resultCode.js'
import type { SuspectMark } from './suspectMark.js'
import type { LoadReport } from './upstream.js'

/** One call of a caller, as the dispatcher sees it. */
export interface Call {
  readonly id: number
  readonly kind: RequestKind
  readonly arrivedAt: Milliseconds
  /** Absolute; never later than arrival plus the kind's deadline. */
  readonly deadlineAt: Milliseconds
  /** Absolute; an answer after it is of little use. The deadline where absent. */
  readonly targetAt?: Milliseconds | undefined
  /** Identifies requests that are the same to an upstream: method, path and the caller's key or a body hash. */
  readonly fingerprint: string
  /** False once the body can't be sent again, for example when it was streamed without being held. */
  readonly replayable: boolean
}

/** One try of a call at one upstream. */
export interface Attempt {
  readonly id: number
  readonly callId: number
  readonly upstreamId: string
  /** Absolute; upstreams refuse to run an attempt that arrives later. */
  readonly deadlineAt: Milliseconds
  /** True where only a new connection, or one that lately carried an answer, may be used. */
  readonly provenConnection: boolean
  readonly purpose: AttemptPurpose
  /** What the choice of the upstream went by, for the log. */
  readonly basis: AttemptBasis
}

/** What was known of an upstream when it was chosen. */
export interface AttemptBasis {
  /** Age of the newest load report; undefined where there is none. */
  readonly reportAgeMs: Milliseconds | undefined
  readonly reportedInFlight: number | undefined
  readonly reportedQueued: number | undefined
  /** How long work takes there now, relative to its usual time. */
  readonly relativeTime: number
  /** Attempts of this VM under way there. */
  readonly ownInFlight: number
  readonly expectedMs: Milliseconds
  /** Calls of the service that wait in this VM. */
  readonly waitingCalls: number
}

/** Why an attempt was started. */
export type AttemptPurpose = 'first' | 'retry' | 'hedge'

/** Why an attempt is cancelled. */
export type CancelReason = 'callerLeft' | 'lostHedge' | 'stalled' | 'deadline'

/** How an attempt ended. `notRun` is said only where the request provably did not start. */
export type AttemptEndKind =
  | 'answered'
  | 'notRun'
  | 'failed'
  | 'crossed'
  | 'truncated'
  | 'crashed'
  | 'cancelled'

/** The end of an attempt. */
export interface AttemptEnd {
  readonly kind: AttemptEndKind
  /** True where the upstream answered with a server error (5xx); such an answer is whole all the same. */
  readonly serverError?: boolean
  readonly report?: LoadReport
  /** Size of a complete answer. */
  readonly bytes?: number
}

/** What the caller gets. */
export type CallResult =
  | { readonly kind: 'delivered', readonly attemptId: number }
  | { readonly kind: 'notRun', readonly code: ResultCodeName, readonly retryAfterMs?: Milliseconds }
  | { readonly kind: 'outcomeUnknown', readonly code: ResultCodeName }
  | { readonly kind: 'cancelled' }

/** What was known when a call ended without an answer, for the log. */
export interface ResultBasis {
  /** Attempts of the call that were started. */
  readonly attempts: number
  /** Retries and hedges that the budget holds. */
  readonly savedRetries: number
  /** Expected wait of a new call of the kind. */
  readonly expectedWaitMs: Milliseconds
  /** Upstreams that this VM uses. */
  readonly upstreams: number
  /** Those of them that take new work now. */
  readonly openUpstreams: number
  /** Open upstreams whose newest report, whatever its age, leaves a slot free. */
  readonly freeUpstreams: number
  /** Open upstreams whose report is recent enough to be acted on without a probe. */
  readonly freshReports: number
}

/** The host of a dispatcher: it carries attempts out and hands results to callers. */
export interface DispatchPort {
  startAttempt (attempt: Attempt): void
  cancelAttempt (attemptId: number, reason: CancelReason): void
  /** `basis` is there where the call ends without an answer although its caller waits for one. */
  finishCall (callId: number, result: CallResult, basis?: ResultBasis): void
  /** Asks for a dedicated load probe; answered through `Dispatcher.onProbeReport`. Optional: most pickers send none. */
  sendProbe? (upstreamId: string): void
  /**
   * Hands over marks of suspect requests at the instant they are made, for `importSuspects` on every VM. Callers repeat
   * a crashing request within milliseconds and at other VMs.
   */
  shareSuspects? (marks: readonly SuspectMark[]): void
}
