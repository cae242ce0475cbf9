import type { RateNotice } from '@cowsliplead/core/types/upstream.js'

const DECIMAL = /^\d{1,15}(\.\d{1,15})?$/

/** Parses a header that names a request rate; undefined if its value is not a decimal number. */
export function parseRateNotice (header: string | undefined): RateNotice | undefined {
  if (header === undefined) return { kind: 'unlimited' }
  const text = header.trim()
  return DECIMAL.test(text) ? { kind: 'limited', requestsPerSecond: Number(text) } : undefined
}
