import type { Histogram } from 'prom-client'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Attempt, AttemptBasis, AttemptEnd, CallResult, CancelReason, ResultBasis } from '@cowsliplead/core/types/dispatch.js'
import type { AttemptRun } from '../upstreams/attemptRun.js'
import type { CallRun } from '../callers/callRun.js'
import type { CallObserver } from '../upstreams/serviceHost.js'
import type { EventLog } from './eventLog.js'

/** Writes one line for each decision that touches a request, and observes latencies. */
export class CallLog implements CallObserver {
  private constructor (
    private readonly service: string,
    private readonly log: EventLog,
    private readonly latencies: Histogram<'service' | 'result'>
  ) {}

  static create (service: string, log: EventLog, latencies: Histogram<'service' | 'result'>): CallLog {
    return new CallLog(service, log, latencies)
  }

  onAttempt (call: CallRun, { id, upstreamId, purpose, deadlineAt, basis }: Attempt): void {
    const { kind, arrivedAt } = call.call
    this.log.request('attempt', {
      request: call.requestId, service: this.service, route: kind.name, attempt: id, upstream: upstreamId, purpose,
      timeLimitMs: round(deadlineAt - arrivedAt), ...roundAll(basis)
    })
  }

  onAttemptEnd (call: CallRun, run: AttemptRun, { kind, report, serverError }: AttemptEnd, tookMs: Milliseconds): void {
    // The result line of an ordinary answer says all that this one would.
    if (kind === 'answered' && serverError !== true) return
    this.log.request('attempt ended', {
      request: call.requestId, service: this.service, attempt: run.attemptId, end: kind, serverError, tookMs: round(tookMs),
      reportedInFlight: report?.inFlight, reportedQueued: report?.queued
    })
  }

  onCancel (call: CallRun, run: AttemptRun, reason: CancelReason, tookMs: Milliseconds): void {
    this.log.request('attempt cancelled', {
      request: call.requestId, service: this.service, attempt: run.attemptId, reason, tookMs: round(tookMs)
    })
  }

  onUpstreams (registered: number, used: number): void {
    this.log.journal.info('upstreams in use', { service: this.service, registered, used })
  }

  onResult (call: CallRun, result: CallResult, tookMs: Milliseconds, waitingCalls: number, basis?: ResultBasis): void {
    const outcome = 'code' in result ? result.code : result.kind
    this.latencies.observe({ service: this.service, result: result.kind }, tookMs / 1000)
    this.log.request('result', {
      request: call.requestId, service: this.service, route: call.call.kind.name, outcome, tookMs: round(tookMs), waitingCalls,
      attempt: result.kind === 'delivered' ? result.attemptId : undefined,
      retryAfterMs: 'retryAfterMs' in result ? round(result.retryAfterMs ?? 0) : undefined,
      ...(basis === undefined ? {} : roundAll(basis))
    })
  }
}

function round (value: number): number {
  return Math.round(value * 10) / 10
}

function roundAll (basis: AttemptBasis | ResultBasis): Record<string, number | undefined> {
  const entries = Object.entries(basis) as Array<[string, number | undefined]>
  return Object.fromEntries(entries.map(([name, value]) => [name, value === undefined ? undefined : round(value)]))
}
