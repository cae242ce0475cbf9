import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Customer } from '@cowsliplead/core/types/customer.js'
import type { Call } from '@cowsliplead/core/types/dispatch.js'
import type { QuotaDecision } from '@cowsliplead/core/types/quota.js'
import type { ResultCodeName } from '@cowsliplead/core/types/resultCode.js'
import type { Dialect } from '../../types/dialect.js'
import { requestHeaders } from '../../utils/headers.js'
import type { ArrivedRequest, CallHandover, RequestTarget } from './arrivedRequest.js'
import { CallerSink } from './callerSink.js'
import { ActiveCall } from './activeCall.js'
import { fingerprintOf } from './fingerprint.js'
import type { PipelinedExchange } from './pipelinedExchange.js'
import { Pipelines } from './pipelines.js'
import { StopRefusals } from './stopRefusals.js'
import { readBody, type RequestBody } from './requestBody.js'
import type { RequestIds } from './requestIds.js'
import type { StopPlan } from '../gateway/stopPlan.js'
import type { BodyBudget } from '../overload/bodyBudget.js'

/** VMs that have lost contact ask others for the age of their keys twice a second. */
const UNCONFIRMED_RETRY_MS: Milliseconds = 500

/** By then, bodies that were being received have mostly ended. */
export const MEMORY_FULL_RETRY_MS: Milliseconds = 500

/** Options of the proxy. */
export interface ProxyOptions {
  readonly clock: Clock
  readonly ids: RequestIds
  readonly dialect: Dialect
  /** Returns the target of a request, or a result code if it cannot be routed. */
  readonly route: (request: IncomingMessage) => RequestTarget | ResultCodeName
  /** Decides whether a customer's request is within its quota, and returns a function that withdraws the request. */
  readonly admit: (customer: Customer, decide: (decision: QuotaDecision) => void) => () => void
  /** Timeout for receiving a buffered body, and for each pause within a streamed one. */
  readonly bodyTimeoutMs: Milliseconds
  /** Size limit of request bodies; unlimited if absent. */
  readonly maxBodyBytes?: () => number
  readonly bodyBudget: BodyBudget
  /** Set while the daemon is stopping: callers must then use a new connection for their next request. */
  readonly stopPlan: () => StopPlan | undefined
  /** Called when a request that has a service is refused without being submitted to it, or cut off because of its body. */
  readonly onRefused: (requestId: string, code: ResultCodeName) => void
  readonly onError: (error: Error) => void
  /** Undefined where requests are not handed over. */
  readonly handover?: CallHandover | undefined
}

/** A caller's request that has been routed. */
interface RoutedRequest extends ArrivedRequest {
  readonly target: RequestTarget
  readonly deadlineAt: Milliseconds
  /** The body, if it was read before the request was routed. */
  readonly readBefore: RequestBody | undefined
}

/** Reads callers' requests and submits them to their service. */
export class Proxy {
  /** Number of requests whose response has not been fully sent. */
  inFlight = 0
  /** Requests since the start. */
  requests = 0
  private readonly pipelines: Pipelines
  /** Refuses what a stopping VM cannot finish. */
  readonly stopRefusals: StopRefusals
  private readonly unforwardedHeaders: ReadonlySet<string>

  private constructor (private readonly options: ProxyOptions) {
    const { clock, dialect, onError } = options
    this.pipelines = Pipelines.create(clock, onError)
    this.stopRefusals = StopRefusals.create(options)
    this.unforwardedHeaders = new Set([...dialect.strippedRequestHeaders, ...dialect.credentialHeaders])
  }

  static create (options: ProxyOptions): Proxy {
    return new Proxy(options)
  }

  /** How long the connection has had no pending request; 0 while it has one, infinite before the first. */
  idleMs (socket: Socket): Milliseconds {
    return this.pipelines.idleMs(socket)
  }

  /** Handles one request of a caller; `elapsedMs` is the time since it arrived at the VM that has handed it over. */
  handle (request: IncomingMessage, response: ServerResponse, elapsedMs?: Milliseconds): void {
    if (this.pipelines.isFull(request.socket)) return this.closePipeline(request)
    const { clock, dialect, ids } = this.options
    const arrivedAt = clock.now() - (elapsedMs ?? 0)
    this.inFlight++
    this.requests++
    const exchange = this.pipelines.enter(response)
    response.once('close', () => {
      this.inFlight--
    })
    const callerId = dialect.callerRequestId(request.headers)
    const requestId = dialect.forwardsCallerIds && callerId !== undefined ? callerId : ids.next(callerId)
    const isHandedOver = elapsedMs !== undefined
    const sink = this.createSink(response, exchange, callerId ?? requestId, isHandedOver)
    const arrived = { request, response, sink, requestId, arrivedAt, isHandedOver }
    exchange.whenSafe(() => this.begin(arrived))
  }

  private begin (arrived: ArrivedRequest): void {
    const { handover } = this.options
    if (!arrived.isHandedOver && handover?.tryHandOver(arrived, body => this.serve(arrived, body)) === true) return
    this.serve(arrived)
  }

  /** Nothing promises the caller that the requests before this one have not run. Further ones may have been read already. */
  private closePipeline ({ socket, headers }: IncomingMessage): void {
    if (socket.destroyed) return
    const { dialect, ids, onRefused } = this.options
    onRefused(dialect.callerRequestId(headers) ?? ids.next(undefined), 'queueFull')
    socket.destroy()
  }

