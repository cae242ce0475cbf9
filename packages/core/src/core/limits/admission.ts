import type { Milliseconds } from '../../types/clock.js'
import type { Call } from '../../types/dispatch.js'
import type { ResultCodeName } from '../../types/resultCode.js'
import type { RoutingContext } from '../dispatch/routingContext.js'
import { pausedUntil } from './pauseAdmission.js'
import { rateLimitedUntil } from './rateAdmission.js'

/** The code with which an arriving call is refused; undefined if it is admitted. `running` counts the attempts under way. */
export function checkAdmission (context: RoutingContext, call: Call, running: number): ResultCodeName | undefined {
  const now = context.clock.now()
  if (call.deadlineAt <= now) return 'deadlinePassed'
  if (!context.table.hasEligibleUpstreams(now)) return 'noUpstream'
  if (context.suspects.verdict(call.fingerprint, now) === 'refuse') return 'suspectRequest'
  if (isRateLimited(context, call)) return 'rateLimited'
  if (!canStartInTime(context, call, running)) return 'deadlineUnreachable'
  return undefined
}

/**
 * The code with which a call that waits, for its first attempt or a retry, is refused because no upstream can take it in
 * time; undefined if one can.
 */
export function checkReachability (context: RoutingContext, call: Call): ResultCodeName | undefined {
  const { table, clock } = context
  const now = clock.now()
  if (!table.hasEligibleUpstreams(now)) return 'noUpstream'
  const firstEndsAt = pausedUntil(table, now)
  return firstEndsAt !== undefined && firstEndsAt > latestStartAt(context, call) ? 'rateLimited' : undefined
}

function isRateLimited (context: RoutingContext, call: Call): boolean {
  const limitedUntil = rateLimitedUntil(context, call)
  return limitedUntil !== undefined && limitedUntil > latestStartAt(context, call)
}

function canStartInTime (context: RoutingContext, call: Call, running: number): boolean {
  const { queue, serviceTimes, clock } = context
  if (queue.size === 0) return true
  const policy = context.policyOf(call.kind)
  const now = clock.now()
  const startIntervalMs = serviceTimes.meanServiceMs() / Math.max(1, running)
  const waitMs = queue.expectedWaitMs(call.kind, now, startIntervalMs)
  return waitMs <= (latestStartAt(context, call) - now) * policy.queueWaitShare
}

/**
 * Latest time at which a waiting call can start and still finish in time: by its target, or by its deadline if the
 * target is out of reach even without waiting.
 */
export function latestStartAt (context: RoutingContext, call: Call): Milliseconds {
  const { serviceTimes } = context
  const neededMs = serviceTimes.quantileMs(call.kind, context.policyOf(call.kind).hopelessQuantile) ?? serviceTimes.meanServiceMsOf(call.kind)
  const latestForTargetAt = (call.targetAt ?? call.deadlineAt) - neededMs
  return latestForTargetAt > call.arrivedAt ? latestForTargetAt : call.deadlineAt - neededMs
}
