import type { ServerResponse } from 'node:http'
import { RESULT_CODES, type ResultCodeName } from '@cowsliplead/core/types/resultCode.js'
import type { Dialect } from '../../types/dialect.js'
import { CODE_HEADER, PEER_RESULT_HEADER, PEER_UNFRAMED_HEADER, findHeader, responseHeaders } from '../../utils/headers.js'
import { abortResponse } from '../../utils/abortResponse.js'
import { errorStatus } from '../../utils/errorStatus.js'
import type { PipelinedExchange } from './pipelinedExchange.js'
import { hasBody } from './requestBody.js'
import type { ErrorResponseOptions, ResponseHead, ResponseSink, StreamDecision } from '../../types/responseSink.js'

/** Above this size, copying a body costs more than a second write. */
const MAX_SINGLE_WRITE_BODY_BYTES = 8 * 1024

/** Counted for the head of a response that waits for its turn. */
const HEAD_BYTES = 1024

const UNAUTHORIZED = 401

/** Options of a caller sink. */
export interface CallerSinkOptions {
  readonly requestId: string
  readonly dialect: Dialect
  /** Whether the connection is to be closed after this response. */
  readonly closesConnection: () => boolean
  /** The response's place among those of its connection. */
  readonly exchange: PipelinedExchange
  /** Whether the response goes to a VM that has handed the request over; it closes the connection itself. */
  readonly isForPeer?: boolean
}

/** Writes the outcome of a call to the caller's connection. */
export class CallerSink implements ResponseSink {
  private constructor (private readonly response: ServerResponse, private readonly options: CallerSinkOptions) {}

  static create (response: ServerResponse, options: CallerSinkOptions): CallerSink {
    return new CallerSink(response, options)
  }

  /** Whether the connection is to be closed after this response. */
  get closesConnection (): boolean {
    return this.options.closesConnection()
  }

  get sentStatus (): number | undefined {
    return this.response.headersSent ? this.response.statusCode : undefined
  }

  /** The response's place among those of its connection. */
  get exchange (): PipelinedExchange {
    return this.options.exchange
  }

  tryHold (bytes: number): boolean {
    return this.exchange.tryHold(bytes)
  }

  deliver (head: ResponseHead, body: readonly Buffer[]): void {
    const { exchange } = this
    // Node keeps what it is given before its turn, and stops reading from the connection if that is much: the caller's close
    // would not be noticed.
    if (exchange.hasTurn || !exchange.tryHold(totalLength(body) + HEAD_BYTES)) this.send(head, body)
    else exchange.whenTurn(() => this.send(head, body))
  }

  private send (upstreamHead: ResponseHead, body: readonly Buffer[]): void {
    // Only the close of the connection would end the body, and take the responses behind it along.
    const head = this.exchange.isShared ? { ...upstreamHead, isFramed: true } : upstreamHead
    const headers = this.headersFor(head)
    if (head.isFramed && findHeader(headers, 'content-length') === undefined && this.mayHaveBody(head.status)) headers.push('content-length', String(totalLength(body)))
    this.response.writeHead(head.status, headers)
    const fullBody = body.length === 1 ? body[0] as Buffer : Buffer.concat(body)
    if (fullBody.length <= MAX_SINGLE_WRITE_BODY_BYTES && this.mayHaveBody(head.status)) this.endWithSingleWrite(fullBody)
    else this.response.end(fullBody)
  }

  /**
   * Sends head and body in one write. Node joins a string with the head, but sends a buffer in a second write;
   * `end` with a body would append an empty write and send both through the slower `writev`.
   */
  private endWithSingleWrite (body: Buffer): void {
    const { socket } = this.response
    // Without corking the socket, `write` would defer the head to the next tick.
    socket?.cork()
    if (body.length > 0) this.response.write(body.toString('latin1'), 'latin1')
    socket?.uncork()
    this.response.end()
  }

  startStream (head: ResponseHead, chunks: readonly Buffer[], resume: () => void): StreamDecision {
    const { exchange } = this
    exchange.onStream()
    if (exchange.hasTurn) return this.sendStart(head, chunks, resume)
    exchange.whenTurn(() => {
      if (this.sendStart(head, chunks, resume) === 'flowing') resume()
    })
    return 'paused'
  }

  private sendStart (head: ResponseHead, chunks: readonly Buffer[], resume: () => void): StreamDecision {
    // Chunks show the caller whether the body is whole, also where only the close of the connection ends the upstream's.
    this.response.writeHead(head.status, this.headersFor({ ...head, isFramed: true }))
    this.response.on('drain', resume)
    let flowing = true
    for (const chunk of chunks) flowing = this.response.write(chunk)
    return flowing ? 'flowing' : 'paused'
  }

  write (chunk: Buffer): boolean {
    if (this.exchange.hasTurn) return this.response.write(chunk)
    this.exchange.whenTurn(() => this.response.write(chunk))
    return false
  }

  endStream (): void {
    this.exchange.whenTurn(() => this.response.end())
    this.exchange.onStreamEnd()
  }

  abortStream (): void {
    abortResponse(this.response)
  }

  sendError (name: ResultCodeName, detail: string, options: ErrorResponseOptions = {}): void {
    this.exchange.whenTurn(() => this.writeError(name, detail, options))
  }

  private writeError (name: ResultCodeName, detail: string, { status = errorStatus(name), retryAfterMs }: ErrorResponseOptions): void {
    if (this.response.headersSent) return this.abortStream()
    const { dialect, requestId, closesConnection, isForPeer = false } = this.options
    const { number, outcome } = RESULT_CODES[name]
    const body = Buffer.from(JSON.stringify({ code: number, name, outcome, detail }))
    const headers = [
      'content-type', 'application/json',
      'content-length', String(body.length),
      CODE_HEADER, String(number),
      ...dialect.addedResponseHeaders(requestId)
    ]
    // RFC 9110 section 15.5.2: a 401 names the scheme that would be accepted.
    if (status === UNAUTHORIZED) headers.push('www-authenticate', 'Bearer')
    if (retryAfterMs !== undefined) headers.push('retry-after', dialect.retryAfter(retryAfterMs))
    // If the response precedes the end of the request body, the rest of the body must not be read as the next request.
    const isUploading = hasBody(this.response.req) && !this.response.req.complete
    if (isForPeer) headers.push(PEER_RESULT_HEADER, name)
    else if (closesConnection() || isUploading) this.closeAfter(headers)
    this.response.writeHead(status, headers)
    this.response.end(body)
  }

  /** Adds the header after which the connection closes. */
  closeAfter (headers: string[]): void {
    headers.push('connection', 'close')
    this.exchange.onClosing()
  }

  private mayHaveBody (status: number): boolean {
    return status !== 204 && status !== 304 && this.response.req.method !== 'HEAD'
  }

  private headersFor (head: ResponseHead): string[] {
    const { dialect, requestId, closesConnection, isForPeer = false } = this.options
    const headers = responseHeaders(head.rawHeaders, dialect.strippedResponseHeaders)
    headers.push(...dialect.addedResponseHeaders(requestId))
    if (isForPeer) return head.isFramed ? headers : [...headers, PEER_UNFRAMED_HEADER, '1']
    if (closesConnection() || !head.isFramed) this.closeAfter(headers)
    if (!head.isFramed) this.response.useChunkedEncodingByDefault = false
    return headers
  }
}

function totalLength (chunks: readonly Buffer[]): number {
  return chunks.reduce((sum, chunk) => sum + chunk.length, 0)
}
