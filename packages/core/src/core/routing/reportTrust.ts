import type { Milliseconds } from '../../types/clock.js'
import type { RoutingPolicy } from '../../types/routingPolicy.js'
import type { LoadReport } from '../../types/upstream.js'
import type { RunningAttempt } from '../health/runningAttempt.js'
import type { AttemptState } from '../dispatch/callState.js'
import type { UpstreamState } from '../health/upstreamState.js'

// A response within this share of the wait that the report implied cannot be explained by the variation of service times.
const IMPLAUSIBLE_WAIT_SHARE = 0.5

/**
 * Checks a report against what this VM knows for certain: its own requests at the upstream must be included. Correct
 * reports always pass, so a single one that fails reduces the trust sharply.
 */
export function updateTrustFromReport (state: UpstreamState, report: LoadReport, policy: RoutingPolicy): void {
  const sentCount = countSent(state.runningAttempts, report.receivedAt - policy.reportSettleMs)
  if (sentCount > report.inFlight + report.queued) distrust(state, policy)
  else if (sentCount > 0) state.reportTrust += (1 - state.reportTrust) * policy.reportTrustGain
}

/** Checks the report known when the attempt started: had the queue been as reported, the response would have been later. */
export function updateTrustFromLatency (attempt: AttemptState, latencyMs: Milliseconds, policy: RoutingPolicy): void {
  if (latencyMs < attempt.reportedWaitMs * IMPLAUSIBLE_WAIT_SHARE) distrust(attempt.upstreamState, policy)
}

function distrust (state: UpstreamState, policy: RoutingPolicy): void {
  state.reportTrust *= policy.reportTrustLoss
}

/** Number of attempts that were sent before `sentBefore`. */
function countSent (running: ReadonlySet<RunningAttempt>, sentBefore: Milliseconds): number {
  let count = 0
  for (const attempt of running) {
    if (attempt.startedAt < sentBefore) count += 1
  }
  return count
}
