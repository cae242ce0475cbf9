import type { Readable } from 'node:stream'
import type { Call, CallResult } from '@cowsliplead/core/types/dispatch.js'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Dialect } from '../../types/dialect.js'
import type { ResponseSink } from '../../types/responseSink.js'
import type { AttemptRequest, BufferedResponse } from '../../types/attempt.js'
import type { Connection } from '../upstreams/connectionPool.js'

/** The part of a call's request that all attempts share. */
export interface CallRequest {
  readonly method: string
  readonly path: string
  /** End-to-end headers as alternating names and values. */
  readonly headers: readonly string[]
  /** A stream can be sent only once. */
  readonly body: Buffer | Readable | null
  readonly requestId: string
}

/** A call in progress on this VM. */
export class ActiveCall {
  private attempts = 0
  /** Attempts for which no connection could be established. */
  unconnectedAttempts = 0
  /** Connections that carried attempts of the call. */
  readonly usedConnections = new Set<Connection>()
  /** The attempt whose response is being streamed to the caller. */
  streamingAttemptId: number | undefined

  private constructor (
    readonly call: Call,
    private readonly request: CallRequest,
    readonly sink: ResponseSink,
    private readonly dialect: Dialect
  ) {}

  static create (call: Call, request: CallRequest, sink: ResponseSink, dialect: Dialect): ActiveCall {
    return new ActiveCall(call, request, sink, dialect)
  }

  /** Id of the caller's request. */
  get requestId (): string {
    return this.request.requestId
  }

  /** Whether an attempt was started. */
  get isStarted (): boolean {
    return this.attempts > 0
  }

  /** Builds the request of the next attempt. */
  nextAttempt (upstreamId: string, deadlineAt: Milliseconds, now: Milliseconds): AttemptRequest {
    const { method, path, body, requestId } = this.request
    const { headers, echoedId } = this.dialect.attemptHeaders({ requestId, attemptNumber: ++this.attempts, upstreamId, deadlineAt, now })
    return {
      method,
      path,
      headers: [...this.request.headers, ...headers],
      body,
      echoedId,
      isRetryable: this.call.kind.idempotent,
      tryHold: bytes => this.sink.tryHold(bytes)
    }
  }

  /** Sends the caller what it has not yet received: a buffered response, the end of a streamed one or an error. */
  finish (result: CallResult, response: BufferedResponse | undefined): void {
    if (result.kind === 'delivered') {
      if (this.streamingAttemptId !== undefined) this.sink.endStream()
      else if (response !== undefined) this.sink.deliver(response.head, response.body)
      else this.sink.sendError('internal', 'the response is missing')
    } else if (this.streamingAttemptId !== undefined || result.kind === 'cancelled') {
      this.sink.abortStream()
    } else {
      this.sink.sendError(result.code, '', { retryAfterMs: 'retryAfterMs' in result ? result.retryAfterMs : undefined })
    }
  }
}
