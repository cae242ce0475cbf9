import { Readable } from 'node:stream'
import { Client, type Dispatcher } from 'undici'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import { PEER_RESULT_HEADER, PEER_UNFRAMED_HEADER, findHeader } from '../../utils/headers.js'
import type { ResponseHead } from '../../types/responseSink.js'
import type { RequestBody } from '../callers/requestBody.js'

/** A VM that has not accepted the connection by then is frozen or cannot be reached. */
const CONNECT_TIMEOUT_MS: Milliseconds = 400

const KEEP_ALIVE_PROBE_MS: Milliseconds = 1000

/** A receiver's own error responses are a few hundred bytes. */
const MAX_REFUSAL_BYTES = 16 * 1024

/** A response that the receiver has generated itself. */
export interface PeerError {
  /** Name of its result code, or another reason. */
  readonly result: string
  readonly head: ResponseHead
  readonly body: Buffer
}

/** Receives the events of one exchange; one of the last four ends it. */
export interface PeerExchangeHandler {
  /** The receiver passes on an upstream's response. */
  onHead (head: ResponseHead): void
  /** Returns false to pause reading until `resume`. */
  onData (chunk: Buffer): boolean
  onComplete (): void
  onPeerError (error: PeerError): void
  /** No byte of the request was sent. */
  onUnsent (): void
  /** The exchange broke off after the request was sent. */
  onBroken (): void
}

/** The request of an exchange. */
export interface PeerRequest {
  readonly address: string
  readonly method: string
  readonly path: string
  /** Alternating names and values. */
  readonly headers: string[]
  readonly body: RequestBody
}

/**
 * One request that is handed to another VM. It has a connection of its own, so that no late response can reach another caller
 * and no request meets a connection that is just being closed.
 */
export class PeerExchange implements Dispatcher.DispatchHandler {
  private readonly client: Client
  private controller: Dispatcher.DispatchController | undefined
  private wasSent = false
  private hasEnded = false
  private ownError: { readonly result: string, readonly head: ResponseHead } | undefined
  private readonly errorChunks: Buffer[] = []
  private errorBytes = 0

  private constructor (address: string, private readonly handler: PeerExchangeHandler) {
    this.client = new Client(`http://${address}`, {
      connect: { timeout: CONNECT_TIMEOUT_MS, keepAlive: true, keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS }
    })
  }

  /** Sends the request; the handler is called later. */
  static send ({ address, method, path, headers, body }: PeerRequest, handler: PeerExchangeHandler): PeerExchange {
    const exchange = new PeerExchange(address, handler)
    const sentBody = body === null || Buffer.isBuffer(body) ? body : readLazily(body)
    try {
      exchange.client.dispatch({ method: method as Dispatcher.HttpMethod, path, headers, body: sentBody, headersTimeout: 0, bodyTimeout: 0 }, exchange)
    } catch (error) {
      queueMicrotask(() => exchange.onResponseError(undefined, error as Error))
    }
    return exchange
  }

  /** Whether a byte of the request may have been sent. */
  get mayHaveRun (): boolean {
    return this.wasSent
  }

  /** Closes the connection without a further call of the handler. */
  cancel (): void {
    this.end()
  }

  resume (): void {
    this.controller?.resume()
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    // The connection may open after the exchange was given up, when the caller has been told that its request has not run.
    if (this.hasEnded) return controller.abort(new Error('the exchange was given up'))
    this.controller = controller
    this.wasSent = true
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number): void {
    if (this.hasEnded || status < 200) return
    const rawHeaders = ((controller.rawHeaders ?? []) as readonly Buffer[]).map(part => part.toString('latin1'))
    const head = { status, rawHeaders, isFramed: findHeader(rawHeaders, PEER_UNFRAMED_HEADER) === undefined }
    const result = findHeader(rawHeaders, PEER_RESULT_HEADER)
    if (result === undefined) this.handler.onHead(head)
    else this.ownError = { result, head }
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.hasEnded) return
    if (this.ownError === undefined) {
      if (!this.handler.onData(chunk)) controller.pause()
      return
    }
    this.errorBytes += chunk.length
    if (this.errorBytes <= MAX_REFUSAL_BYTES) this.errorChunks.push(chunk)
    else controller.abort(new Error('the error response of a VM is too long'))
  }

  onResponseEnd (): void {
    if (!this.end()) return
    if (this.ownError === undefined) this.handler.onComplete()
    else this.handler.onPeerError({ ...this.ownError, body: Buffer.concat(this.errorChunks) })
  }

  onResponseError (_controller: unknown, _error: Error): void {
    if (!this.end()) return
    if (this.wasSent) this.handler.onBroken()
    else this.handler.onUnsent()
  }

  /** Returns false if the exchange had ended before. */
  private end (): boolean {
    if (this.hasEnded) return false
    this.hasEnded = true
    // Deferred, as the client must not be destroyed within one of its own callbacks.
    setImmediate(() => void this.client.destroy().catch(() => {}))
    return true
  }
}

/** A stream that touches `source` only when it is read, so that the source stays usable if nothing is sent. */
function readLazily (source: Readable): Readable {
  let wasRead = false
  const stream = new Readable({
    read () {
      if (!wasRead) start()
      source.resume()
    },
    destroy (error, callback) {
      if (wasRead) source.destroy()
      callback(error)
    }
  })
  const start = (): void => {
    wasRead = true
    source.on('data', (chunk: Buffer) => {
      if (!stream.push(chunk)) source.pause()
    })
    source.once('end', () => stream.push(null))
    source.once('error', error => stream.destroy(error))
    source.once('close', () => {
      if (!source.readableEnded) stream.destroy(new Error('the caller did not finish the request body'))
    })
  }
  stream.on('error', () => {})
  return stream
}
