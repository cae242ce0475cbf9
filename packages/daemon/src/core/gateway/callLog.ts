import type { Histogram } from 'prom-client'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Attempt, SelectionSnapshot, AttemptEnd, CancelReason, RateLimitChange, ReservationChange, ResultDiagnostics, UpstreamSignal } from '@cowsliplead/core/types/dispatch.js'
import type { ActiveAttempt } from '../upstreams/activeAttempt.js'
import type { ActiveCall } from '../callers/activeCall.js'
import type { CallEnd, CallObserver } from '../upstreams/callObserver.js'
import type { EventLog } from './eventLog.js'

/** Logs the routing decisions and the result of each request of one service, and records latencies. */
export class CallLog implements CallObserver {
  private constructor (
    private readonly service: string,
    private readonly eventLog: EventLog,
    private readonly latencyHistogram: Histogram<'service' | 'result'>
  ) {}

  static create (service: string, eventLog: EventLog, latencyHistogram: Histogram<'service' | 'result'>): CallLog {
    return new CallLog(service, eventLog, latencyHistogram)
  }

  onAttempt (call: ActiveCall, { id, upstreamId, purpose, deadlineAt, selection }: Attempt): void {
    const { kind, arrivedAt, customer } = call.call
    this.eventLog.logRequest('attempt', () => ({
      request: call.requestId, service: this.service, route: kind.name, customer, attempt: id, upstream: upstreamId, purpose,
      timeLimitMs: roundToTenth(deadlineAt - arrivedAt), ...roundFields(selection)
    }))
  }

  onAttemptEnd (call: ActiveCall, attempt: ActiveAttempt, { kind, report, serverError }: AttemptEnd, tookMs: Milliseconds): void {
    // The "result" line of a normal response already contains this information.
    if (kind === 'answered' && serverError !== true) return
    this.eventLog.logRequest('attempt ended', () => ({
      request: call.requestId, service: this.service, attempt: attempt.attemptId, end: kind, serverError, tookMs: roundToTenth(tookMs),
      reason: attempt.refusal, reportedInFlight: report?.inFlight, reportedQueued: report?.queued, ...attempt.describe()
    }))
  }

  onCancel (call: ActiveCall, attempt: ActiveAttempt, reason: CancelReason, tookMs: Milliseconds): void {
    this.eventLog.logRequest('attempt cancelled', () => ({
      request: call.requestId, service: this.service, attempt: attempt.attemptId, reason, tookMs: roundToTenth(tookMs)
    }))
  }

  onUpstreams (registered: number, used: number): void {
    this.eventLog.logger.info('upstreams in use', { service: this.service, registered, used })
  }

  onRateLimit ({ upstreamId, limitedForMs, ...change }: RateLimitChange): void {
    const message = change.requestsPerSecond === undefined ? 'upstream withdraws its request rate' : 'upstream names a request rate'
    this.eventLog.logger.info(message, { service: this.service, upstream: upstreamId, limitedForMs: Math.round(limitedForMs), ...change })
  }

  onReservation ({ reservedShare, queuedByKind }: ReservationChange): void {
    const message = reservedShare > 0 ? 'upstreams reserved for urgent routes' : 'no upstreams reserved any more'
    this.eventLog.logger.info(message, { service: this.service, reservedShare: Math.round(reservedShare * 100) / 100, queued: queuedByKind })
  }

  onUpstreamSignal ({ kind, upstreamId, ...fields }: UpstreamSignal): void {
    const message = kind === 'leaving' ? 'upstream says that it is leaving' : 'upstream asks for a pause'
    this.eventLog.logger.info(message, { service: this.service, upstream: upstreamId, ...fields })
  }

  onResult (call: ActiveCall, { result, tookMs, waitingCalls, diagnostics, attempt }: CallEnd): void {
    this.latencyHistogram.observe({ service: this.service, result: result.kind }, tookMs / 1000)
    this.eventLog.logRequest('result', () => ({
      request: call.requestId, service: this.service, route: call.call.kind.name, customer: call.call.customer, outcome: 'code' in result ? result.code : result.kind, tookMs: roundToTenth(tookMs), waitingCalls,
      attempt: result.kind === 'delivered' ? result.attemptId : undefined,
      retryAfterMs: 'retryAfterMs' in result ? roundToTenth(result.retryAfterMs ?? 0) : undefined,
      status: call.sink.sentStatus,
      ...attempt?.describe(),
      ...(diagnostics === undefined ? {} : roundFields(diagnostics))
    }))
  }
}

function roundToTenth (value: number): number {
  return Math.round(value * 10) / 10
}

function roundFields (numbers: SelectionSnapshot | ResultDiagnostics): Record<string, number | undefined> {
  const entries = Object.entries(numbers) as Array<[string, number | undefined]>
  return Object.fromEntries(entries.map(([name, value]) => [name, value === undefined ? undefined : roundToTenth(value)]))
}
