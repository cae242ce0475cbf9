import type { ServerResponse } from 'node:http'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { RequestKind } from '@cowsliplead/core/types/requestKind.js'
import type { ResultCodeName } from '@cowsliplead/core/types/resultCode.js'
import type { ResponseSink } from '../../types/responseSink.js'
import type { StopPlan } from '../gateway/stopPlan.js'
import type { ServiceForwarder } from '../upstreams/serviceForwarder.js'

/** After this time, a caller that a stopping VM has refused may send its request to another one. */
const STOPPING_RETRY_MS: Milliseconds = 20

/** A request that was not passed on yet. */
export interface UnsubmittedRequest {
  readonly response: ServerResponse
  readonly sink: ResponseSink
  readonly requestId: string
}

/** A request that is about to be passed on. */
export interface StoppableRequest extends UnsubmittedRequest {
  readonly target: { readonly forwarder: ServiceForwarder, readonly kind: RequestKind }
  readonly deadlineAt: Milliseconds
}

/** Options of stop refusals. */
export interface StopRefusalsOptions {
  readonly clock: Clock
  /** Undefined unless the daemon is stopping. */
  readonly stopPlan: () => StopPlan | undefined
  readonly onRefused: (requestId: string, code: ResultCodeName) => void
}

/** Refuses the requests that a stopping VM could not finish and has not passed on. */
export class StopRefusals {
  /** Requests that this VM serves and that were neither answered nor submitted to their service. */
  private readonly unsubmitted = new Map<ServerResponse, UnsubmittedRequest>()

  private constructor (private readonly options: StopRefusalsOptions) {}

  static create (options: StopRefusalsOptions): StopRefusals {
    return new StopRefusals(options)
  }

  /** Remembers a request until it is submitted or answered. */
  track (request: UnsubmittedRequest): void {
    this.unsubmitted.set(request.response, request)
    request.response.once('close', () => this.unsubmitted.delete(request.response))
  }

  onSubmit ({ response }: UnsubmittedRequest): void {
    this.unsubmitted.delete(response)
  }

  /** Refuses a request that may not end before the VM exits. Returns whether it did. */
  tryRefuse (request: StoppableRequest): boolean {
    const { target: { forwarder, kind }, deadlineAt } = request
    const plan = this.options.stopPlan()
    if (plan === undefined || plan.accepts(this.options.clock.now(), { deadlineAt, latency: forwarder.dispatcher.latencyOf(kind) })) return false
    this.refuse(request)
    return true
  }

  /** Refuses all requests that were not submitted, because the VM exits. */
  refuseAll (): void {
    for (const request of [...this.unsubmitted.values()]) {
      if (!request.response.headersSent) this.refuse(request)
    }
  }

  private refuse ({ sink, requestId, response }: UnsubmittedRequest): void {
    this.unsubmitted.delete(response)
    this.options.onRefused(requestId, 'stopping')
    sink.sendError('stopping', '', { retryAfterMs: STOPPING_RETRY_MS })
  }
}
