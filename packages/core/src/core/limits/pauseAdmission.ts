import type { Milliseconds } from '../../types/clock.js'
import type { UpstreamState } from '../health/upstreamState.js'
import { isDraining, type UpstreamTable } from '../health/upstreamTable.js'

/**
 * When the first of the upstreams in use ends its pause, if all that accept new work have asked for one; undefined if one
 * takes requests now, or none accepts new work.
 */
export function pausedUntil (table: UpstreamTable, now: Milliseconds): Milliseconds | undefined {
  let firstEndsAt = Infinity
  for (const state of table.inUse()) {
    if (isDraining(state, now)) continue
    if (!state.pause.isActive(now)) return undefined
    firstEndsAt = Math.min(firstEndsAt, state.pause.until)
  }
  return firstEndsAt === Infinity ? undefined : firstEndsAt
}

/** When the upstream takes the next request, by its pause and its request rate; undefined if it names neither. */
export function nextStartAt ({ pause, rateLimit }: UpstreamState, now: Milliseconds): Milliseconds | undefined {
  if (!pause.isActive(now) && !rateLimit.isLimited(now)) return undefined
  return Math.max(pause.until, rateLimit.nextStartAt(now))
}
