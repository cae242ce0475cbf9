import type { IncomingHttpHeaders } from 'node:http'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { AttemptHeaders, AttemptIdentity, Dialect, ResponseMarks } from '../types/dialect.js'
import { CODE_HEADER, DEADLINE_HEADER, findHeader, keepAliveMs, LOAD_REPORT_HEADER, NOT_RUN_HEADER, REQUEST_ID_HEADER, TIMEOUT_HEADER } from '../utils/headers.js'
import { parseLoadReport } from '../utils/loadReport.js'

/** Reads the time of day in milliseconds since the epoch. */
export type TimeOfDay = () => Milliseconds

/** The product's own headers; each attempt has an id of its own, so that late responses are told apart. */
export class ProductDialect implements Dialect {
  readonly keptFromUpstreams = new Set([REQUEST_ID_HEADER, DEADLINE_HEADER, TIMEOUT_HEADER])
  readonly keptFromCallers = new Set([REQUEST_ID_HEADER, LOAD_REPORT_HEADER, NOT_RUN_HEADER, CODE_HEADER])
  /** A crashed process closes its connections in order too. */
  readonly acceptsUnframed = false
  readonly forwardsCallerIds = false

  private constructor (private readonly timeOfDay: TimeOfDay) {}

  static create (timeOfDay: TimeOfDay = Date.now): ProductDialect {
    return new ProductDialect(timeOfDay)
  }

  callerRequestId (headers: IncomingHttpHeaders): string | undefined {
    return headers[REQUEST_ID_HEADER] as string | undefined
  }

  timeLeftMs (headers: IncomingHttpHeaders): Milliseconds | undefined {
    const absolute = numberIn(headers[DEADLINE_HEADER])
    const relative = numberIn(headers[TIMEOUT_HEADER])
    if (absolute === undefined) return relative
    return Math.min(absolute - this.timeOfDay(), relative ?? Infinity)
  }

  attemptHeaders ({ requestId, attempt, deadlineAt, now }: AttemptIdentity): AttemptHeaders {
    const echoedId = `${requestId}.${attempt}`
    const timeLeftMs = Math.max(deadlineAt - now, 0)
    const headers = [
      REQUEST_ID_HEADER, echoedId,
      DEADLINE_HEADER, String(Math.floor(this.timeOfDay() + timeLeftMs)),
      TIMEOUT_HEADER, String(Math.floor(timeLeftMs))
    ]
    return { headers, echoedId }
  }

  readResponse (status: number, rawHeaders: readonly string[], now: Milliseconds): ResponseMarks {
    return {
      echoedId: findHeader(rawHeaders, REQUEST_ID_HEADER),
      notRun: status === 503 && findHeader(rawHeaders, NOT_RUN_HEADER) === '1',
      isOtherUpstream: false,
      report: parseLoadReport(findHeader(rawHeaders, LOAD_REPORT_HEADER), now),
      idleTimeoutMs: keepAliveMs(rawHeaders)
    }
  }

  probeHeaders (): readonly string[] {
    return []
  }

  /** Whole seconds, as HTTP defines the header. */
  retryAfter (waitMs: Milliseconds): string {
    return String(Math.ceil(waitMs / 1000))
  }

  callerHeaders (requestId: string): readonly string[] {
    return [REQUEST_ID_HEADER, requestId]
  }
}

function numberIn (header: string | string[] | undefined): number | undefined {
  if (typeof header !== 'string' || !/^\d{1,15}$/.test(header)) return undefined
  return Number(header)
}
