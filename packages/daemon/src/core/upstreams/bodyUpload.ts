import type { Socket } from 'node:net'
import type { Readable } from 'node:stream'

/** How a body is sent, and who is notified. */
export interface BodyUploadOptions {
  readonly isChunked: boolean
  /** False once the exchange has ended; nothing further is sent then. */
  readonly isCurrent: () => boolean
  /** A part of the body was written to the socket. */
  readonly onSent: () => void
  /** The whole body was written to the socket. */
  readonly onEnd: () => void
  /** The body cannot be completed. */
  readonly onError: () => void
}

/** Sends a streamed body as it arrives, no faster than the socket takes it. */
export function uploadBody (body: Readable, socket: Socket, { isChunked, isCurrent, onSent, onEnd, onError }: BodyUploadOptions): void {
  body.on('data', (chunk: Buffer) => {
    if (!isCurrent()) return
    if (isChunked) socket.write(`${chunk.length.toString(16)}\r\n`)
    const flowing = socket.write(chunk)
    if (isChunked) socket.write('\r\n')
    onSent()
    if (flowing) return
    body.pause()
    socket.once('drain', () => body.resume())
  })
  body.once('end', () => {
    if (!isCurrent()) return
    onEnd()
    if (isChunked) socket.write('0\r\n\r\n')
  })
  body.once('error', () => {
    if (isCurrent()) onError()
  })
}
