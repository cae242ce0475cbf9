import { promisify } from 'node:util'
import { gunzip } from 'node:zlib'
import { request, type Dispatcher } from 'undici'
import { Result } from 'true-myth/result'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'

/** Header by which the platform tells its clients apart. */
export const CLIENT_ID_HEADER = 'x-client-id'

/** Where and how an adapter reaches the platform. */
export interface PlatformEndpoint {
  /** Base URL without a trailing slash, for example `http://10.0.0.1:7000`. */
  readonly url: string
  /** This VM's id, sent in the client id header. */
  readonly clientId: string
  /** Time allowed for a whole exchange, on top of the wait that a read asks for. */
  readonly timeoutMs: Milliseconds
  /** Connections to use; undici's global ones where absent. */
  readonly dispatcher?: Dispatcher
}

/** One HTTP request to the platform. */
export interface ExchangeRequest {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly body?: string
  readonly timeoutMs: Milliseconds
}

/** A complete HTTP response with a JSON body. */
export interface ExchangeResponse {
  readonly status: number
  /** Undefined where the body is not JSON. */
  readonly body: unknown
}

/** Why no complete response arrived. */
export interface ExchangeFailure {
  /** True where the request cannot have reached the service. */
  readonly neverSent: boolean
  readonly detail: string
}

const unzip = promisify(gunzip)

/** Failures while connecting: no byte of the request has left. */
const CONNECT_FAILURES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT'])

/** Sends one request and reads the whole response, within the time allowed. */
export async function exchange (endpoint: PlatformEndpoint, sent: ExchangeRequest): Promise<Result<ExchangeResponse, ExchangeFailure>> {
  try {
    const response = await request(endpoint.url + sent.path, {
      method: sent.method,
      headers: requestHeaders(endpoint, sent),
      body: sent.body,
      dispatcher: endpoint.dispatcher,
      // The signal bounds connecting, the headers and the body together; it throws on a fraction.
      signal: AbortSignal.timeout(Math.ceil(sent.timeoutMs))
    })
    const bytes = Buffer.from(await response.body.arrayBuffer())
    const text = response.headers['content-encoding'] === 'gzip' ? await unzip(bytes) : bytes
    return Result.ok({ status: response.statusCode, body: parseJson(text.toString('utf8')) })
  } catch (error) {
    return Result.err(describeFailure(error))
  }
}

function requestHeaders (endpoint: PlatformEndpoint, sent: ExchangeRequest): Record<string, string> {
  // The VM list is read whole each second and is by far the most that a daemon receives for control.
  const headers: Record<string, string> = { [CLIENT_ID_HEADER]: endpoint.clientId, 'accept-encoding': 'gzip' }
  if (sent.body !== undefined) headers['content-type'] = 'application/json'
  return headers
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function describeFailure (error: unknown): ExchangeFailure {
  const code = (error as { code?: unknown }).code
  const neverSent = typeof code === 'string' && CONNECT_FAILURES.has(code)
  const detail = error instanceof Error ? error.message || String(code) : String(error)
  return { neverSent, detail }
}
