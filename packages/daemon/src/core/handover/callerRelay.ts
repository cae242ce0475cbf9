import type { ServerResponse } from 'node:http'
import { MAX_BUFFERED_RESPONSE_BYTES } from '../../types/attempt.js'
import type { ResponseHead } from '../../types/responseSink.js'
import { BodyBuffer } from '../../utils/bodyBuffer.js'
import { abortResponse } from '../../utils/abortResponse.js'
import { findHeader, responseHeaders } from '../../utils/headers.js'
import type { CallerSink } from '../callers/callerSink.js'

const NO_HEADERS: ReadonlySet<string> = new Set()

/** A response that is not sent before it is complete. */
interface HeldResponse {
  readonly head: ResponseHead
  readonly body: BodyBuffer
}

/**
 * Passes another VM's response on to a caller, unchanged. A response without a length is held until it is complete, because the
 * caller could not tell a part of its body from the whole. The other VM has buffered such a response, so it is short. Others are
 * held as those of this VM's upstreams are.
 */
export class CallerRelay {
  private held: HeldResponse | undefined

  private constructor (private readonly response: ServerResponse, private readonly sink: CallerSink) {}

  static create (response: ServerResponse, sink: CallerSink): CallerRelay {
    return new CallerRelay(response, sink)
  }

  /** Whether the caller has received nothing yet. */
  get isUnsent (): boolean {
    return !this.response.headersSent
  }

  start (head: ResponseHead): void {
    const length = Number(findHeader(head.rawHeaders, 'content-length') ?? 1)
    if (!head.isFramed || this.sink.tryHold(length)) this.held = { head, body: BodyBuffer.create() }
    else this.startStream(head)
  }

  /** Returns false for a chunk with which a response without a length would be longer than the other VM may have buffered. */
  takes (chunk: Buffer): boolean {
    if (this.held === undefined || this.held.head.isFramed) return true
    return this.held.body.length + chunk.length <= MAX_BUFFERED_RESPONSE_BYTES
  }

  /** Returns false to request a pause until the response drains. */
  write (chunk: Buffer): boolean {
    const { held } = this
    if (held === undefined) return this.response.write(chunk)
    held.body.append(chunk)
    if (!held.head.isFramed || this.sink.tryHold(held.body.length)) return true
    this.held = undefined
    this.startStream(held.head)
    return this.response.write(Buffer.concat(held.body.take()))
  }

  end (): void {
    const { held, sink: { exchange } } = this
    if (held === undefined) {
      this.response.end()
      exchange.onStreamEnd()
    } else exchange.whenTurn(() => this.sendHeld(held))
  }

  /** Closes the connection, so that what was sent does not look complete. */
  abort (): void {
    abortResponse(this.response)
  }

  private startStream (head: ResponseHead): void {
    this.sink.exchange.onStream()
    this.writeHead(head, [])
  }

  private sendHeld ({ head, body }: HeldResponse): void {
    // Only the close of the connection would end the body, and take the responses behind it along.
    if (!head.isFramed && this.sink.exchange.isShared) this.writeHead({ ...head, isFramed: true }, ['content-length', String(body.length)])
    else this.writeHead(head, [])
    this.response.end(Buffer.concat(body.take()))
  }

  private writeHead ({ status, rawHeaders, isFramed }: ResponseHead, added: readonly string[]): void {
    const headers = [...responseHeaders(rawHeaders, NO_HEADERS), ...added]
    if (this.sink.closesConnection || !isFramed) this.sink.closeAfter(headers)
    // The caller's body is delimited in the same way as the upstream's.
    if (!isFramed) this.response.useChunkedEncodingByDefault = false
    this.response.writeHead(status, headers)
  }
}
