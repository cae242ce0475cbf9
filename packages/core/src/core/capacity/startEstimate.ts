import type { Milliseconds } from '../../types/clock.js'
import type { Call } from '../../types/dispatch.js'
import { isDraining } from '../health/upstreamTable.js'
import { rateLimitedUntil } from '../limits/rateAdmission.js'
import type { StartConditions } from './startConditions.js'

/** What delays a call most. */
export type StartDelay = 'none' | 'queue' | 'requestRate' | 'backoff'

/** When a call that arrives now could start and end. */
export interface StartEstimate {
  readonly startAt: Milliseconds
  /** Expected end, by the typical service time of the kind. */
  readonly endAt: Milliseconds
  readonly waitMs: Milliseconds
  /** Waiting calls that start before it. */
  readonly callsBefore: number
  readonly delay: StartDelay
  /** Latest start with which it would be in time. */
  readonly latestStartAt: Milliseconds
}

/**
 * Estimates when a call could start: not before the request rates of the upstreams allow it, nor before the first of them
 * ends its pause, nor before the waiting calls that precede it have started at the rate at which calls start now.
 * `startIntervalMs` is the time between two starts that is assumed until some were observed. The rate of starts
 * includes what other VMs take from the same upstreams, since this VM's calls start only in the slots that those leave.
 */
export function estimateStart (conditions: StartConditions, call: Call, startIntervalMs: Milliseconds): StartEstimate {
  const { queue, clock, serviceTimes } = conditions
  const now = clock.now()
  const byDelay: Array<readonly [StartDelay, Milliseconds]> = [
    ['queue', queue.size === 0 ? 0 : queue.expectedWaitMs(call, now, startIntervalMs)],
    ['requestRate', (rateLimitedUntil(conditions, call) ?? now) - now],
    ['backoff', (closedUntil(conditions, now) ?? now) - now]
  ]
  const [delay, waitMs] = byDelay.reduce((longest, each) => each[1] > longest[1] ? each : longest, ['none', 0])
  return {
    startAt: now + waitMs,
    endAt: now + waitMs + serviceTimes.meanServiceMsOf(call.kind),
    waitMs,
    callsBefore: queue.size === 0 ? 0 : queue.countBefore(call, now),
    delay,
    latestStartAt: latestStartAt(conditions, call)
  }
}

/**
 * Latest time at which a waiting call can start and still finish in time: by its target, or by its deadline if the
 * target is out of reach even without waiting.
 */
export function latestStartAt (conditions: StartConditions, call: Call): Milliseconds {
  const { serviceTimes } = conditions
  const neededMs = serviceTimes.quantileMs(call.kind, conditions.policyOf(call.kind).hopelessQuantile) ?? serviceTimes.meanServiceMsOf(call.kind)
  const latestForTargetAt = (call.targetAt ?? call.deadlineAt) - neededMs
  return latestForTargetAt > call.arrivedAt ? latestForTargetAt : call.deadlineAt - neededMs
}

/** When the first upstream takes calls again, if all that are not draining pause or are backed off from; undefined if one takes calls, or none is left. */
function closedUntil ({ table }: StartConditions, now: Milliseconds): Milliseconds | undefined {
  let firstEndAt = Infinity
  for (const state of table.inUse()) {
    if (isDraining(state, now)) continue
    // An ejected upstream may be tried again at any time.
    const opensAt = Math.max(state.backoffUntil, state.pause.until)
    if (state.isEjected || opensAt <= now) return undefined
    firstEndAt = Math.min(firstEndAt, opensAt)
  }
  return firstEndAt === Infinity ? undefined : firstEndAt
}
