import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Readable } from 'node:stream'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import { BodyBuffer } from '../../utils/bodyBuffer.js'
import type { BodyBudget } from '../overload/bodyBudget.js'
import { UploadStream } from './uploadStream.js'

/** Request bodies up to this size are buffered, so that they can be sent again; longer ones are streamed once. */
export const MAX_BUFFERED_REQUEST_BYTES = 256 * 1024

const EMPTY = Buffer.alloc(0)

/** A request body: none, buffered, or a stream that can be sent only once. */
export type RequestBody = Buffer | Readable | null

/** Limits for reading a request body, and callbacks for the outcome. */
export interface ReadBodyOptions {
  /** Timeout for receiving a buffered body, and for each pause within a streamed one. */
  readonly timeoutMs: Milliseconds
  /** Size limit of the body. */
  readonly maxBytes: number
  /** What the bodies of all requests may take together. */
  readonly budget: BodyBudget
  onBody (body: RequestBody): void
  /** A body that was to be buffered did not arrive in time. */
  onTimeout (): void
  onTooLarge (): void
  /** The budget is used up, and the body was to be buffered; nothing of it was passed on. */
  onEvicted (): void
  /** A body that is being streamed exceeds the limit; its connection is closed. */
  onExceeded (): void
}

/** Buffers a short body, or turns a long one into a stream. No callback is called if the caller disconnects first. */
export function readBody (request: IncomingMessage, response: ServerResponse, options: ReadBodyOptions): void {
  if (!hasBody(request)) return options.onBody(null)
  const length = request.headers['content-length']
  if (length !== undefined && Number(length) > options.maxBytes) return options.onTooLarge()
  if (length !== undefined && Number(length) > MAX_BUFFERED_REQUEST_BYTES) return options.onBody(UploadStream.create(request, response, { ...options, start: [] }))
  bufferBody(request, response, options)
}

/** Whether the head announces a body. */
export function hasBody ({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || (headers['content-length'] ?? '0') !== '0'
}

function bufferBody (request: IncomingMessage, response: ServerResponse, options: ReadBodyOptions): void {
  const body = BodyBuffer.create()
  const charge = options.budget.open(() => {
    stop()
    body.take()
    options.onEvicted()
    if (charge.isMostlyChunks) request.destroy()
  })
  response.once('close', () => charge.release())
  const onData = (chunk: Buffer): void => {
    const size = body.length + chunk.length
    if (size > options.maxBytes) return refuse(options.onTooLarge)
    if (size <= MAX_BUFFERED_REQUEST_BYTES) {
      body.append(chunk)
      return charge.onChunk(body.capacity)
    }
    stop()
    charge.release()
    options.onBody(UploadStream.create(request, response, { ...options, start: [...body.take(), chunk] }))
  }
  const onEnd = (): void => {
    stop()
    charge.onEnd(body.capacity)
    options.onBody(body.take()[0] ?? EMPTY)
  }
  const stop = (): void => {
    clearTimeout(timer)
    request.off('data', onData)
    request.off('end', onEnd)
    request.off('close', stop)
  }
  const refuse = (respond: () => void): void => {
    stop()
    charge.release()
    respond()
  }
  const timer = setTimeout(() => refuse(options.onTimeout), options.timeoutMs)
  request.on('data', onData)
  request.on('end', onEnd)
  request.on('close', stop)
}
