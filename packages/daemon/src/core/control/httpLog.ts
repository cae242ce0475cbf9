import { Result } from 'true-myth/result'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { AppendError, JsonValue, Log, LogPage, ReadError } from '../../types/platform.js'
import { APPEND_RESPONSE, EXPIRED_RESPONSE, LOG_PAGE } from '../../types/platformSchema.js'
import { exchange, type ExchangeFailure, type ExchangeResponse, type PlatformEndpoint } from './httpExchange.js'

const CREATED = 201
const OK = 200
const GONE = 410

/** The platform's log over HTTP. */
export class HttpLog implements Log {
  private constructor (private readonly endpoint: PlatformEndpoint) {}

  static create (endpoint: PlatformEndpoint): HttpLog {
    return new HttpLog(endpoint)
  }

  async append (stream: string, data: JsonValue): Promise<Result<number, AppendError>> {
    const response = await exchange(this.endpoint, {
      method: 'POST',
      path: streamPath(stream),
      body: JSON.stringify(data),
      timeoutMs: this.endpoint.timeoutMs
    })
    if (response.isErr) return Result.err(appendFailure(response.error))
    return readAppendResponse(response.value)
  }

  async read (stream: string, from: number, limit: number, waitMs: Milliseconds): Promise<Result<LogPage, ReadError>> {
    const response = await exchange(this.endpoint, {
      method: 'GET',
      path: `${streamPath(stream)}?from=${from}&limit=${limit}&waitMs=${waitMs}`,
      timeoutMs: this.endpoint.timeoutMs + waitMs
    })
    if (response.isErr) return Result.err({ kind: 'unavailable', detail: response.error.detail })
    return readPageResponse(response.value)
  }
}

function streamPath (stream: string): string {
  return `/streams/${encodeURIComponent(stream)}`
}

function appendFailure (failure: ExchangeFailure): AppendError {
  return { kind: failure.neverSent ? 'unavailable' : 'unconfirmed', detail: failure.detail }
}

function readAppendResponse ({ status, body }: ExchangeResponse): Result<number, AppendError> {
  if (isRefusal(status)) return Result.err({ kind: 'unavailable', detail: `status ${status}` })
  const parsed = APPEND_RESPONSE.safeParse(body)
  if ((status === CREATED || status === OK) && parsed.success) return Result.ok(parsed.data.offset)
  // Any other response, for example 500, may follow an append that took effect.
  return Result.err({ kind: 'unconfirmed', detail: `status ${status}` })
}

/** 4xx and 503 are sent before the service touches the stream, except 408, which a proxy may send after forwarding. */
function isRefusal (status: number): boolean {
  return status === 503 || (status >= 400 && status < 500 && status !== 408)
}

function readPageResponse ({ status, body }: ExchangeResponse): Result<LogPage, ReadError> {
  const expired = status === GONE ? EXPIRED_RESPONSE.safeParse(body) : undefined
  if (expired?.success) return Result.err({ kind: 'expired', earliest: expired.data.earliest })
  const page = LOG_PAGE.safeParse(body)
  if (status === OK && page.success) return Result.ok(page.data)
  return Result.err({ kind: 'unavailable', detail: `status ${status}` })
}
