import type { ResponseSignals } from '../../types/upstream.js'
import type { RoutingContext } from '../dispatch/routingContext.js'
import type { UpstreamState } from './upstreamState.js'

/** Applies what the head of an upstream's response says about new work. Returns whether less is possible than before. */
export function applySignals (context: RoutingContext, state: UpstreamState, signals: ResponseSignals): boolean {
  const isNewlyLeaving = signals.isLeaving && markLeaving(context, state)
  const isPaused = signals.retryAfterMs !== undefined && startPause(context, state, signals.retryAfterMs)
  return isNewlyLeaving || isPaused
}

function markLeaving ({ table, port }: RoutingContext, state: UpstreamState): boolean {
  if (state.isLeaving) return false
  const { id, incarnation } = state.upstream
  // The response may be from an earlier incarnation than the registered one: its state is no longer in the table.
  state.isLeaving = true
  table.markLeaving(id, incarnation)
  port.onUpstreamSignal?.({ kind: 'leaving', upstreamId: id, incarnation })
  return true
}

function startPause ({ table, port, clock }: RoutingContext, state: UpstreamState, retryAfterMs: number): boolean {
  const now = clock.now()
  if (!state.pause.onRequest(retryAfterMs, now)) return false
  port.onUpstreamSignal?.({
    kind: 'paused', upstreamId: state.upstream.id, retryAfterMs, inFlight: state.inFlight, pausedUpstreams: table.countPaused(now)
  })
  return true
}
