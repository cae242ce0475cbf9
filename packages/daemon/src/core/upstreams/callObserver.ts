import type { Attempt, AttemptEnd, CallResult, CancelReason, RateLimitChange, ReservationChange, ResultDiagnostics, UpstreamSignal } from '@cowsliplead/core/types/dispatch.js'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { ActiveCall } from '../callers/activeCall.js'
import type { ActiveAttempt } from './activeAttempt.js'

/** Receives the events of a service's calls. */
export interface CallObserver {
  onAttempt (call: ActiveCall, attempt: Attempt): void
  onAttemptEnd (call: ActiveCall, attempt: ActiveAttempt, end: AttemptEnd, tookMs: Milliseconds): void
  onCancel (call: ActiveCall, attempt: ActiveAttempt, reason: CancelReason, tookMs: Milliseconds): void
  onResult (call: ActiveCall, result: CallResult, tookMs: Milliseconds, waitingCalls: number, diagnostics?: ResultDiagnostics): void
  /** The number of registered upstreams of the service, or of those that this VM uses, has changed. */
  onUpstreams (registered: number, used: number): void
  /** An upstream has named, changed or withdrawn a request rate. */
  onRateLimit (change: RateLimitChange): void
  /** Upstreams begin or cease to be reserved for urgent kinds. */
  onReservation (change: ReservationChange): void
  /** An upstream is leaving or asks for a pause. */
  onUpstreamSignal (signal: UpstreamSignal): void
}
