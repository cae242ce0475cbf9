import type { Readable } from 'node:stream'
import { findHeader } from '../../utils/headers.js'

/** A request to an upstream. */
export interface OutgoingRequest {
  readonly method: string
  readonly path: string
  /** Alternating names and values; `content-length` is the only framing header among them. */
  readonly headers: readonly string[]
  readonly body: Buffer | Readable | null
}

/** The head of a request; `authority` is its host unless the headers name one. */
export function encodeHead (request: OutgoingRequest, authority: string): string {
  const { method, path, headers, body } = request
  let head = `${method} ${path} HTTP/1.1\r\n`
  if (findHeader(headers, 'host') === undefined) head += `Host: ${authority}\r\n`
  for (let i = 0; i + 1 < headers.length; i += 2) head += `${headers[i]}: ${headers[i + 1]}\r\n`
  if (findHeader(headers, 'content-length') === undefined) {
    if (Buffer.isBuffer(body)) head += `Content-Length: ${body.length}\r\n`
    else if (body !== null) head += 'Transfer-Encoding: chunked\r\n'
  }
  return `${head}Connection: keep-alive\r\n\r\n`
}
