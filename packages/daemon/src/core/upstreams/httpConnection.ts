import { Socket } from 'node:net'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import { findHeader } from '../../utils/headers.js'
import { uploadBody } from './bodyUpload.js'
import type { BytesRefusal, ConnectionObserver } from './connectionObserver.js'
import type { ExchangeHandler } from './exchangeHandler.js'
import { encodeHead, type OutgoingRequest } from './outgoingRequest.js'
import { ResponseParser, type ParsedHead } from './responseParser.js'

/** Options of a connection. */
export interface HttpConnectionOptions {
  readonly host: string
  readonly port: number
  readonly connectTimeoutMs: Milliseconds
  /** Called with what a handler has thrown; its exchange has failed. */
  readonly onError: (error: Error) => void
  /** Called once when the connection is closed by either side. */
  readonly onClose: () => void
  readonly observer?: ConnectionObserver | undefined
}

/** Bytes of responses to other requests that are read, but not kept, before the response to an exchange. */
const MAX_SKIPPED_BYTES = 16 * 1024 * 1024

/** Readers of requests skip empty lines between them. */
const EMPTY_LINE = '\r\n'

/** Idle time before the first TCP keep-alive probe, by which the kernel detects an unreachable peer. */
const KEEP_ALIVE_PROBE_MS = 1000

/**
 * One HTTP/1.1 connection to an upstream, with one exchange at a time. HTTP client libraries are not used because they
 * treat a response without a length as complete when the connection is reset, and cannot skip a stray response.
 */
export class HttpConnection {
  private readonly socket: Socket
  private readonly parser: ResponseParser
  private handler: ExchangeHandler | undefined
  private request: OutgoingRequest | undefined
  private isConnected = false
  private isSkipping = false
  /** Bytes of responses skipped in this exchange. */
  private skippedBytes = 0
  /** Whether a stray response has arrived: more of them may follow, also cut ones, so this exchange is the last. */
  private hasSkipped = false
  private isClosing = false
  private isClosed = false
  private wasReset = false
  private isUploading = false
  private completed = 0
  private connectTimer: NodeJS.Timeout | undefined

  private constructor (private readonly options: HttpConnectionOptions) {
    this.parser = ResponseParser.create({
      onHead: head => this.onHead(head),
      onData: chunk => this.onData(chunk),
      onComplete: hasMore => this.onComplete(hasMore)
    }, () => this.request?.method === 'HEAD')
    this.socket = this.open()
  }

  /** Creates a connection and starts connecting immediately. */
  static create (options: HttpConnectionOptions): HttpConnection {
    return new HttpConnection(options)
  }

  /** Whether another exchange may be started. */
  get isReusable (): boolean {
    return !this.isClosing && !this.hasSkipped && this.handler === undefined
  }

  /** Number of responses completed on this connection, stray ones included; a stray one can arrive only after another. */
  get completedResponses (): number {
    return this.completed
  }

  /** Sends a request as soon as the connection is established. The connection must be reusable. */
  send (request: OutgoingRequest, handler: ExchangeHandler): void {
    this.request = request
    this.handler = handler
    this.isSkipping = false
    this.skippedBytes = 0
    if (this.isConnected) this.write(request)
  }

  /** Stops reading until `resume`. */
  pause (): void {
    this.socket.pause()
  }

  /** Resumes a paused response. */
  resume (): void {
    this.socket.resume()
  }

  /** Closes the connection without notifying the handler of an exchange in progress. */
  destroy (): void {
    this.handler = undefined
    this.close()
  }

  private open (): Socket {
    const { connectTimeoutMs } = this.options
    // The connection stays writable after its end, so that `onEnd` can find out how it ended.
    const socket = new Socket({ allowHalfOpen: true })
    this.connectTimer = setTimeout(() => this.close(), connectTimeoutMs)
    socket.on('connect', () => this.onConnect())
    socket.on('data', chunk => this.onBytes(chunk))
    socket.on('end', () => this.onEnd())
    socket.on('error', () => {
      this.wasReset = true
    })
    socket.on('close', () => this.close())
    this.connect(socket)
    return socket
  }

  /** An address that Node rejects at once ends the connection like one that refuses it. */
  private connect (socket: Socket): void {
    const { host, port } = this.options
    try {
      socket.connect({ host, port, noDelay: true, keepAlive: true, keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS })
    } catch (error) {
      socket.destroy(error as Error)
    }
  }

