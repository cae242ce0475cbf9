import type { IncomingHttpHeaders } from 'node:http'
import type { RequestMetadata, ResponseMetadata, UpstreamHeaders } from '../types/upstreamHeaders.js'

/** The product's own headers, as an upstream sees them. */
export class ProductHeaders implements UpstreamHeaders {
  readonly notRun = { 'x-not-run': '1' }
  readonly healthPath = undefined

  private constructor () {}

  static create (): ProductHeaders {
    return new ProductHeaders()
  }

  readRequest (headers: IncomingHttpHeaders): RequestMetadata {
    return {
      requestId: headers['x-request-id'] as string | undefined,
      deadlineAt: parseDeadline(headers['x-deadline-at'] as string | undefined),
      targetId: undefined
    }
  }

  writeResponse ({ requestId, load, requestsPerSecond }: ResponseMetadata): Record<string, string> {
    return {
      ...(requestId === undefined ? {} : { 'x-request-id': requestId }),
      ...(load === undefined ? {} : { 'x-load-report': JSON.stringify(load) }),
      ...(requestsPerSecond === undefined ? {} : { 'x-request-rate': String(requestsPerSecond) })
    }
  }
}

function parseDeadline (value: string | undefined): number | undefined {
  const deadlineAt = Number(value)
  return value === undefined || Number.isNaN(deadlineAt) ? undefined : deadlineAt
}
