import type { Milliseconds } from '../../types/clock.js'
import type { Call, CallResult } from '../../types/dispatch.js'
import type { ResultCodeName } from '../../types/resultCode.js'
import type { RoutingContext } from '../dispatch/routingContext.js'

/** Callers wait at most this share of the time that they have left. */
const LARGEST_WAIT_SHARE = 1 / 3
/** Time in which slots become free or an upstream returns, where nothing better is known. */
const TYPICAL_RECOVERY_MS = 100
const SHORTEST_WAIT_MS = 20

/** Refusals after which a repeat may succeed. */
const TEMPORARY: ReadonlySet<ResultCodeName> = new Set<ResultCodeName>(['noUpstream', 'queueFull', 'deadlineUnreachable', 'shed'])

/** Adds when a refused caller may come back: once the calls that wait now have started. */
export function withRetryAfter (context: RoutingContext, call: Call, result: CallResult): CallResult {
  if (result.kind !== 'notRun' || !TEMPORARY.has(result.code)) return result
  const now = context.clock.now()
  const retryAfterMs = Math.min(expectedWaitMs(context, call, now), (call.deadlineAt - now) * LARGEST_WAIT_SHARE)
  return retryAfterMs >= SHORTEST_WAIT_MS ? { ...result, retryAfterMs } : result
}

function expectedWaitMs (context: RoutingContext, call: Call, now: Milliseconds): Milliseconds {
  const { queue, model } = context
  if (queue.size === 0) return TYPICAL_RECOVERY_MS
  return Math.max(SHORTEST_WAIT_MS, queue.expectedWaitMs(call.kind, now, model.meanServiceMs()))
}
