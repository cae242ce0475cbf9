import type { Milliseconds } from '../../types/clock.js'
import type { RoutingPolicy } from '../../types/routingPolicy.js'
import type { LoadReport } from '../../types/upstream.js'
import type { RunningAttempt } from '../health/runningAttempt.js'
import type { AttemptState } from '../dispatch/callState.js'
import type { UpstreamState } from '../health/upstreamState.js'

// An answer this much earlier than the reported queue allows is no scatter of service times.
const IMPOSSIBLY_EARLY_SHARE = 0.5

/**
 * Compares a report with what this VM knows for certain: its own requests at the upstream must be in the report.
 * Honest reports pass every time, so that a report that fails costs the upstream's reports much of their weight.
 */
export function judgeReport (state: UpstreamState, report: LoadReport, policy: RoutingPolicy): void {
  const own = countArrived(state.running, report.receivedAt - policy.reportSettleMs)
  if (own > report.inFlight + report.queued) distrust(state, policy)
  else if (own > 0) state.reportTrust += (1 - state.reportTrust) * policy.reportTrustGain
}

/** Judges the report that was known when the attempt started: with a queue as long as reported, it could not have been answered yet. */
export function judgeLatency (attempt: AttemptState, latencyMs: Milliseconds, policy: RoutingPolicy): void {
  if (latencyMs < attempt.reportedWaitMs * IMPOSSIBLY_EARLY_SHARE) distrust(attempt.state, policy)
}

function distrust (state: UpstreamState, policy: RoutingPolicy): void {
  state.reportTrust *= policy.reportTrustLoss
}

/** Attempts that were sent before `sentBefore`. */
function countArrived (running: ReadonlySet<RunningAttempt>, sentBefore: Milliseconds): number {
  let count = 0
  for (const attempt of running) {
    if (attempt.startedAt < sentBefore) count += 1
  }
  return count
}
