import type { Milliseconds } from '../../types/clock.js'
import type { PickContext, Picker, UpstreamView } from '../../types/picker.js'
import { DEFAULT_ROUTING_POLICY, type RoutingPolicy } from '../../types/routingPolicy.js'
import { expectedExcess } from '../../utils/expectedExcess.js'

const FIRST_GUESS_MS = 5
// Time over which the mean load of other VMs is averaged, in service times.
const MEAN_WINDOW_SERVICE_TIMES = 20
// A different failure domain after a failure is worth this share of the service time.
const AVOIDED_DOMAIN_COST_SHARE = 1
// How many times its service time an upstream that joins is expected to need beyond it, until its first response.
// Too high a guess only delays the first attempt there.
const COLD_SLOWDOWN = 4
// An upstream that leaves probes unanswered has probably vanished; others are chosen while they answer within this share of the deadline.
const UNRESPONSIVE_COST_SHARE = 0.5
const BYTES_PER_KILOBYTE = 1024
const LEAST_VARIANCE = 0.05
// An upstream that was not heard from is chosen unless it is expected to take more than half as long again as the best.
const REFRESH_COST_SHARE = 2 / 3

interface Surroundings {
  /** Requests of other VMs per slot, averaged over recent reports. */
  readonly othersPerSlot: number
  readonly serviceMs: Milliseconds
  readonly ownInFlight: number
  readonly ownSlots: number
}

/** Estimated delay at one upstream. */
export interface DelayEstimate {
  /** Expected number of requests that wait there, the new one included. */
  readonly excess: number
  readonly waitMs: Milliseconds
  readonly serviceMs: Milliseconds
}

/**
 * Chooses the upstream with the shortest expected completion time.
 *
 * Requests of this VM are known exactly. Those of other VMs come from the last report and age towards
 * the mean, with a variance that grows as the report ages: an idle slot that is known for certain
 * beats one that was idle a while ago. Slots outside the VM's own share cost extra, so that VMs that
 * all saw the same idle upstream do not send to it at once.
 */
export class ExpectedDelayPicker implements Picker {
  private overloadedUntil: Milliseconds = 0

  private constructor (private policy: RoutingPolicy) {}

  static create (policy: RoutingPolicy = DEFAULT_ROUTING_POLICY): ExpectedDelayPicker {
    return new ExpectedDelayPicker(policy)
  }

  setPolicy (policy: RoutingPolicy): void {
    this.policy = policy
  }

  pick (candidates: readonly UpstreamView[], context: PickContext): UpstreamView | undefined {
    const around = survey(candidates, context)
    let best: UpstreamView | undefined
    let bestCost = Infinity
    let leastExcess = Infinity
    for (const view of candidates) {
      const estimate = this.estimate(view, around, context)
      const cost = this.cost(view, estimate, context)
      leastExcess = Math.min(leastExcess, estimate.waitMs / estimate.serviceMs)
      if (cost >= bestCost) continue
      best = view
      bestCost = cost
    }
    return leastExcess > this.holdExcess(around, context) && this.isShareUsed(around) ? undefined : best
  }

  rank (candidates: readonly UpstreamView[], context: PickContext, count: number): readonly UpstreamView[] {
    const around = survey(candidates, context)
    const costs = candidates.map(view => ({ view, cost: this.cost(view, this.estimate(view, around, context), context) }))
    costs.sort((one, other) => one.cost - other.cost)
    return costs.slice(0, count).map(({ view }) => view)
  }

  /**
   * Queue per slot above which calls are held back. A VM that holds a burst back loses its turn to VMs that send at
   * once, so it holds early only where the backlog lasts and what is to run must be chosen by value.
   */
  private holdExcess (around: Surroundings, context: PickContext): number {
    const { holdExcessPerSlot, overloadExcessPerSlot, overloadServiceTimes, overloadHoldMs } = this.policy
    const lasts = (context.backlogMs ?? 0) > overloadServiceTimes * around.serviceMs
    if (lasts) this.overloadedUntil = context.now + overloadHoldMs
    return context.now < this.overloadedUntil ? overloadExcessPerSlot : holdExcessPerSlot
  }

  /**
   * Whether this VM has work under way for its whole share of the slots. A call that waits here keeps every choice
   * open, but below its share a VM must not hold calls back: all VMs would wait for reports that nobody's calls bring.
   */
  private isShareUsed (around: Surroundings): boolean {
    return around.ownInFlight > 0 && around.ownInFlight >= around.ownSlots * this.policy.holdShare
  }

