import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import { readPattern } from '../utils/pattern.js'

/** Bytes per write of a download. */
const CHUNK_BYTES = 65_536

/** Response headers by name, without those that describe the body. */
export type ResponseHeaders = Record<string, string>

/** A download of `bytes` bytes, with a pause after each chunk. */
export interface Download {
  readonly bytes: number
  readonly pauseMs: Milliseconds
}

/** Sends a JSON body with its exact content length; if `truncated`, destroys the connection after half of the body. */
export async function sendJson (response: ServerResponse, headers: ResponseHeaders, body: object, truncated: boolean): Promise<void> {
  const bytes = Buffer.from(JSON.stringify(body))
  response.writeHead(200, { ...headers, 'content-type': 'application/json', 'content-length': String(bytes.length) })
  if (!truncated) response.end(bytes)
  else await writeAndDestroy(response, bytes.subarray(0, bytes.length / 2))
}

/** Sends a short text with its exact content length. */
export function sendText (response: ServerResponse, status: number, headers: ResponseHeaders, text: string): void {
  response.writeHead(status, { ...headers, 'content-type': 'text/plain', 'content-length': String(text.length) }).end(text)
}

/** Streams the pattern with backpressure; rejects early if `cancelled` is aborted. */
export async function sendDownload (response: ServerResponse, headers: ResponseHeaders, { bytes, pauseMs }: Download, truncated: boolean, cancelled: AbortSignal): Promise<void> {
  response.writeHead(200, { ...headers, 'content-type': 'application/octet-stream', 'content-length': String(bytes) })
  const sentBytes = truncated ? Math.floor(bytes / 2) : bytes
  for (let offset = 0; offset < sentBytes; offset += CHUNK_BYTES) {
    const chunk = readPattern(offset, Math.min(CHUNK_BYTES, sentBytes - offset))
    if (!response.write(chunk)) await once(response, 'drain', { signal: cancelled })
    if (pauseMs > 0) await sleep(pauseMs, undefined, { signal: cancelled })
  }
  if (truncated) response.destroy()
  else response.end()
}

/** Flushes the bytes before it destroys the connection, so that the receiver sees a partial body, not only a reset. */
async function writeAndDestroy (response: ServerResponse, bytes: Buffer): Promise<void> {
  await new Promise(resolve => response.write(bytes, resolve))
  response.destroy()
}
