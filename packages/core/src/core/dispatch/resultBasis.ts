import type { Milliseconds } from '../../types/clock.js'
import type { ResultBasis } from '../../types/dispatch.js'
import type { UpstreamState } from '../health/upstreamState.js'
import type { CallState } from './callState.js'
import type { RoutingContext } from './routingContext.js'

const NO_UPSTREAMS_TRIED: ReadonlySet<string> = new Set()

/** What the context knows as a call ends without an answer. */
export function resultBasisOf (context: RoutingContext, state: CallState): ResultBasis {
  const { table, queue, model, budget, clock, policy } = context
  const now = clock.now()
  const open = table.candidates(now, NO_UPSTREAMS_TRIED)
  const oldest = now - policy.probeReportAgeMs
  return {
    attempts: state.started,
    savedRetries: budget.savedRetries,
    expectedWaitMs: queue.size === 0 ? 0 : queue.expectedWaitMs(state.call.kind, now, model.meanServiceMs()),
    upstreams: table.all().length,
    openUpstreams: open.length,
    freeUpstreams: open.filter(hasReportedRoom).length,
    freshReports: open.filter(upstream => isFresh(upstream, oldest)).length
  }
}

function hasReportedRoom ({ report, slots }: UpstreamState): boolean {
  if (report === undefined || slots === undefined) return false
  return report.inFlight + report.queued < slots
}

function isFresh ({ report }: UpstreamState, oldest: Milliseconds): boolean {
  return report !== undefined && report.receivedAt >= oldest
}
