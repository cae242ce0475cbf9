import { RESULT_CODES, type ResultCodeName } from '@cowsliplead/core/types/resultCode.js'

const STATUS_BY_CODE: Partial<Record<ResultCodeName, number>> = {
  noService: 404,
  queueFull: 429,
  deadlineUnreachable: 429,
  shed: 429,
  rateLimited: 429,
  overQuota: 429,
  unknownKey: 401,
  bodyTooLarge: 413,
  bodyTimeout: 408,
  headTooLarge: 431,
  deadlineExceeded: 504
}

/** The HTTP status of an error response with this result code. */
export function errorStatus (name: ResultCodeName): number {
  return STATUS_BY_CODE[name] ?? (RESULT_CODES[name].outcome === 'notRun' ? 503 : 502)
}
