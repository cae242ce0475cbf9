import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { LoadReport } from '@cowsliplead/core/types/upstream.js'

/** Parses the load report in a header; undefined if it is absent or invalid. */
export function parseLoadReport (header: string | undefined, receivedAt: Milliseconds): LoadReport | undefined {
  if (header === undefined) return undefined
  try {
    const { inFlight, queued, slots, draining } = JSON.parse(header) as Record<string, unknown>
    if (!isCount(inFlight) || !isCount(queued)) return undefined
    return { inFlight, queued, slots: isCount(slots) ? slots : undefined, draining: draining === true, receivedAt }
  } catch {
    return undefined
  }
}

function isCount (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0
}