  private onConnect (): void {
    clearTimeout(this.connectTimer)
    this.isConnected = true
    if (this.request !== undefined && this.handler !== undefined) this.write(this.request)
  }

  private write (request: OutgoingRequest): void {
    const { socket, handler } = this
    const head = Buffer.from(encodeHead(request, `${this.options.host}:${this.options.port}`), 'latin1')
    const { body } = request
    if (body === null || Buffer.isBuffer(body)) {
      socket.write(body === null || body.length === 0 ? head : Buffer.concat([head, body]))
    } else {
      socket.write(head)
      this.isUploading = true
      uploadBody(body, socket, {
        isChunked: findHeader(request.headers, 'content-length') === undefined,
        isCurrent: () => this.handler === handler && !this.isClosing,
        onSent: () => handler?.onBodySent(),
        onEnd: () => (this.isUploading = false),
        // If the caller does not finish the body, the request cannot be completed on this connection.
        onError: () => this.close()
      })
    }
    handler?.onSent()
  }

  private onBytes (chunk: Buffer): void {
    // Unsolicited bytes belong to no request, and neither does anything that follows them on this connection.
    if (this.handler === undefined) return this.refuse('bytesWhileIdle')
    const refusal = this.parse(chunk)
    if (refusal !== undefined) this.refuse(refusal)
  }

  private parse (chunk: Buffer): BytesRefusal | undefined {
    try {
      return this.parser.parse(chunk) ? undefined : this.parser.invalidReason
    } catch (error) {
      this.options.onError(error as Error)
      return 'internal'
    }
  }

  private onHead (head: ParsedHead): void {
    const { handler } = this
    if (handler === undefined) return this.close()
    if (!head.keepsConnection) this.isClosing = true
    this.isSkipping = handler.onHead(head) === 'skip'
    if (!this.isSkipping) return
    this.hasSkipped = true
    this.options.observer?.onStrayResponse()
  }

  private onData (chunk: Buffer): void {
    if (this.isSkipping) this.countSkipped(chunk.length)
    if (this.isSkipping || this.handler === undefined) return
    if (!this.handler.onData(chunk)) this.socket.pause()
  }

  /** Closes the connection if the response that belongs to no request goes on too long. */
  private countSkipped (bytes: number): void {
    this.skippedBytes += bytes
    if (this.skippedBytes > MAX_SKIPPED_BYTES) this.refuse('strayTooLong')
  }

  private onComplete (hasMore: boolean): void {
    const { handler } = this
    if (handler === undefined) return
    this.completed += 1
    if (this.isSkipping) {
      this.isSkipping = false
      return
    }
    this.handler = undefined
    this.request = undefined
    // The last chunk of the response may have paused reading, which nothing else would resume.
    this.socket.resume()
    // The upstream would read the rest of an unfinished request body as the next request, and the parser would take bytes
    // beyond the response for the beginning of the next one.
    if (hasMore) this.refuse('bytesAfterResponse')
    else if (this.hasSkipped) this.refuse('strayResponse')
    else if (this.isUploading || this.isClosing) this.close()
    handler.onComplete()
  }

  private onEnd (): void {
    if (this.handler === undefined) return this.close()
    // Nothing can be written behind a request that is still being sent, so that a reset would not be noticed.
    if (this.isUploading || this.socket.writableLength > 0) return this.close()
    // Node reports a reset that arrives together with the last bytes as an ordinary end; only a write tells them apart.
    this.socket.write(EMPTY_LINE, error => this.onEndConfirmed(error))
  }

  /** A response without a length is complete only if the connection was closed in an orderly way. */
  private onEndConfirmed (error: Error | null | undefined): void {
    if (!error && !this.wasReset && this.handler !== undefined) this.parser.end()
    this.close()
  }

  /** Closes the connection for the bytes that arrived on it; an exchange in progress has failed. */
  private refuse (refusal: BytesRefusal): void {
    const { handler } = this
    this.handler = undefined
    if (!this.isClosed) this.options.observer?.onBytesRefused(refusal)
    this.close()
    handler?.onFailure('invalid', refusal)
  }

  private close (): void {
    clearTimeout(this.connectTimer)
    const { handler } = this
    this.handler = undefined
    if (!this.socket.destroyed) this.socket.destroy()
    if (!this.isClosed) {
      this.isClosed = true
      this.isClosing = true
      this.options.onClose()
    }
    handler?.onFailure(this.isConnected ? 'closed' : 'unsent')
  }
}
