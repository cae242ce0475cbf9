import type { Attempt, AttemptEnd, CallResult, CancelReason, RateLimitChange, ReservationChange, ResultDiagnostics, UpstreamSignal } from '@cowsliplead/core/types/dispatch.js'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { ActiveCall } from '../callers/activeCall.js'
import type { ActiveAttempt } from './activeAttempt.js'

/** How a call ended. */
export interface CallEnd {
  readonly result: CallResult
  readonly tookMs: Milliseconds
  /** Calls of the service that wait for an upstream then. */
  readonly waitingCalls: number
  readonly diagnostics: ResultDiagnostics | undefined
  /** The attempt whose response the caller got; undefined if it got none of an upstream. */
  readonly attempt: ActiveAttempt | undefined
}

/** Receives the events of a service's calls. */
export interface CallObserver {
  onAttempt (call: ActiveCall, attempt: Attempt): void
  onAttemptEnd (call: ActiveCall, attempt: ActiveAttempt, end: AttemptEnd, tookMs: Milliseconds): void
  onCancel (call: ActiveCall, attempt: ActiveAttempt, reason: CancelReason, tookMs: Milliseconds): void
  /** Called when the response to the caller, or the end of a streamed one, has been written. */
  onResult (call: ActiveCall, end: CallEnd): void
  /** The number of registered upstreams of the service, or of those that this VM uses, has changed. */
  onUpstreams (registered: number, used: number): void
  /** An upstream has named, changed or withdrawn a request rate. */
  onRateLimit (change: RateLimitChange): void
  /** Upstreams begin or cease to be reserved for urgent kinds. */
  onReservation (change: ReservationChange): void
  /** An upstream is leaving or asks for a pause. */
  onUpstreamSignal (signal: UpstreamSignal): void
}
