import type { Call, CallResult } from '../../types/dispatch.js'
import type { ResultCodeName } from '../../types/resultCode.js'
import type { RoutingContext } from '../dispatch/routingContext.js'
import { estimateStart } from '../capacity/startEstimate.js'

/** Upper bound of the retry-after time, as a share of the time until the deadline of the call. */
const MAX_WAIT_SHARE = 1 / 3
/** Time until slots become free or an upstream returns, if there is no better estimate. */
const TYPICAL_RECOVERY_MS = 100
const MIN_WAIT_MS = 20

/** Codes of refusals after which a repeated request may succeed. */
const RETRYABLE_CODES: ReadonlySet<ResultCodeName> = new Set<ResultCodeName>(['noUpstream', 'queueFull', 'deadlineUnreachable', 'shed', 'rateLimited'])

/** Adds the time after which a refused caller may retry: when the calls waiting now are expected to have started. */
export function withRetryAfter (context: RoutingContext, call: Call, result: CallResult): CallResult {
  if (result.kind !== 'notRun' || !RETRYABLE_CODES.has(result.code)) return result
  const now = context.clock.now()
  const { waitMs, delay } = estimateStart(context, call, context.serviceTimes.meanServiceMs())
  // The end of a pause is known; any repeat before it would be refused again.
  if (delay === 'pause') return { ...result, retryAfterMs: Math.max(MIN_WAIT_MS, waitMs) }
  const expectedMs = delay === 'none' ? TYPICAL_RECOVERY_MS : Math.max(MIN_WAIT_MS, waitMs)
  const retryAfterMs = Math.min(expectedMs, (call.deadlineAt - now) * MAX_WAIT_SHARE)
  return retryAfterMs >= MIN_WAIT_MS ? { ...result, retryAfterMs } : result
}
