import type { Milliseconds } from '../../types/clock.js'
import type { Call } from '../../types/dispatch.js'
import type { ResultCodeName } from '../../types/resultCode.js'
import type { RoutingContext } from '../dispatch/routingContext.js'

/** Why an arriving call is refused at once, if it is. `running` is the number of attempts under way. */
export function refusalOnArrival (context: RoutingContext, call: Call, running: number): ResultCodeName | undefined {
  const now = context.clock.now()
  if (call.deadlineAt <= now) return 'deadlinePassed'
  if (!context.table.hasTakers(now)) return 'noUpstream'
  if (context.suspects.verdict(call.fingerprint, now) === 'refuse') return 'suspectRequest'
  if (!canBeOnTime(context, call, running)) return 'deadlineUnreachable'
  return undefined
}

function canBeOnTime (context: RoutingContext, call: Call, running: number): boolean {
  const { queue, model, clock } = context
  if (queue.size === 0) return true
  const policy = context.policyOf(call.kind)
  const now = clock.now()
  const startsEveryMs = model.meanServiceMs() / Math.max(1, running)
  const waitMs = queue.expectedWaitMs(call.kind, now, startsEveryMs)
  return waitMs <= (latestStartAt(context, call) - now) * policy.queueWaitShare
}

/**
 * When a waiting call has to start to be answered in time: by its target, or by its deadline where the target is out of
 * reach even without a wait.
 */
export function latestStartAt (context: RoutingContext, call: Call): Milliseconds {
  const { model } = context
  const neededMs = model.quantileMs(call.kind, context.policyOf(call.kind).hopelessQuantile) ?? model.kindMs(call.kind)
  const forTarget = (call.targetAt ?? call.deadlineAt) - neededMs
  return forTarget > call.arrivedAt ? forTarget : call.deadlineAt - neededMs
}
