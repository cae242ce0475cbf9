import { hash } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Call } from '@cowsliplead/core/types/dispatch.js'
import type { RequestKind } from '@cowsliplead/core/types/requestKind.js'
import type { ResultCodeName } from '@cowsliplead/core/types/resultCode.js'
import type { Dialect } from '../../types/dialect.js'
import type { ResponseSink } from '../../types/responseSink.js'
import { IDEMPOTENCY_KEY_HEADER, requestHeaders } from '../../utils/headers.js'
import { CallerSink } from './callerSink.js'
import { ActiveCall } from './activeCall.js'
import { PipelineCounter } from './pipelineCounter.js'
import { readBody, type RequestBody } from './requestBody.js'
import type { RequestIds } from './requestIds.js'
import type { StopPlan } from '../gateway/stopPlan.js'
import type { ServiceForwarder } from '../upstreams/serviceForwarder.js'

const MAX_FINGERPRINT_LENGTH = 200

/** After this time, a caller that a stopping VM has refused may send its request to another one. */
const STOPPING_RETRY_MS: Milliseconds = 20

/** The service that a request is routed to, and its kind. */
export interface RequestTarget {
  readonly forwarder: ServiceForwarder
  readonly kind: RequestKind
}

/** A caller's request that has arrived, here or at the VM that handed it over. */
export interface ArrivedRequest {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly sink: CallerSink
  readonly requestId: string
  readonly arrivedAt: Milliseconds
  /** Whether another VM has handed it over. */
  readonly isHandedOver: boolean
}

/** Hands requests to other VMs while this one reaches no upstream. */
export interface CallHandover {
  /** Takes a request over, with its body, before anything else is decided about it; calls `serve` if no VM takes it. */
  takesArrival (arrived: ArrivedRequest, serve: (body: RequestBody) => void): boolean
  /** A sink that hands the call over instead of refusing it where that is allowed. */
  wrapSink (arrived: ArrivedRequest, body: RequestBody, deadlineAt: Milliseconds, call: () => ActiveCall): ResponseSink
}

/** Options of the proxy. */
export interface ProxyOptions {
  readonly clock: Clock
  readonly ids: RequestIds
  readonly dialect: Dialect
  /** Returns the target of a request, or a result code if it cannot be routed. */
  readonly route: (request: IncomingMessage) => RequestTarget | ResultCodeName
  /** Timeout for receiving a buffered body, and for each pause within a streamed one. */
  readonly bodyTimeoutMs: Milliseconds
  /** Size limit of request bodies; unlimited if absent. */
  readonly maxBodyBytes?: () => number
  /** Set while the daemon is stopping: callers must then use a new connection for their next request. */
  readonly stopPlan: () => StopPlan | undefined
  /** Called when a request that has a service is refused without being submitted to it. */
  readonly onRefused: (requestId: string, code: ResultCodeName) => void
  readonly onError: (error: Error) => void
  /** Undefined where requests are not handed over. */
  readonly handover?: CallHandover | undefined
}

/** A caller's request that has been routed. */
interface RoutedRequest extends ArrivedRequest {
  readonly target: RequestTarget
  readonly deadlineAt: Milliseconds
}

/** Reads callers' requests and submits them to their service. */
export class Proxy {
  /** Number of requests whose response has not been fully sent. */
  inFlight = 0
  private readonly pipelines: PipelineCounter

  private constructor (private readonly options: ProxyOptions) {
    this.pipelines = PipelineCounter.create(options.clock)
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
    const { clock, dialect, ids, handover } = this.options
    const arrivedAt = clock.now() - (elapsedMs ?? 0)
    this.inFlight++
    this.pipelines.enter(request.socket)
    response.once('close', () => {
      this.inFlight--
      this.pipelines.leave(request.socket)
    })
    const callerId = dialect.callerRequestId(request.headers)
    const requestId = dialect.forwardsCallerIds && callerId !== undefined ? callerId : ids.next(callerId)
    const isHandedOver = elapsedMs !== undefined
    const sink = this.createSink(request, response, callerId ?? requestId, isHandedOver)
    const arrived = { request, response, sink, requestId, arrivedAt, isHandedOver }
    if (!isHandedOver && handover?.takesArrival(arrived, body => this.serve(arrived, body)) === true) return
    this.serve(arrived)
  }