  private estimate (view: UpstreamView, around: Surroundings, context: PickContext): DelayEstimate {
    const serviceMs = view.serviceTimeMs ?? around.serviceMs * (1 + COLD_SLOWDOWN * (1 - view.warmth))
    const slots = view.slots ?? view.inFlight + 1
    const mean = around.othersPerSlot * slots * view.warmth
    const others = othersAtReport(view)
    const kept = others === undefined ? 0 : this.keptShare(view, serviceMs, context)
    const expected = view.inFlight + kept * (others ?? 0) + (1 - kept) * mean
    const variance = (1 - kept * kept) * Math.max(mean, LEAST_VARIANCE)
    const excess = expectedExcess(expected + 1 - slots, Math.sqrt(variance))
    return { excess, waitMs: excess * serviceMs / slots, serviceMs }
  }

  /** Little traffic goes to few upstreams; without this rule nobody would hear from the others. */
  private isSilent (view: UpstreamView, context: PickContext): boolean {
    if (view.report === undefined || view.inFlight > 0) return false
    return context.now - view.report.receivedAt > this.policy.refreshMs
  }

  private keptShare (view: UpstreamView, serviceMs: Milliseconds, context: PickContext): number {
    const age = context.now - (view.report?.receivedAt ?? 0)
    return (view.reportTrust ?? 1) * Math.exp(-age / (serviceMs * this.policy.reportAgingServiceTimes))
  }

  /** What leaving the own failure domain is worth avoiding. */
  private domainCost (view: UpstreamView, context: PickContext): Milliseconds {
    if (context.ownDomain === undefined || view.upstream.failureDomain === context.ownDomain) return 0
    const kilobytes = (context.answerBytes ?? 0) / BYTES_PER_KILOBYTE
    return this.policy.crossDomainCostMs + kilobytes * this.policy.crossDomainCostPerKilobyteMs
  }

  private cost (view: UpstreamView, estimate: DelayEstimate, context: PickContext): number {
    const borrowed = view.slotShare !== undefined && view.inFlight >= view.slotShare
    const avoided = context.avoidDomains.has(view.upstream.failureDomain)
    let cost = estimate.serviceMs + estimate.waitMs
    if (borrowed) cost += this.policy.borrowCostShare * estimate.serviceMs
    if (avoided) cost += AVOIDED_DOMAIN_COST_SHARE * estimate.serviceMs
    cost += view.errorShare * context.kind.deadlineMs
    cost += this.domainCost(view, context)
    if (view.isUnresponsive === true) cost += UNRESPONSIVE_COST_SHARE * context.kind.deadlineMs
    if (this.isSilent(view, context)) cost *= REFRESH_COST_SHARE
    // Differences below the noise of the estimates must not send all calls to one upstream and leave the rest unobserved.
    return cost * (1 + this.policy.spreadShare * context.random.next())
  }
}

function othersAtReport (view: UpstreamView): number | undefined {
  if (view.report === undefined) return undefined
  return Math.max(0, view.report.inFlight + view.report.queued - view.inFlightAtReport)
}

function survey (candidates: readonly UpstreamView[], context: PickContext): Surroundings {
  const serviceMs = meanServiceMs(candidates)
  let others = 0
  let slots = 0
  let ownInFlight = 0
  let ownSlots = 0
  for (const view of candidates) {
    ownInFlight += view.inFlight
    ownSlots += (view.slotShare ?? 0) * view.warmth
    const seen = othersAtReport(view)
    if (seen === undefined || view.report === undefined || view.slots === undefined) continue
    const weight = (view.reportTrust ?? 1) * Math.exp(-(context.now - view.report.receivedAt) / (serviceMs * MEAN_WINDOW_SERVICE_TIMES))
    others += weight * seen
    slots += weight * view.slots
  }
  return { othersPerSlot: slots > 0 ? others / slots : 0, serviceMs, ownInFlight, ownSlots }
}

function meanServiceMs (candidates: readonly UpstreamView[]): Milliseconds {
  let sum = 0
  let known = 0
  for (const view of candidates) {
    if (view.serviceTimeMs === undefined) continue
    sum += view.serviceTimeMs
    known += 1
  }
  return known > 0 ? sum / known : FIRST_GUESS_MS
}
