import type { Readable } from 'node:stream'
import type { Call, CallResult } from '@cowsliplead/core/types/dispatch.js'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Dialect } from '../../types/dialect.js'
import type { ResponseSink } from '../../types/responseSink.js'
import type { AttemptRequest, HeldResponse } from '../upstreams/attemptRun.js'

/** The request of a call in the form in which every attempt sends it. */
export interface CallRequest {
  readonly method: string
  readonly path: string
  /** End-to-end headers: name, value, name, value. */
  readonly headers: readonly string[]
  /** A stream can be sent once only. */
  readonly body: Buffer | Readable | null
  readonly requestId: string
}

/** One call under way in this VM. */
export class CallRun {
  private attempts = 0
  /** The attempt whose response is passed on while it arrives. */
  streamingAttemptId: number | undefined

  private constructor (
    readonly call: Call,
    private readonly request: CallRequest,
    readonly sink: ResponseSink,
    private readonly dialect: Dialect
  ) {}

  static create (call: Call, request: CallRequest, sink: ResponseSink, dialect: Dialect): CallRun {
    return new CallRun(call, request, sink, dialect)
  }

  /** Id of the caller's request. */
  get requestId (): string {
    return this.request.requestId
  }

  /** The request as the next attempt sends it. */
  nextAttempt (upstreamId: string, deadlineAt: Milliseconds, now: Milliseconds): AttemptRequest {
    const { method, path, body, requestId } = this.request
    const { headers, echoedId } = this.dialect.attemptHeaders({ requestId, attempt: ++this.attempts, upstreamId, deadlineAt, now })
    return { method, path, headers: [...this.request.headers, ...headers], body, echoedId, isRepeatable: this.call.kind.idempotent }
  }

  /** Passes the result on where the response itself has not done so already. */
  finish (result: CallResult, held: HeldResponse | undefined): void {
    if (result.kind === 'delivered') {
      if (this.streamingAttemptId !== undefined) this.sink.endStream()
      else if (held !== undefined) this.sink.deliver(held.head, held.body)
      else this.sink.refuse('internal', 'the response is missing')
    } else if (this.streamingAttemptId !== undefined || result.kind === 'cancelled') {
      this.sink.breakStream()
    } else {
      this.sink.refuse(result.code, '', { retryAfterMs: 'retryAfterMs' in result ? result.retryAfterMs : undefined })
    }
  }
}
