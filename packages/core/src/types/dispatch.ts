import type { Milliseconds } from './clock.js'
import type { RequestKind } from './requestKind.js'
import type { ResultCodeName } from './resultCode.js'
import type { SuspectMark } from './suspectMark.js'
import type { LoadReport } from './upstream.js'

/** A request from a caller, as the dispatcher sees it. */
export interface Call {
  readonly id: number
  readonly kind: RequestKind
  /** Name of the customer; undefined if requests need no key. */
  readonly customer?: string | undefined
  readonly arrivedAt: Milliseconds
  /** Absolute time, at most `arrivedAt` plus the kind's `deadlineMs`. */
  readonly deadlineAt: Milliseconds
  /** Absolute time after which a response is of little use; defaults to `deadlineAt`. */
  readonly targetAt?: Milliseconds | undefined
  /** Identifies requests that are equal to an upstream: method, path, and the idempotency key or a hash of the body. */
  readonly fingerprint: string
  /** False if the body cannot be sent again, for example because it was streamed without being buffered. */
  readonly replayable: boolean
}

/** One attempt to run a call on one upstream. */
export interface Attempt {
  readonly id: number
  readonly callId: number
  readonly upstreamId: string
  /** Absolute time; upstreams refuse to run an attempt that arrives later. */
  readonly deadlineAt: Milliseconds
  /** Restricts the attempt to a new connection or one that recently carried a response, see `provenConnectionMs`. */
  readonly provenConnection: boolean
  readonly purpose: AttemptPurpose
  /** State of the upstream at selection time; logged, and used to normalise the measured latency. */
  readonly selection: SelectionSnapshot
}

/** Load and expected latency of an upstream at the time it was selected. */
export interface SelectionSnapshot {
  /** Age of the latest load report; undefined if none has arrived. */
  readonly reportAgeMs: Milliseconds | undefined
  readonly reportedInFlight: number | undefined
  readonly reportedQueued: number | undefined
  /** Current service time of the upstream relative to its usual one. */
  readonly relativeTime: number
  /** Attempts of this VM in progress at the upstream. */
  readonly ownInFlight: number
  readonly expectedMs: Milliseconds
  /** Calls of the service that are waiting in this VM. */
  readonly waitingCalls: number
  /** Requests per second that the upstream takes from all VMs together; undefined if it names no limit. */
  readonly requestsPerSecond: number | undefined
  /** This VM's share of them. */
  readonly ownRequestsPerSecond: number | undefined
  /** Upstreams to which their request rates allowed no request at that time; undefined if there were none. */
  readonly rateHeldUpstreams: number | undefined
}

/** Why an attempt was started. */
export type AttemptPurpose = 'first' | 'retry' | 'hedge'

/** Why an attempt is cancelled. */
export type CancelReason = 'callerLeft' | 'lostHedge' | 'stalled' | 'deadline' | 'interrupted'

/** How an attempt ended. `notRun` is used only if the request provably did not start. */
export type AttemptEndKind =
  | 'answered'
  | 'notRun'
  | 'failed'
  | 'crossed'
  | 'truncated'
  | 'unsigned'
  | 'crashed'
  | 'cancelled'

/** The end of an attempt and what the response carried, if there was one. */
export interface AttemptEnd {
  readonly kind: AttemptEndKind
  /** The upstream responded with a server error (5xx); the response itself is complete. */
  readonly serverError?: boolean
  readonly report?: LoadReport
  /** How long the upstream takes no requests from this VM, as its refusal says. */
  readonly retryAfterMs?: Milliseconds | undefined
  /** Size of a complete response. */
  readonly bytes?: number
}

/** The result of a call, as reported to its caller. */
export type CallResult =
  | { readonly kind: 'delivered', readonly attemptId: number }
  | { readonly kind: 'notRun', readonly code: ResultCodeName, readonly retryAfterMs?: Milliseconds }
  | { readonly kind: 'outcomeUnknown', readonly code: ResultCodeName }
  | { readonly kind: 'cancelled' }

