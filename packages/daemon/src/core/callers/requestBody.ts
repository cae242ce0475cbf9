import type { IncomingMessage } from 'node:http'
import { PassThrough, type Readable } from 'node:stream'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'

/** Request bodies up to this size are buffered, so that they can be sent again; longer ones are streamed once. */
export const MAX_BUFFERED_REQUEST_BYTES = 256 * 1024

/** Buffer size of a streamed body, in addition to the part read before streaming began. */
const STREAM_BUFFER_BYTES = 64 * 1024

/** A request body: none, buffered, or a stream that can be sent only once. */
export type RequestBody = Buffer | Readable | null

/** Limits for reading a request body, and callbacks for the outcome. */
export interface ReadBodyOptions {
  /** Timeout for receiving a buffered body, and for each pause within a streamed one. */
  readonly timeoutMs: Milliseconds
  /** Size limit of the body. */
  readonly maxBytes: number
  onBody (body: RequestBody): void
  /** A body that was to be buffered did not arrive in time. */
  onTimeout (): void
  onTooLarge (): void
}

/** Buffers a short body, or turns a long one into a stream. No callback is called if the caller disconnects first. */
export function readBody (request: IncomingMessage, options: ReadBodyOptions): void {
  if (!hasBody(request)) return options.onBody(null)
  const length = request.headers['content-length']
  if (length !== undefined && Number(length) > options.maxBytes) return options.onTooLarge()
  if (length !== undefined && Number(length) > MAX_BUFFERED_REQUEST_BYTES) return options.onBody(toStream(request, [], options.timeoutMs))
  bufferBody(request, options)
}

/** Whether the head announces a body. */
export function hasBody ({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || (headers['content-length'] ?? '0') !== '0'
}

function bufferBody (request: IncomingMessage, options: ReadBodyOptions): void {
  const chunks: Buffer[] = []
  let size = 0
  const onData = (chunk: Buffer): void => {
    chunks.push(chunk)
    size += chunk.length
    if (size > options.maxBytes) {
      stop()
      return options.onTooLarge()
    }
    if (size <= MAX_BUFFERED_REQUEST_BYTES) return
    stop()
    options.onBody(toStream(request, chunks, options.timeoutMs))
  }
  const onEnd = (): void => {
    stop()
    options.onBody(chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks))
  }
  const stop = (): void => {
    clearTimeout(timer)
    request.off('data', onData)
    request.off('end', onEnd)
    request.off('close', stop)
  }
  const timer = setTimeout(() => {
    stop()
    options.onTimeout()
  }, options.timeoutMs)
  request.on('data', onData)
  request.on('end', onEnd)
  request.on('close', stop)
}

/** Pipes the body into a separate stream, because a failed attempt must not close the caller's connection. */
function toStream (request: IncomingMessage, chunks: readonly Buffer[], timeoutMs: Milliseconds): Readable {
  const stream = new PassThrough({ highWaterMark: STREAM_BUFFER_BYTES })
  stream.on('error', () => {})
  for (const chunk of chunks) stream.write(chunk)
  request.pipe(stream)
  request.once('error', error => stream.destroy(error))
  enforcePauseTimeout(request, stream, timeoutMs)
  // If the upstream answers early, the rest is read and dropped, so that the caller's connection stays usable.
  stream.once('close', () => request.resume())
  return stream
}

/** Closes the connection of a caller that stops sending; pauses caused by backpressure do not count. */
function enforcePauseTimeout (request: IncomingMessage, stream: PassThrough, timeoutMs: Milliseconds): void {
  const timer = setTimeout(() => {
    if (stream.writableNeedDrain) timer.refresh()
    else request.destroy(new Error('the caller stopped sending the request body'))
  }, timeoutMs)
  const stop = (): void => clearTimeout(timer)
  request.on('data', () => timer.refresh())
  request.once('end', stop)
  request.once('close', stop)
  stream.once('close', stop)
}
