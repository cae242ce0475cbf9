import type { CancelReason } from '../../types/dispatch.js'
import type { AttemptState } from './callState.js'
import type { RoutingContext } from './routingContext.js'

/** Draws conclusions for the upstream from an attempt that the dispatcher gave up. */
export function learnFromCancel (context: RoutingContext, attempt: AttemptState, reason: CancelReason): void {
  const { model, outliers, clock } = context
  const { state, owner, isTrial } = attempt
  const now = clock.now()
  if (reason === 'callerLeft') {
    if (isTrial) outliers.onTrialAbandoned(state)
    return
  }
  const elapsedMs = now - attempt.startedAt
  model.onAbandoned(owner.call.kind, state, elapsedMs, now)
  if (reason === 'lostHedge' && !isTrial) outliers.onOvertaken(state, attempt.attempt.purpose === 'hedge', now)
  else if (isTrial || reason === 'stalled' || elapsedMs > owner.call.kind.deadlineMs / 2) outliers.onFailure(state, false, isTrial, now)
}
