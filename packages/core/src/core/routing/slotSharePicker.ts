import type { PickContext, Picker, UpstreamView } from '../../types/picker.js'

// Time after which a report says no more about the load of other VMs than their mean, in service times.
const AGING_SERVICE_TIMES = 1
const FIRST_GUESS_MS = 5

/**
 * Divides the slots of all upstreams among the live entry VMs. A VM takes its own free slots first, the
 * fastest upstream first; beyond them it borrows a slot that the last report, aged, shows as free.
 */
export class SlotSharePicker implements Picker {
  private constructor () {}

  static create (): SlotSharePicker {
    return new SlotSharePicker()
  }

  pick (candidates: readonly UpstreamView[], context: PickContext): UpstreamView | undefined {
    const own = leastCost(candidates, view => ownSlotCost(view, context))
    if (own !== undefined) return own
    const borrowed = leastCost(candidates, view => borrowCost(view, context))
    if (borrowed !== undefined) return borrowed
    const isIdle = candidates.every(view => view.inFlight === 0)
    // Nothing would wake a call that waits while this VM has no attempt under way.
    return isIdle ? leastCost(candidates, view => serviceMsOf(view)) : undefined
  }
}

function serviceMsOf (view: UpstreamView): number {
  return view.serviceTimeMs ?? FIRST_GUESS_MS
}

function ownSlotCost (view: UpstreamView, context: PickContext): number {
  const free = (view.slotShare ?? 0) * view.warmth - view.inFlight
  if (free <= 0) return Infinity
  return (serviceMsOf(view) + penaltyMs(view, context)) * (1 + view.inFlight / (view.slotShare ?? 1) + 0.001 * context.random.next())
}

function borrowCost (view: UpstreamView, context: PickContext): number {
  const slots = view.slots ?? view.inFlight + 1
  const free = slots * view.warmth - view.inFlight - expectedOthers(view, context, slots)
  if (free < 1) return Infinity
  return (serviceMsOf(view) + penaltyMs(view, context)) * (1 + 1 / free + 0.001 * context.random.next())
}

/** Requests of other VMs: what the last report showed, ageing towards the slots that are not this VM's own. */
function expectedOthers (view: UpstreamView, context: PickContext, slots: number): number {
  const prior = slots - (view.slotShare ?? 0)
  if (view.report === undefined) return prior
  const reported = Math.max(0, view.report.inFlight + view.report.queued - view.inFlightAtReport)
  const kept = Math.exp(-(context.now - view.report.receivedAt) / (serviceMsOf(view) * AGING_SERVICE_TIMES))
  return kept * reported + (1 - kept) * prior
}

function penaltyMs (view: UpstreamView, context: PickContext): number {
  const avoided = context.avoidDomains.has(view.upstream.failureDomain) ? serviceMsOf(view) : 0
  return view.errorShare * context.kind.deadlineMs + avoided
}

function leastCost (candidates: readonly UpstreamView[], costOf: (view: UpstreamView) => number): UpstreamView | undefined {
  let best: UpstreamView | undefined
  let bestCost = Infinity
  for (const view of candidates) {
    const cost = costOf(view)
    if (cost >= bestCost) continue
    best = view
    bestCost = cost
  }
  return best
}
