import type { IncomingMessage, ServerResponse } from 'node:http'
import { Readable } from 'node:stream'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import { BodyBuffer } from '../../utils/bodyBuffer.js'
import type { BodyBudget, BodyCharge } from '../overload/bodyBudget.js'

/** Bytes that wait for the upstream, in addition to the part read before streaming began. */
const MAX_WAITING_BYTES = 64 * 1024

/** Options of a streamed body. */
export interface UploadStreamOptions {
  /** What was read of the body before streaming began. */
  readonly start: readonly Buffer[]
  /** Longest pause of the caller. */
  readonly timeoutMs: Milliseconds
  /** Size limit of the body, also of the part that is dropped; a caller that goes on beyond it loses its connection. */
  readonly maxBytes: number
  /** What the bodies of all requests may take together; a caller that takes most of it loses its connection. */
  readonly budget: BodyBudget
  /** The limit was exceeded. */
  readonly onExceeded: () => void
}

/**
 * A caller's body on its way to an upstream. Destroying it does not close the caller's connection, as a failed attempt must not.
 * What waits is kept in one buffer, because chunks of one byte would take a hundred times their length in a stream's queue.
 */
export class UploadStream extends Readable {
  private readonly waiting = BodyBuffer.create()
  private readonly charge: BodyCharge
  private isWanted = false
  private hasEnded = false

  private constructor (private readonly request: IncomingMessage, response: ServerResponse, options: UploadStreamOptions) {
    // The stream's own queue holds one chunk; the others wait here.
    super({ highWaterMark: 1 })
    for (const chunk of options.start) this.waiting.append(chunk)
    this.charge = options.budget.open(() => request.destroy(new Error('the request bodies take too much memory')))
    response.once('close', () => this.charge.release())
    // An attempt that has ended does not read the stream any more, and nobody else handles its errors.
    this.on('error', () => {})
    request.on('data', this.onData)
    request.once('end', this.onEnd)
    request.once('error', error => this.destroy(error))
    this.enforcePauseTimeout(options.timeoutMs)
    this.enforceLimit(options)
  }

  static create (request: IncomingMessage, response: ServerResponse, options: UploadStreamOptions): UploadStream {
    return new UploadStream(request, response, options)
  }

  override _read (): void {
    this.isWanted = true
    this.pushWaiting()
    this.request.resume()
  }

  /** If the upstream answers early, the rest is read and dropped, so that the caller's connection stays usable. */
  override _destroy (error: Error | null, callback: (error: Error | null) => void): void {
    this.request.off('data', this.onData)
    this.request.off('end', this.onEnd)
    this.waiting.take()
    this.request.resume()
    callback(error)
  }

  private readonly onData = (chunk: Buffer): void => {
    this.waiting.append(chunk)
    if (this.isWanted) this.pushWaiting()
    this.charge.onChunk(this.waiting.capacity)
    if (this.waiting.length >= MAX_WAITING_BYTES) this.request.pause()
  }

  private readonly onEnd = (): void => {
    this.hasEnded = true
    this.charge.onEnd(this.waiting.capacity)
    if (this.isWanted) this.pushWaiting()
  }

  private pushWaiting (): void {
    const [chunk] = this.waiting.take()
    if (chunk !== undefined) {
      this.isWanted = false
      this.push(chunk)
    }
    if (this.hasEnded) this.push(null)
  }

  /** Counts what arrives also after the stream was destroyed. */
  private enforceLimit ({ start, maxBytes, onExceeded }: UploadStreamOptions): void {
    const { request } = this
    let size = start.reduce((sum, { length }) => sum + length, 0)
    const count = (chunk: Buffer): void => {
      size += chunk.length
      if (size <= maxBytes) return
      request.off('data', count)
      onExceeded()
      request.destroy(new Error('the request body exceeds the limit'))
    }
    request.on('data', count)
  }

  /** Closes the connection of a caller that stops sending; pauses caused by backpressure do not count. */
  private enforcePauseTimeout (timeoutMs: Milliseconds): void {
    const { request } = this
    const timer = setTimeout(() => {
      if (request.isPaused()) timer.refresh()
      else request.destroy(new Error('the caller stopped sending the request body'))
    }, timeoutMs)
    const stop = (): void => clearTimeout(timer)
    request.on('data', () => timer.refresh())
    request.once('end', stop)
    request.once('close', stop)
    this.once('close', stop)
  }
}