  /** Serves a request through this VM's own upstreams; reads the body unless it is given. */
  private serve (arrived: ArrivedRequest, readBefore?: RequestBody): void {
    const { clock, dialect, route } = this.options
    const { request, sink, requestId, arrivedAt } = arrived
    const target = route(request)
    if (typeof target === 'string') return sink.sendError(target, '')
    const timeLeftMs = dialect.timeLeftMs(request.headers) ?? Infinity
    // The time left is as of now where another VM has handed the request over, and as of the arrival otherwise.
    const callerWaitsUntil = (arrived.isHandedOver ? clock.now() : arrivedAt) + timeLeftMs
    const deadlineAt = Math.min(callerWaitsUntil, arrivedAt + target.kind.deadlineMs)
    if (this.options.stopPlan()?.accepts(arrivedAt, deadlineAt) === false) {
      this.options.onRefused(requestId, 'stopping')
      return sink.sendError('stopping', '', { retryAfterMs: STOPPING_RETRY_MS })
    }
    const routed = { ...arrived, target, deadlineAt }
    if (readBefore !== undefined) return this.trySubmit(routed, readBefore)
    readBody(request, {
      timeoutMs: Math.min(this.options.bodyTimeoutMs, Math.max(deadlineAt - arrivedAt, 0)),
      maxBytes: this.options.maxBodyBytes?.() ?? Infinity,
      onBody: body => this.trySubmit(routed, body),
      onTimeout: () => sink.sendError('bodyTimeout', ''),
      onTooLarge: () => sink.sendError('bodyTooLarge', '')
    })
  }

  private createSink (request: IncomingMessage, response: ServerResponse, requestId: string, isForPeer: boolean): CallerSink {
    const { dialect, stopPlan } = this.options
    // Closing after an earlier response would drop the requests that the caller has pipelined behind it.
    const closesConnection = (): boolean => stopPlan() !== undefined && this.pipelines.isLast(request.socket)
    return CallerSink.create(response, { requestId, dialect, closesConnection, isForPeer })
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
    const { dialect, handover } = this.options
    const callRequest = {
      method: request.method as string,
      path: request.url as string,
      headers: requestHeaders(request.rawHeaders, request.headers.connection, dialect.strippedRequestHeaders),
      body,
      requestId
    }
    const call = this.createCall(routed, body)
    const sink = routed.isHandedOver || handover === undefined ? routed.sink : handover.wrapSink(routed, body, deadlineAt, () => activeCall)
    const activeCall: ActiveCall = ActiveCall.create(call, callRequest, sink, dialect)
    this.cancelOnClose(routed, () => forwarder.cancel(call.id))
    forwarder.submit(activeCall)
  }

  private cancelOnClose (routed: RoutedRequest, cancel: () => void): void {
    routed.response.once('close', () => {
      if (!routed.response.writableFinished) cancel()
    })
  }

  private createCall (routed: RoutedRequest, body: RequestBody): Call {
    const { request, target: { kind }, arrivedAt, deadlineAt } = routed
    return {
      id: this.options.ids.nextCallId(),
      kind,
      arrivedAt,
      deadlineAt,
      targetAt: kind.targetMs === undefined ? undefined : arrivedAt + kind.targetMs,
      fingerprint: fingerprintOf(request, body),
      replayable: body === null || Buffer.isBuffer(body)
    }
  }
}

function fingerprintOf (request: IncomingMessage, body: RequestBody): string {
  const key = request.headers[IDEMPOTENCY_KEY_HEADER]
  const identity = `${request.method} ${request.url}`
  if (typeof key === 'string') return shorten(`${identity} ${key}`)
  return shorten(Buffer.isBuffer(body) && body.length > 0 ? `${identity} ${hash('sha1', body, 'base64')}` : identity)
}

/** Limits the size of a suspect mark of the request in memory and in the store. */
function shorten (fingerprint: string): string {
  return fingerprint.length <= MAX_FINGERPRINT_LENGTH ? fingerprint : hash('sha256', fingerprint, 'base64')
}