  /** Serves a request through this VM's own upstreams; reads the body unless it is given. */
  private serve (arrived: ArrivedRequest, readBefore?: RequestBody): void {
    const { clock, dialect, route } = this.options
    const { request, sink, arrivedAt } = arrived
    const target = route(request)
    if (typeof target === 'string') return sink.sendError(target, '', { retryAfterMs: target === 'keysUnconfirmed' ? UNCONFIRMED_RETRY_MS : undefined })
    const timeLeftMs = dialect.timeLeftMs(request.headers) ?? Infinity
    // The time left is as of now where another VM has handed the request over, and as of the arrival otherwise.
    const callerWaitsUntil = (arrived.isHandedOver ? clock.now() : arrivedAt) + timeLeftMs
    const deadlineAt = Math.min(callerWaitsUntil, arrivedAt + target.kind.deadlineMs)
    this.stopRefusals.track(arrived)
    const routed = { ...arrived, target, deadlineAt, readBefore }
    if (this.stopRefusals.tryRefuse(routed)) return
    this.checkQuota(routed)
  }

  /** The caller may leave before the decision. Until then the body is not read, and Node keeps it. */
  private checkQuota (routed: RoutedRequest): void {
    const { target: { customer }, response } = routed
    if (customer === undefined) return this.read(routed)
    const withdraw = this.options.admit(customer, decision => this.onQuotaDecision(routed, decision))
    response.once('close', withdraw)
  }

  private onQuotaDecision (routed: RoutedRequest, decision: QuotaDecision): void {
    const { sink, requestId, deadlineAt } = routed
    if (decision.kind === 'refused') {
      this.options.onRefused(requestId, 'overQuota')
      return sink.sendError('overQuota', '', { retryAfterMs: decision.retryAfterMs })
    }
    if (this.options.clock.now() < deadlineAt) return this.read(routed)
    this.options.onRefused(requestId, 'deadlinePassed')
    sink.sendError('deadlinePassed', '')
  }

  private read (routed: RoutedRequest): void {
    const { request, response, sink, requestId, deadlineAt, readBefore } = routed
    if (readBefore !== undefined) return this.trySubmit(routed, readBefore)
    readBody(request, response, {
      timeoutMs: Math.min(this.options.bodyTimeoutMs, Math.max(deadlineAt - this.options.clock.now(), 0)),
      maxBytes: this.options.maxBodyBytes?.() ?? Infinity,
      budget: this.options.bodyBudget,
      onBody: body => this.trySubmit(routed, body),
      onTimeout: () => sink.sendError('bodyTimeout', ''),
      onTooLarge: () => sink.sendError('bodyTooLarge', ''),
      onEvicted: () => {
        this.options.onRefused(requestId, 'memoryFull')
        sink.sendError('memoryFull', '', { retryAfterMs: MEMORY_FULL_RETRY_MS })
      },
      onExceeded: () => this.options.onRefused(requestId, 'bodyTooLarge')
    })
  }

  private createSink (response: ServerResponse, exchange: PipelinedExchange, requestId: string, isForPeer: boolean): CallerSink {
    const { dialect, stopPlan } = this.options
    // Closing after an earlier response would drop the requests that the caller has pipelined behind it.
    const closesConnection = (): boolean => stopPlan() !== undefined && !exchange.isShared
    return CallerSink.create(response, { requestId, dialect, closesConnection, exchange, isForPeer })
  }

  /** An exception in one call must not end the process and with it all other calls. */
  private trySubmit (routed: RoutedRequest, body: RequestBody): void {
    try {
      this.submit(routed, body)
    } catch (error) {
      this.options.onError(error as Error)
      routed.sink.sendError('internal', '')
    }
  }

  private submit (routed: RoutedRequest, body: RequestBody): void {
    const { request, target: { forwarder }, requestId, deadlineAt } = routed
    // The quota decision and the body may have taken long.
    if (this.stopRefusals.tryRefuse(routed)) return
    this.stopRefusals.onSubmit(routed)
    const { dialect, handover } = this.options
    const callRequest = {
      method: request.method as string,
      path: request.url as string,
      headers: this.headersFor(routed),
      body,
      requestId
    }
    const call = this.createCall(routed, body)
    const sink = routed.isHandedOver || handover === undefined ? routed.sink : handover.wrapSink(routed, body, deadlineAt, () => activeCall)
    const activeCall: ActiveCall = ActiveCall.create(call, callRequest, sink, dialect)
    this.cancelOnClose(routed, () => forwarder.cancel(call.id))
    forwarder.submit(activeCall)
  }

  /** The caller's headers that are forwarded, and the name of its customer. */
  private headersFor ({ request, target: { customer, hidesCredentials } }: RoutedRequest): string[] {
    const { dialect } = this.options
    const dropped = hidesCredentials ? this.unforwardedHeaders : dialect.strippedRequestHeaders
    const headers = requestHeaders(request.rawHeaders, request.headers.connection, dropped)
    if (customer !== undefined) headers.push(...dialect.customerHeaders(customer.name))
    return headers
  }

  private cancelOnClose (routed: RoutedRequest, cancel: () => void): void {
    routed.response.once('close', () => {
      if (!routed.response.writableFinished) cancel()
    })
  }

  private createCall (routed: RoutedRequest, body: RequestBody): Call {
    const { request, target: { kind, customer }, arrivedAt, deadlineAt } = routed
    return {
      id: this.options.ids.nextCallId(),
      kind,
      customer: customer?.name,
      arrivedAt,
      deadlineAt,
      targetAt: kind.targetMs === undefined ? undefined : arrivedAt + kind.targetMs,
      fingerprint: fingerprintOf(request, body),
      replayable: body === null || Buffer.isBuffer(body)
    }
  }
}
