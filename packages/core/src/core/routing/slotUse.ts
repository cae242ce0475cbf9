import type { RoutingPolicy } from '../../types/routingPolicy.js'

/** Settings that decide how many slots of an upstream are used. */
export type SlotUsePolicy = Pick<RoutingPolicy, 'usableSlotShare' | 'crowdedTimeFactor'>

/** Slots that an upstream can fill without slowing down; one at least. */
export function uncrowdedSlots (slots: number, { usableSlotShare }: SlotUsePolicy): number {
  return Math.max(1, Math.floor(slots * usableSlotShare))
}

/**
 * Slots to fill under load: all of them if the upstream then completes more requests although each takes longer,
 * otherwise those that leave it at full speed. Answers a load that the slots at full speed cannot serve.
 */
export function usableSlots (slots: number, policy: SlotUsePolicy): number {
  const uncrowded = uncrowdedSlots(slots, policy)
  return slots > uncrowded * policy.crowdedTimeFactor ? slots : uncrowded
}

/**
 * Factor by which a request takes longer at an upstream with `slots` that is expected to run `running` others. It is 1
 * where the last slots are not used, because further calls wait there and their wait is estimated separately.
 */
export function crowdingFactor (slots: number, running: number, policy: SlotUsePolicy): number {
  const uncrowded = uncrowdedSlots(slots, policy)
  if (usableSlots(slots, policy) === uncrowded) return 1
  const crowdedShare = Math.min(1, Math.max(0, running + 1 - uncrowded))
  return 1 + (policy.crowdedTimeFactor - 1) * crowdedShare
}
