import type { Milliseconds } from '../../types/clock.js'
import type { PickContext, Picker, UpstreamView } from '../../types/picker.js'
import { DEFAULT_ROUTING_POLICY, type RoutingPolicy } from '../../types/routingPolicy.js'
import { crossDomainCost } from './crossDomainCost.js'
import { crowdingFactor } from './slotUse.js'
import { expectedExcess } from '../../utils/expectedExcess.js'

const DEFAULT_SERVICE_TIME_MS = 5
// Time constant of the average load from other VMs, in service times.
const MEAN_WINDOW_SERVICE_TIMES = 20
// Extra cost of a failure domain that an earlier attempt of the call used, as a share of the service time.
const AVOIDED_DOMAIN_COST_SHARE = 1
// Extra service times that a cold upstream is expected to need, until its first response.
// Overestimating only delays the first attempt there.
const COLD_EXTRA_SERVICE_TIMES = 4
// Extra cost of an upstream without response to probes, probably unreachable, as a share of the call's deadline.
const UNRESPONSIVE_COST_SHARE = 0.5
const MIN_VARIANCE = 0.05
// An upstream without a recent report is chosen unless its expected time exceeds the best by more than half.
const REFRESH_COST_FACTOR = 2 / 3

interface CandidateSummary {
  /** Requests of other VMs per slot, averaged over recent reports. */
  readonly othersPerSlot: number
  readonly serviceMs: Milliseconds
  readonly ownInFlight: number
  readonly ownSlots: number
}

/** Estimated delay at one upstream. */
export interface DelayEstimate {
  /** Expected number of requests that wait for a slot there, including the new one. */
  readonly excess: number
  readonly waitMs: Milliseconds
  readonly serviceMs: Milliseconds
}

