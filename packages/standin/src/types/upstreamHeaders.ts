import type { IncomingHttpHeaders } from 'node:http'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { LoadReport } from '@cowsliplead/core/types/upstream.js'

/** What an upstream reads from the headers of a request. */
export interface RequestMetadata {
  readonly requestId: string | undefined
  /** Absolute; undefined if the request has no valid deadline. */
  readonly deadlineAt: Milliseconds | undefined
  /** Id of the upstream that the request is addressed to; undefined if the headers do not name one. */
  readonly targetId: string | undefined
}

/** An upstream's load, as its load reports state it. */
export type Load = Omit<LoadReport, 'receivedAt'>

/** What an upstream states in the headers of a response. */
export interface ResponseMetadata {
  readonly requestId: string | undefined
  readonly upstreamId: string
  /** Undefined if the response carries no load report. */
  readonly load: Load | undefined
  /** Requests per second that the upstream takes from all VMs together; undefined if it names no limit. */
  readonly requestsPerSecond: number | undefined
}

/** The headers that an upstream stand-in exchanges with daemons. */
export interface UpstreamHeaders {
  readRequest (headers: IncomingHttpHeaders, now: Milliseconds): RequestMetadata
  writeResponse (metadata: ResponseMetadata): Record<string, string>
  /** Headers of responses to requests that did not run. */
  readonly notRun: Readonly<Record<string, string>>
  /** Path of the health check, which is answered without queueing and with a load report; undefined if there is none. */
  readonly healthPath: string | undefined
}
