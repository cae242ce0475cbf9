import type { CancelReason } from '../../types/dispatch.js'
import type { AttemptState } from './callState.js'
import type { RoutingContext } from './routingContext.js'

/** Records what the stall of an attempt tells about its upstream and its connections; the attempt may go on. */
export function recordStall (context: RoutingContext, attempt: AttemptState): void {
  if (attempt.hasStalled) return
  attempt.hasStalled = true
  context.counters.stalls += 1
  recordCancellation(context, attempt, 'stalled')
  context.port.onStall?.(attempt.attempt.id)
}

/** Updates an upstream's service times and health after one of its attempts was cancelled. */
export function recordCancellation (context: RoutingContext, attempt: AttemptState, reason: CancelReason): void {
  const { serviceTimes, outliers, clock } = context
  const { upstreamState, callState, isTrial } = attempt
  const now = clock.now()
  if (reason === 'callerLeft' || reason === 'interrupted') {
    if (isTrial) outliers.onTrialAbandoned(upstreamState)
    return
  }
  const elapsedMs = now - attempt.startedAt
  serviceTimes.onAbandoned(callState.call.kind, upstreamState, elapsedMs, now)
  if (reason === 'lostHedge' && !isTrial) outliers.onOvertaken(upstreamState, attempt.attempt.purpose === 'hedge', now)
  else if (isTrial || reason === 'stalled' || elapsedMs > callState.call.kind.deadlineMs / 2) outliers.onFailure(upstreamState, false, isTrial, now)
}
