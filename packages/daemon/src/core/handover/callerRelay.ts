import type { ServerResponse } from 'node:http'
import type { ResponseHead } from '../../types/responseSink.js'
import { BodyBuffer } from '../../utils/bodyBuffer.js'
import { abortResponse } from '../../utils/abortResponse.js'
import { responseHeaders } from '../../utils/headers.js'
import { MAX_BUFFERED_RESPONSE_BYTES } from '../upstreams/activeAttempt.js'

const NO_HEADERS: ReadonlySet<string> = new Set()

/**
 * Passes another VM's response on to a caller, unchanged. A response without a length is held until it is complete, because the
 * caller could not tell a part of its body from the whole. The other VM has buffered such a response, so it is short.
 */
export class CallerRelay {
  private held: { readonly head: ResponseHead, readonly body: BodyBuffer } | undefined

  private constructor (private readonly response: ServerResponse, private readonly closesConnection: () => boolean) {}

  static create (response: ServerResponse, closesConnection: () => boolean): CallerRelay {
    return new CallerRelay(response, closesConnection)
  }

  /** Whether the caller has received nothing yet. */
  get isUnsent (): boolean {
    return !this.response.headersSent
  }

  start (head: ResponseHead): void {
    if (head.isFramed) this.writeHead(head)
    else this.held = { head, body: BodyBuffer.create() }
  }

  /** Returns false for a chunk with which a held response would be longer than the other VM may have buffered. */
  takes (chunk: Buffer): boolean {
    return this.held === undefined || this.held.body.length + chunk.length <= MAX_BUFFERED_RESPONSE_BYTES
  }

  /** Returns false to request a pause until the response drains. */
  write (chunk: Buffer): boolean {
    if (this.held === undefined) return this.response.write(chunk)
    this.held.body.append(chunk)
    return true
  }

  end (): void {
    if (this.held === undefined) return void this.response.end()
    this.writeHead(this.held.head)
    this.response.end(this.held.body.take()[0])
  }

  /** Closes the connection, so that what was sent does not look complete. */
  abort (): void {
    abortResponse(this.response)
  }

  private writeHead ({ status, rawHeaders, isFramed }: ResponseHead): void {
    const headers = responseHeaders(rawHeaders, NO_HEADERS)
    if (this.closesConnection() || !isFramed) headers.push('connection', 'close')
    // The caller's body is delimited in the same way as the upstream's.
    if (!isFramed) this.response.useChunkedEncodingByDefault = false
    this.response.writeHead(status, headers)
  }
}
