import { hash } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { IDEMPOTENCY_KEY_HEADER } from '../../utils/headers.js'
import type { RequestBody } from './requestBody.js'

const MAX_FINGERPRINT_LENGTH = 200

/** What a request has in common with its repetitions: method, path, and the caller's key or the body. */
export function fingerprintOf (request: IncomingMessage, body: RequestBody): string {
  const key = request.headers[IDEMPOTENCY_KEY_HEADER]
  const identity = `${request.method} ${request.url}`
  if (typeof key === 'string') return shorten(`${identity} ${key}`)
  return shorten(Buffer.isBuffer(body) && body.length > 0 ? `${identity} ${hash('sha1', body, 'base64')}` : identity)
}

/** Limits the size of a suspect mark of the request in memory and in the store. */
function shorten (fingerprint: string): string {
  return fingerprint.length <= MAX_FINGERPRINT_LENGTH ? fingerprint : hash('sha256', fingerprint, 'base64')
}
