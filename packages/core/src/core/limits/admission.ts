import type { Call } from '../../types/dispatch.js'
import type { ResultCodeName } from '../../types/resultCode.js'
import { estimateStart, latestStartAt, type StartEstimate } from '../capacity/startEstimate.js'
import type { RoutingContext } from '../dispatch/routingContext.js'
import { pausedUntil } from './pauseAdmission.js'

/** A refusal on arrival. */
export interface Refusal {
  readonly code: ResultCodeName
  /** The estimate on which the call is refused; undefined if it is refused for another reason. */
  readonly estimate?: StartEstimate
}

/** The refusal of an arriving call; undefined if it is admitted. `running` counts the attempts under way. */
export function checkAdmission (context: RoutingContext, call: Call, running: number): Refusal | undefined {
  const now = context.clock.now()
  if (call.deadlineAt <= now) return { code: 'deadlinePassed' }
  if (!context.table.hasEligibleUpstreams(now)) return { code: 'noUpstream' }
  if (context.suspects.verdict(call.fingerprint, now) === 'refuse') return { code: 'suspectRequest' }
  const estimate = estimateStart(context, call, context.serviceTimes.meanServiceMs() / Math.max(1, running))
  const code = codeFor(context, call, estimate)
  return code === undefined ? undefined : { code, estimate }
}

/**
 * The code with which a call that waits, for its first attempt or a retry, is refused because no upstream can take it in
 * time; undefined if one can.
 */
export function checkAvailability (context: RoutingContext, call: Call): ResultCodeName | undefined {
  const { table, clock } = context
  const now = clock.now()
  if (!table.hasEligibleUpstreams(now)) return 'noUpstream'
  const firstEndsAt = pausedUntil(table, now)
  return firstEndsAt !== undefined && firstEndsAt > latestStartAt(context, call) ? 'rateLimited' : undefined
}

function codeFor (context: RoutingContext, call: Call, { delay, startAt, waitMs, latestStartAt: latestAt }: StartEstimate): ResultCodeName | undefined {
  if (startAt > latestAt) return delay === 'requestRate' ? 'rateLimited' : delay === 'none' ? undefined : 'deadlineUnreachable'
  if (delay !== 'queue') return undefined
  const leftMs = latestAt - context.clock.now()
  return waitMs > leftMs * context.policyOf(call.kind).queueWaitShare ? 'deadlineUnreachable' : undefined
}
