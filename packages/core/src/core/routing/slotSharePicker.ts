import type { PickContext, Picker, UpstreamView } from '../../types/picker.js'

// Time constant with which the weight of a load report decays, in service times.
const REPORT_AGING_SERVICE_TIMES = 1
const DEFAULT_SERVICE_TIME_MS = 5

/**
 * Divides the slots of all upstreams among the live entry VMs. A VM uses its own free slots first, fastest upstream
 * first; beyond them it borrows a slot that the last report, weighted by its age, shows as free.
 */
export class SlotSharePicker implements Picker {
  private constructor () {}

  static create (): SlotSharePicker {
    return new SlotSharePicker()
  }

  pick (candidates: readonly UpstreamView[], context: PickContext): UpstreamView | undefined {
    const ownSlotChoice = leastCost(candidates, view => ownSlotCost(view, context))
    if (ownSlotChoice !== undefined) return ownSlotChoice
    const borrowedChoice = leastCost(candidates, view => borrowCost(view, context))
    if (borrowedChoice !== undefined) return borrowedChoice
    const isIdle = candidates.every(view => view.inFlight === 0)
    // Without attempts under way, no end of an attempt would resume a waiting call.
    return isIdle ? leastCost(candidates, view => serviceMsOf(view)) : undefined
  }
}

function serviceMsOf (view: UpstreamView): number {
  return view.serviceTimeMs ?? DEFAULT_SERVICE_TIME_MS
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

/** Expected requests of other VMs: those in the last report, decaying with age towards the slots outside this VM's share. */
function expectedOthers (view: UpstreamView, context: PickContext, slots: number): number {
  const prior = slots - (view.slotShare ?? 0)
  if (view.report === undefined) return prior
  const reported = Math.max(0, view.report.inFlight + view.report.queued - view.inFlightAtReport)
  const weight = Math.exp(-(context.now - view.report.receivedAt) / (serviceMsOf(view) * REPORT_AGING_SERVICE_TIMES))
  return weight * reported + (1 - weight) * prior
}

function penaltyMs (view: UpstreamView, context: PickContext): number {
  const avoided = context.avoidedDomains.has(view.upstream.failureDomain) ? serviceMsOf(view) : 0
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
