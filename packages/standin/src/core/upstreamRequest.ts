import { createHash } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { RequestMetadata } from '../types/upstreamHeaders.js'
import type { Download } from './upstreamResponse.js'

/** One request, with its body reduced to size and hash. */
export interface UpstreamRequest extends RequestMetadata {
  readonly method: string
  readonly path: string
  readonly idempotencyKey: string | undefined
  readonly crashes: boolean
  readonly download: Download | undefined
  readonly bodyBytes: number
  readonly bodySha256: string
}

/** Selects the requests that crash the upstream: by header name, or by path prefix. */
export interface CrashTrigger {
  readonly header: string
  readonly path?: string
}

/** Reads the request including its body; rejects if the connection closes first. */
export async function readRequest (message: IncomingMessage, metadata: RequestMetadata, crash: CrashTrigger): Promise<UpstreamRequest> {
  const url = new URL(message.url ?? '/', 'http://upstream')
  const { bodyBytes, bodySha256 } = await hashBody(message)
  return {
    method: message.method ?? 'GET',
    path: url.pathname,
    ...metadata,
    idempotencyKey: header(message, 'idempotency-key'),
    crashes: header(message, crash.header) !== undefined || (crash.path !== undefined && url.pathname.startsWith(crash.path)),
    download: parseDownload(url),
    bodyBytes,
    bodySha256
  }
}

/** Returns a signal that is aborted if the connection closes before the response is complete. */
export function abortOnDisconnect (response: ServerResponse): AbortSignal {
  const controller = new AbortController()
  response.once('close', () => {
    if (!response.writableFinished) controller.abort()
  })
  return controller.signal
}

async function hashBody (message: IncomingMessage): Promise<Pick<UpstreamRequest, 'bodyBytes' | 'bodySha256'>> {
  const hash = createHash('sha256')
  let bodyBytes = 0
  for await (const chunk of message as AsyncIterable<Buffer>) {
    hash.update(chunk)
    bodyBytes += chunk.length
  }
  return { bodyBytes, bodySha256: hash.digest('hex') }
}

function header (message: IncomingMessage, name: string): string | undefined {
  const value = message.headers[name]
  return Array.isArray(value) ? value[0] : value
}

function parseDownload (url: URL): Download | undefined {
  if (!url.pathname.startsWith('/download')) return undefined
  return {
    bytes: toCount(url.searchParams.get('bytes')),
    pauseMs: toCount(url.searchParams.get('pauseMs'))
  }
}

function toCount (value: string | null): number {
  const count = Math.floor(Number(value))
  return Number.isFinite(count) && count > 0 ? count : 0
}
