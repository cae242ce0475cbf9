import type { Milliseconds } from '../../types/clock.js'
import type { SelectionSnapshot } from '../../types/dispatch.js'
import type { RequestKind } from '../../types/requestKind.js'
import type { UpstreamState } from '../health/upstreamState.js'
import type { RoutingContext } from './routingContext.js'

/** Records what was known of an upstream when it was chosen for a call of `kind`. */
export function snapshotSelection (context: RoutingContext, target: UpstreamState, kind: RequestKind, waitingCalls: number, now: Milliseconds): SelectionSnapshot {
  const { report, rateLimit } = target
  return {
    reportAgeMs: report === undefined ? undefined : now - report.receivedAt,
    reportedInFlight: report?.inFlight,
    reportedQueued: report?.queued,
    relativeTime: context.serviceTimes.relativeTimeOf(target, now),
    ownInFlight: target.inFlight,
    expectedMs: context.serviceTimes.expectedServiceMs(kind, target, now),
    waitingCalls,
    requestsPerSecond: rateLimit.requestsPerSecond,
    ownRequestsPerSecond: rateLimit.isLimited(now) ? rateLimit.ownRequestsPerSecond(now) : undefined,
    rateHeldUpstreams: context.table.countRateHeld(now) || undefined
  }
}
