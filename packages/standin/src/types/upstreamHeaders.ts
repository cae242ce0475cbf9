import type { IncomingHttpHeaders } from 'node:http'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { LoadReport } from '@cowsliplead/core/types/upstream.js'

/** What the headers of a request say. */
export interface RequestMarks {
  readonly requestId: string | undefined
  /** Absolute; undefined where the request has no valid deadline. */
  readonly deadlineAt: Milliseconds | undefined
  /** The upstream that the request is meant for; undefined where it does not say. */
  readonly targetId: string | undefined
}

/** An upstream's load as its reports have it. */
export type Load = Omit<LoadReport, 'receivedAt'>

/** What the headers of a response say. */
export interface ResponseMarks {
  readonly requestId: string | undefined
  readonly upstreamId: string
  /** Undefined where the upstream does not report its load. */
  readonly load: Load | undefined
}

/** The headers by which an upstream stand-in is spoken to. */
export interface UpstreamHeaders {
  readRequest (headers: IncomingHttpHeaders, now: Milliseconds): RequestMarks
  writeResponse (marks: ResponseMarks): Record<string, string>
  /** On responses to requests that did not run. */
  readonly notRun: Readonly<Record<string, string>>
  /** Path that is answered at once with the load; undefined where there is none. */
  readonly healthPath: string | undefined
}