/** State of the service when a call ended without a response, for the log. */
export interface ResultDiagnostics {
  /** Attempts started for the call. */
  readonly attempts: number
  /** Retries and hedges that the retry budget allows at present. */
  readonly savedRetries: number
  /** Expected queueing time of a new call of the same kind. */
  readonly expectedWaitMs: Milliseconds
  /** Upstreams that this VM uses. */
  readonly upstreams: number
  /** Upstreams in use that accept new work now. */
  readonly openUpstreams: number
  /** Open upstreams whose latest report, however old, shows a free slot. */
  readonly freeUpstreams: number
  /** Upstreams to which their request rates allow no request now. */
  readonly rateHeldUpstreams: number
  /** Open upstreams whose latest report is recent enough to be used without a probe. */
  readonly freshReports: number
  /** Expected wait on which the call was refused; undefined if it was not refused for that. */
  readonly estimatedWaitMs?: Milliseconds | undefined
  /** Time left at the refusal until the latest start with which the call would have been in time. */
  readonly latestStartInMs?: Milliseconds | undefined
  /** Waiting calls that would have started before it. */
  readonly callsBefore?: number | undefined
  /** Share of the upstreams that was reserved for more urgent calls; undefined if none was. */
  readonly reservedShare?: number | undefined
}

/** A request rate that an upstream has named, changed or withdrawn. */
export interface RateLimitChange {
  readonly upstreamId: string
  /** Requests per second that it takes from all VMs together; undefined if it names no limit any more. */
  readonly requestsPerSecond: number | undefined
  /** The limit before; undefined if there was none. */
  readonly previous: number | undefined
  /** Requests per second that this VM may send; undefined without a limit. */
  readonly ownRequestsPerSecond: number | undefined
  /** Time since the upstream first named a limit. */
  readonly limitedForMs: Milliseconds
  /** Requests that this VM sent it in that time. */
  readonly requests: number
  /** Load probes that this VM sent it in that time. */
  readonly probes: number
}

/** Upstreams begin or cease to be reserved for urgent kinds of request. */
export interface ReservationChange {
  /** Largest share of the upstreams that a kind leaves to more urgent ones; 0 once none is reserved. */
  readonly reservedShare: number
  /** Calls in the wait queue, by kind. */
  readonly queuedByKind: Readonly<Record<string, number>>
}

/** An upstream is leaving, or asks this VM for a pause. */
export type UpstreamSignal =
  | { readonly kind: 'leaving', readonly upstreamId: string, readonly incarnation: number | undefined }
  | { readonly kind: 'paused', readonly upstreamId: string, readonly retryAfterMs: Milliseconds, readonly inFlight: number, readonly pausedUpstreams: number }

/** Implemented by the dispatcher's host, which carries out attempts and returns results to callers. */
export interface DispatchPort {
  startAttempt (attempt: Attempt): void
  cancelAttempt (attemptId: number, reason: CancelReason): void
  /** An attempt has stalled. It goes on, but the network may have dropped its connection and others like it. */
  onStall? (attemptId: number): void
  /** `diagnostics` is set if the call ends without a response while its caller is still waiting. */
  finishCall (callId: number, result: CallResult, diagnostics?: ResultDiagnostics): void
  /**
   * Requests a dedicated load probe, completed by `Dispatcher.onProbeReport` or `onProbeFailed`. Optional: most pickers
   * send none.
   */
  sendProbe? (upstreamId: string): void
  /**
   * Publishes marks of suspect requests as soon as they are made, for `importSuspects` on every VM: callers repeat a
   * crashing request within milliseconds and through other VMs.
   */
  shareSuspects? (marks: readonly SuspectMark[]): void
  /** Notified when an upstream names, changes or withdraws a request rate. */
  onRateLimit? (change: RateLimitChange): void
  /** Notified when upstreams begin or cease to be reserved for urgent kinds. */
  onReservation? (change: ReservationChange): void
  /** Notified when an upstream first says that it is leaving, and when a pause begins. */
  onUpstreamSignal? (signal: UpstreamSignal): void
}
