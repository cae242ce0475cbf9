import type { Milliseconds } from '../../types/clock.js'
import type { Call, CallResult } from '../../types/dispatch.js'
import type { ResultCodeName } from '../../types/resultCode.js'
import type { RoutingContext } from '../dispatch/routingContext.js'
import { estimateStart } from '../capacity/startEstimate.js'
import { pausedUntil } from './pauseAdmission.js'

/** Upper bound of the retry-after time, as a share of the time until the deadline of the call. */
const MAX_WAIT_SHARE = 1 / 3
/** Time until slots become free or an upstream returns, if there is no better estimate. */
const TYPICAL_RECOVERY_MS = 100
const MIN_WAIT_MS = 20
/** An evacuation lasts for longer than a caller waits; with this pause its callers come back soon after it has ended. */
const EVACUATED_WAIT_MS = 1000

/** Codes of refusals after which a repeated request may succeed. */
const RETRYABLE_CODES: ReadonlySet<ResultCodeName> = new Set<ResultCodeName>(['noUpstream', 'queueFull', 'deadlineUnreachable', 'shed', 'rateLimited'])

/** Adds the time after which a refused caller may retry: when the calls waiting now are expected to have started. */
export function withRetryAfter (context: RoutingContext, call: Call, result: CallResult): CallResult {
  if (result.kind !== 'notRun' || !RETRYABLE_CODES.has(result.code)) return result
  const now = context.clock.now()
  const unavailableMs = unavailableForMs(context, now)
  if (unavailableMs !== undefined) return { ...result, retryAfterMs: Math.max(MIN_WAIT_MS, unavailableMs) }
  const { waitMs, delay } = estimateStart(context, call, context.serviceTimes.meanServiceMs())
  // All upstreams are backed off from or pause; a retry before the first of them takes calls again would be refused too.
  if (delay === 'backoff') return { ...result, retryAfterMs: Math.max(MIN_WAIT_MS, waitMs) }
  const expectedMs = delay === 'none' ? TYPICAL_RECOVERY_MS : Math.max(MIN_WAIT_MS, waitMs)
  const retryAfterMs = Math.min(expectedMs, (call.deadlineAt - now) * MAX_WAIT_SHARE)
  return retryAfterMs >= MIN_WAIT_MS ? { ...result, retryAfterMs } : result
}

/**
 * How long no upstream takes requests, because all have asked for a pause or are evacuated; undefined if that is not so.
 * It is not limited by the deadline, before which a repeated request would be refused as well.
 */
function unavailableForMs ({ table }: RoutingContext, now: Milliseconds): Milliseconds | undefined {
  if (table.availableCount === 0 && table.evacuatedCount > 0) return EVACUATED_WAIT_MS
  const firstEndsAt = pausedUntil(table, now)
  return firstEndsAt === undefined ? undefined : firstEndsAt - now
}
