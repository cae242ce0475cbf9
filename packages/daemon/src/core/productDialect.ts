import type { IncomingHttpHeaders } from 'node:http'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { AttemptHeaders, AttemptMetadata, Dialect, ResponseMetadata } from '../types/dialect.js'
import { AUTHORIZATION_HEADER, bearerToken, CODE_HEADER, CUSTOMER_HEADER, DEADLINE_HEADER, findHeader, headerValue, keepAliveMs, LOAD_REPORT_HEADER, NOT_RUN_HEADER, REQUEST_ID_HEADER, REQUEST_RATE_HEADER, TIMEOUT_HEADER } from '../utils/headers.js'
import { parseLoadReport } from '../utils/loadReport.js'
import { parseRateNotice } from '../utils/rateNotice.js'

/** Returns the wall-clock time in milliseconds since the epoch. */
export type WallClock = () => Milliseconds

/** The product's default headers. Each attempt has its own id, so that late responses can be recognized. */
export class ProductDialect implements Dialect {
  readonly strippedRequestHeaders = new Set([REQUEST_ID_HEADER, DEADLINE_HEADER, TIMEOUT_HEADER])
  readonly strippedResponseHeaders = new Set([REQUEST_ID_HEADER, LOAD_REPORT_HEADER, NOT_RUN_HEADER, CODE_HEADER, REQUEST_RATE_HEADER])
  /** The connections of a crashed process also close in an orderly way. */
  readonly acceptsCloseDelimited = false
  readonly credentialHeaders = new Set([AUTHORIZATION_HEADER, CUSTOMER_HEADER])
  readonly forwardsCallerIds = false

  private constructor (private readonly wallClock: WallClock) {}

  static create (wallClock: WallClock = Date.now): ProductDialect {
    return new ProductDialect(wallClock)
  }

  callerRequestId (headers: IncomingHttpHeaders): string | undefined {
    return headers[REQUEST_ID_HEADER] as string | undefined
  }

  timeLeftMs (headers: IncomingHttpHeaders): Milliseconds | undefined {
    const absolute = parseIntegerHeader(headers[DEADLINE_HEADER])
    const relative = parseIntegerHeader(headers[TIMEOUT_HEADER])
    if (absolute === undefined) return relative
    return Math.min(absolute - this.wallClock(), relative ?? Infinity)
  }

  credential (headers: IncomingHttpHeaders): string | undefined {
    return bearerToken(headers.authorization)
  }

  customerHeaders (name: string): readonly string[] {
    return [CUSTOMER_HEADER, headerValue(name)]
  }

  timeLeftHeaders (timeLeftMs: Milliseconds): readonly string[] {
    return [DEADLINE_HEADER, String(Math.floor(this.wallClock() + timeLeftMs)), TIMEOUT_HEADER, String(Math.floor(timeLeftMs))]
  }

  attemptHeaders ({ requestId, attemptNumber, deadlineAt, now }: AttemptMetadata): AttemptHeaders {
    const echoedId = `${requestId}.${attemptNumber}`
    const timeLeftMs = Math.max(deadlineAt - now, 0)
    const headers = [
      REQUEST_ID_HEADER, echoedId,
      ...this.timeLeftHeaders(timeLeftMs)
    ]
    return { headers, echoedId }
  }

  readResponseMetadata (status: number, rawHeaders: readonly string[], now: Milliseconds): ResponseMetadata {
    return {
      echoedId: findHeader(rawHeaders, REQUEST_ID_HEADER),
      notRun: status === 503 && findHeader(rawHeaders, NOT_RUN_HEADER) === '1',
      isFromOtherUpstream: false,
      isUnsigned: false,
      isUnfoundedPromise: false,
      report: parseLoadReport(findHeader(rawHeaders, LOAD_REPORT_HEADER), now),
      rateNotice: parseRateNotice(findHeader(rawHeaders, REQUEST_RATE_HEADER)),
      idleTimeoutMs: keepAliveMs(rawHeaders),
      isLeaving: false,
      retryAfterMs: undefined,
      warmupLeftMs: undefined
    }
  }

  probeHeaders (): readonly string[] {
    return []
  }

  /** An integer number of seconds, as HTTP defines the header. */
  retryAfter (waitMs: Milliseconds): string {
    return String(Math.ceil(waitMs / 1000))
  }

  addedResponseHeaders (requestId: string): readonly string[] {
    return [REQUEST_ID_HEADER, requestId]
  }
}

function parseIntegerHeader (header: string | string[] | undefined): number | undefined {
  if (typeof header !== 'string' || !/^\d{1,15}$/.test(header)) return undefined
  return Number(header)
}
