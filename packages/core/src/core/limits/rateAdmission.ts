import type { Milliseconds } from '../../types/clock.js'
import type { Call } from '../../types/dispatch.js'
import type { StartConditions } from '../capacity/startConditions.js'
import { isDraining } from '../health/upstreamTable.js'
import { nextStartAt } from './pauseAdmission.js'

const MS_PER_SECOND = 1000

/**
 * When a new call can start if all upstreams in use name request rates or have asked for a pause; undefined if one takes
 * any number of requests, or none accepts new work.
 */
export function rateLimitedUntil ({ table, queue, clock }: StartConditions, call: Call): Milliseconds | undefined {
  const now = clock.now()
  let firstStartAt = Infinity
  let requestsPerSecond = 0
  for (const state of table.inUse()) {
    if (isDraining(state, now)) continue
    const startAt = nextStartAt(state, now)
    if (startAt === undefined) return undefined
    firstStartAt = Math.min(firstStartAt, startAt)
    requestsPerSecond += state.rateLimit.ownRequestsPerSecond(now)
  }
  if (firstStartAt === Infinity) return undefined
  return Math.max(firstStartAt, now) + queue.countBefore(call, now) / requestsPerSecond * MS_PER_SECOND
}
