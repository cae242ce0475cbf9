import { hash } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Call } from '@cowsliplead/core/types/dispatch.js'
import type { RequestKind } from '@cowsliplead/core/types/requestKind.js'
import type { ResultCodeName } from '@cowsliplead/core/types/resultCode.js'
import type { Dialect } from '../../types/dialect.js'
import { IDEMPOTENCY_KEY_HEADER, requestHeaders } from '../../utils/headers.js'
import { CallerSink } from './callerSink.js'
import { CallRun } from './callRun.js'
import { PipelineCounter } from './pipelineCounter.js'
import { readBody, type RequestBody } from './requestBody.js'
import type { RequestIds } from './requestIds.js'
import type { ServiceHost } from '../upstreams/serviceHost.js'

const LONGEST_FINGERPRINT = 200

/** The service that a request goes to and how it is treated. */
export interface RequestTarget {
  readonly host: ServiceHost
  readonly kind: RequestKind
}

/** What the proxy is made of. */
export interface ProxyOptions {
  readonly clock: Clock
  readonly ids: RequestIds
  readonly dialect: Dialect
  /** Where a request goes, or why it goes nowhere. */
  readonly route: (request: IncomingMessage) => RequestTarget | ResultCodeName
  /** Longest time to receive a held body, and longest pause within a streamed one. */
  readonly bodyTimeoutMs: Milliseconds
  /** Longest body that is accepted. */
  readonly maxBodyBytes?: () => number
  /** Whether callers are to open a new connection for their next request. */
  readonly isStopping: () => boolean
  readonly onError: (error: Error) => void
}

/** A caller's request whose service and kind are known. */
interface Arrival {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly sink: CallerSink
  readonly target: RequestTarget
  readonly requestId: string
  readonly arrivedAt: Milliseconds
  readonly deadlineAt: Milliseconds
}

/** Takes callers' requests to the dispatcher of their service. */
export class Proxy {
  /** Requests whose response has not been sent completely. */
  inFlight = 0
  private readonly pipelines: PipelineCounter

  private constructor (private readonly options: ProxyOptions) {
    this.pipelines = PipelineCounter.create(options.clock)
  }

  static create (options: ProxyOptions): Proxy {
    return new Proxy(options)
  }

  /** How long no request on the connection has been waiting for its response; 0 while one waits. */
  idleMs (socket: Socket): Milliseconds {
    return this.pipelines.idleMs(socket)
  }

  /** Handles one request of a caller. */
  handle (request: IncomingMessage, response: ServerResponse): void {
    const { clock, dialect, ids, route } = this.options
    const arrivedAt = clock.now()
    this.inFlight++
    this.pipelines.enter(request.socket)
    response.once('close', () => {
      this.inFlight--
      this.pipelines.leave(request.socket)
    })
    const callerId = dialect.callerRequestId(request.headers)
    const requestId = dialect.forwardsCallerIds && callerId !== undefined ? callerId : ids.next(callerId)
    const sink = this.createSink(request, response, callerId ?? requestId)
    const target = route(request)
    if (typeof target === 'string') return sink.refuse(target, '')
    const timeLeftMs = dialect.timeLeftMs(request.headers) ?? Infinity
    const deadlineAt = arrivedAt + Math.min(timeLeftMs, target.kind.deadlineMs)
    const arrival = { request, response, sink, target, requestId, arrivedAt, deadlineAt }
    readBody(request, {
      timeoutMs: Math.min(this.options.bodyTimeoutMs, Math.max(deadlineAt - arrivedAt, 0)),
      maxBytes: this.options.maxBodyBytes?.() ?? Infinity,
      onBody: body => this.trySubmit(arrival, body),
      onTimeout: () => sink.refuse('bodyTimeout', ''),
      onTooLarge: () => sink.refuse('bodyTooLarge', '')
    })
  }

  private createSink (request: IncomingMessage, response: ServerResponse, requestId: string): CallerSink {
    const { dialect, isStopping } = this.options
    // Closing behind an earlier response would cut the requests that the caller sent after it.
    const closesConnection = (): boolean => isStopping() && this.pipelines.isLast(request.socket)
    return CallerSink.create(response, { requestId, dialect, closesConnection })
  }

  /** A fault met by one call must not end the process and with it all others. */
  private trySubmit (arrival: Arrival, body: RequestBody): void {
    try {
      this.submit(arrival, body)
    } catch (error) {
      this.options.onError(error as Error)
      arrival.sink.refuse('internal', '')
    }
  }

  private submit (arrival: Arrival, body: RequestBody): void {
    const { request, target: { host }, requestId, sink } = arrival
    const { dialect } = this.options
    const callRequest = {
      method: request.method as string,
      path: request.url as string,
      headers: requestHeaders(request.rawHeaders, request.headers.connection, dialect.keptFromUpstreams),
      body,
      requestId
    }
    const call = this.createCall(arrival, body)
    const run = CallRun.create(call, callRequest, sink, dialect)
    this.cancelOnClose(arrival, () => host.cancel(call.id))
    host.submit(run)
  }

  private cancelOnClose (arrival: Arrival, cancel: () => void): void {
    arrival.response.once('close', () => {
      if (!arrival.response.writableFinished) cancel()
    })
  }

  private createCall (arrival: Arrival, body: RequestBody): Call {
    const { request, target: { kind }, arrivedAt, deadlineAt } = arrival
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

/** Bounds what a mark of the request takes in memory and in the store. */
function shorten (fingerprint: string): string {
  return fingerprint.length <= LONGEST_FINGERPRINT ? fingerprint : hash('sha256', fingerprint, 'base64')
}
