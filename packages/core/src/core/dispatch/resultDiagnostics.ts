import type { Milliseconds } from '../../types/clock.js'
import type { ResultDiagnostics } from '../../types/dispatch.js'
import type { StartEstimate } from '../capacity/startEstimate.js'
import type { UpstreamState } from '../health/upstreamState.js'
import type { CallState } from './callState.js'
import type { RoutingContext } from './routingContext.js'

const NO_UPSTREAMS_TRIED: ReadonlySet<string> = new Set()

/** Collects the state of the service for the log when a call ends without a response. */
export function collectResultDiagnostics (context: RoutingContext, state: CallState, estimate?: StartEstimate): ResultDiagnostics {
  const { table, queue, serviceTimes, retryBudget, clock, policy } = context
  const now = clock.now()
  const open = table.candidates(now, NO_UPSTREAMS_TRIED)
  const oldest = now - policy.probeReportAgeMs
  return {
    attempts: state.attemptCount,
    savedRetries: retryBudget.savedRetries,
    expectedWaitMs: queue.size === 0 ? 0 : queue.expectedWaitMs(state.call, now, serviceTimes.meanServiceMs()),
    upstreams: table.inUse().length,
    openUpstreams: open.length,
    freeUpstreams: open.filter(hasFreeSlot).length,
    rateHeldUpstreams: table.countRateHeld(now),
    freshReports: open.filter(upstream => isFresh(upstream, oldest)).length,
    ...(estimate === undefined
      ? {}
      : { estimatedWaitMs: estimate.waitMs, latestStartInMs: estimate.latestStartAt - now, callsBefore: estimate.callsBefore }),
    reservedShare: context.reservation.reservedShare(state.call.kind, now) || undefined
  }
}

function hasFreeSlot ({ report, slots }: UpstreamState): boolean {
  if (report === undefined || slots === undefined) return false
  return report.inFlight + report.queued < slots
}

function isFresh ({ report }: UpstreamState, oldest: Milliseconds): boolean {
  return report !== undefined && report.receivedAt >= oldest
}
