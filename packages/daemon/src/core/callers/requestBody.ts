import type { IncomingMessage } from 'node:http'
import { PassThrough, type Readable } from 'node:stream'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'

/** Request bodies up to this size are held, so that they can be sent again; longer ones are streamed once. */
export const HELD_REQUEST_BYTES = 256 * 1024

/** Buffer of a streamed body; the part read before streaming began comes on top. */
const STREAM_BUFFER_BYTES = 64 * 1024

/** A request body: none, held, or a stream that can be sent once. */
export type RequestBody = Buffer | Readable | null

/** Receives the outcome of reading a body. */
export interface BodyReader {
  /** Longest time to receive a held body, and longest pause within a streamed one. */
  readonly timeoutMs: Milliseconds
  /** Longest body that is accepted. */
  readonly maxBytes: number
  onBody (body: RequestBody): void
  /** The held body did not arrive in time. */
  onTimeout (): void
  onTooLarge (): void
}

/** Reads a short body whole, or turns a long one into a stream; `reader` is not called when the caller leaves first. */
export function readBody (request: IncomingMessage, reader: BodyReader): void {
  if (!hasBody(request)) return reader.onBody(null)
  const length = request.headers['content-length']
  if (length !== undefined && Number(length) > reader.maxBytes) return reader.onTooLarge()
  if (length !== undefined && Number(length) > HELD_REQUEST_BYTES) return reader.onBody(toStream(request, [], reader.timeoutMs))
  holdBody(request, reader)
}

/** Whether the head announces a body. */
export function hasBody ({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || (headers['content-length'] ?? '0') !== '0'
}

function holdBody (request: IncomingMessage, reader: BodyReader): void {
  const chunks: Buffer[] = []
  let size = 0
  const onData = (chunk: Buffer): void => {
    chunks.push(chunk)
    size += chunk.length
    if (size > reader.maxBytes) {
      stop()
      return reader.onTooLarge()
    }
    if (size <= HELD_REQUEST_BYTES) return
    stop()
    reader.onBody(toStream(request, chunks, reader.timeoutMs))
  }
  const onEnd = (): void => {
    stop()
    reader.onBody(chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks))
  }
  const stop = (): void => {
    clearTimeout(timer)
    request.off('data', onData)
    request.off('end', onEnd)
    request.off('close', stop)
  }
  const timer = setTimeout(() => {
    stop()
    reader.onTimeout()
  }, reader.timeoutMs)
  request.on('data', onData)
  request.on('end', onEnd)
  request.on('close', stop)
}

/** A stream of its own: a failed attempt must not close the caller's connection. */
function toStream (request: IncomingMessage, chunks: readonly Buffer[], timeoutMs: Milliseconds): Readable {
  const stream = new PassThrough({ highWaterMark: STREAM_BUFFER_BYTES })
  stream.on('error', () => {})
  for (const chunk of chunks) stream.write(chunk)
  request.pipe(stream)
  request.once('error', error => stream.destroy(error))
  watchPauses(request, stream, timeoutMs)
  // Where the upstream answered early, the rest is read and dropped: the caller's connection stays usable.
  stream.once('close', () => request.resume())
  return stream
}

/** Closes the connection of a caller that stops sending; a pause by which the upstream slows the caller does not count. */
function watchPauses (request: IncomingMessage, stream: PassThrough, timeoutMs: Milliseconds): void {
  const timer = setTimeout(() => {
    if (stream.writableNeedDrain) timer.refresh()
    else request.destroy(new Error('the caller stopped sending the body'))
  }, timeoutMs)
  const stop = (): void => clearTimeout(timer)
  request.on('data', () => timer.refresh())
  request.once('end', stop)
  request.once('close', stop)
  stream.once('close', stop)
}