/**
 * Chooses the upstream with the shortest expected completion time.
 *
 * The number of this VM's requests is exact. That of other VMs' requests comes from the last load report and
 * decays towards the mean as the report ages, while its variance grows: a slot known to be idle now is
 * preferred to one that was idle a while ago. Slots outside the VM's own share cost extra, so that VMs that
 * all know of the same idle upstream do not send to it at once.
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
    const summary = summarize(candidates, context)
    let best: UpstreamView | undefined
    let bestCost = Infinity
    let shortestQueuePerSlot = Infinity
    for (const view of candidates) {
      const estimate = this.estimate(view, summary, context)
      const cost = this.cost(view, estimate, context)
      shortestQueuePerSlot = Math.min(shortestQueuePerSlot, estimate.waitMs / estimate.serviceMs)
      if (cost >= bestCost) continue
      best = view
      bestCost = cost
    }
    return shortestQueuePerSlot > this.holdThresholdPerSlot(summary, context) && this.isShareUsed(summary, context) ? undefined : best
  }

  rank (candidates: readonly UpstreamView[], context: PickContext, count: number): readonly UpstreamView[] {
    const summary = summarize(candidates, context)
    const costs = candidates.map(view => ({ view, cost: this.cost(view, this.estimate(view, summary, context), context) }))
    costs.sort((one, other) => one.cost - other.cost)
    return costs.slice(0, count).map(({ view }) => view)
  }

  /**
   * Queue per slot above which calls are held back. A VM that holds back a burst loses slots to VMs that send at
   * once, so the threshold drops only during a sustained backlog, when the calls to run must be chosen by value.
   */
  private holdThresholdPerSlot (summary: CandidateSummary, context: PickContext): number {
    const { holdExcessPerSlot, overloadExcessPerSlot, overloadServiceTimes, overloadHoldMs } = this.policy
    const isBacklogSustained = (context.backlogMs ?? 0) > overloadServiceTimes * summary.serviceMs
    if (isBacklogSustained) this.overloadedUntil = context.now + overloadHoldMs
    return context.now < this.overloadedUntil ? overloadExcessPerSlot : holdExcessPerSlot
  }

  /**
   * Whether the attempts under way fill this VM's share of the slots. A call that waits keeps every choice open, but
   * below its share a VM must not hold calls back: if all VMs waited, no responses would carry the reports they wait for.
   * Attempts at upstreams that are not candidates count as under way too: with one usable slot, no candidate has any.
   */
  private isShareUsed (summary: CandidateSummary, { runningAttempts }: PickContext): boolean {
    return runningAttempts > 0 && summary.ownInFlight >= summary.ownSlots * this.policy.holdShare
  }

  private estimate (view: UpstreamView, summary: CandidateSummary, context: PickContext): DelayEstimate {
    const uncrowdedMs = view.serviceTimeMs ?? summary.serviceMs * (1 + COLD_EXTRA_SERVICE_TIMES * (1 - view.warmth))
    const slots = view.slots ?? view.inFlight + 1
    const mean = summary.othersPerSlot * slots * view.warmth
    const others = othersAtReport(view)
    const weight = others === undefined ? 0 : this.reportWeight(view, uncrowdedMs, context)
    const expected = view.inFlight + weight * (others ?? 0) + (1 - weight) * mean
    const variance = (1 - weight * weight) * Math.max(mean, MIN_VARIANCE)
    const excess = expectedExcess(expected + 1 - slots, Math.sqrt(variance))
    const serviceMs = uncrowdedMs * crowdingFactor(view.allSlots ?? slots, expected, this.policy)
    return { excess, waitMs: excess * serviceMs / slots, serviceMs }
  }

  /** Whether a call should renew an old report there. Low traffic reaches few upstreams; the others would never report. */
  private needsRefresh (view: UpstreamView, context: PickContext): boolean {
    if (view.report === undefined || view.inFlight > 0) return false
    return context.now - view.report.receivedAt > this.policy.refreshMs
  }

  private reportWeight (view: UpstreamView, serviceMs: Milliseconds, context: PickContext): number {
    const age = context.now - (view.report?.receivedAt ?? 0)
    return (view.reportTrust ?? 1) * Math.exp(-age / (serviceMs * this.policy.reportAgingServiceTimes))
  }

  private domainCost (view: UpstreamView, context: PickContext): Milliseconds {
    const isOwn = context.ownDomain === undefined || view.upstream.failureDomain === context.ownDomain
    return isOwn ? 0 : crossDomainCost(context.kind, context.responseBytes ?? 0, this.policy)
  }

  private cost (view: UpstreamView, estimate: DelayEstimate, context: PickContext): number {
    const borrowed = view.slotShare !== undefined && view.inFlight >= view.slotShare
    const avoided = context.avoidedDomains.has(view.upstream.failureDomain)
    let cost = estimate.serviceMs + estimate.waitMs
    if (borrowed) cost += this.policy.borrowCostShare * estimate.serviceMs
    if (avoided) cost += AVOIDED_DOMAIN_COST_SHARE * estimate.serviceMs
    cost += view.errorShare * context.kind.deadlineMs
    cost += this.domainCost(view, context)
    if (view.isUnresponsive === true) cost += UNRESPONSIVE_COST_SHARE * context.kind.deadlineMs
    if (this.needsRefresh(view, context)) cost *= REFRESH_COST_FACTOR
    // Differences below the noise of the estimates must not send all calls to one upstream; the others would never report.
    return cost * (1 + this.policy.spreadShare * context.random.next())
  }
}

function othersAtReport (view: UpstreamView): number | undefined {
  if (view.report === undefined) return undefined
  return Math.max(0, view.report.inFlight + view.report.queued - view.inFlightAtReport)
}

function summarize (candidates: readonly UpstreamView[], context: PickContext): CandidateSummary {
  const serviceMs = meanServiceMs(candidates)
  let others = 0
  let slots = 0
  let ownInFlight = 0
  let ownSlots = 0
  for (const view of candidates) {
    ownInFlight += view.inFlight
    ownSlots += (view.slotShare ?? 0) * view.warmth
    const reportedOthers = othersAtReport(view)
    if (reportedOthers === undefined || view.report === undefined || view.slots === undefined) continue
    const weight = (view.reportTrust ?? 1) * Math.exp(-(context.now - view.report.receivedAt) / (serviceMs * MEAN_WINDOW_SERVICE_TIMES))
    others += weight * reportedOthers
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
  return known > 0 ? sum / known : DEFAULT_SERVICE_TIME_MS
}
