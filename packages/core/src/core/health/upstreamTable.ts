import type { Milliseconds } from '../../types/clock.js'
import type { UpstreamSnapshot } from '../../types/dispatcherSnapshot.js'
import type { RandomSource } from '../../types/randomSource.js'
import { NO_POLICY_EXCEPTIONS, type PolicyExceptions, type RoutingPolicy } from '../../types/routingPolicy.js'
import type { Warmup } from '../../types/routes.js'
import type { LoadReport, Upstream } from '../../types/upstream.js'
import { wholeShare } from '../limits/fleetShare.js'
import { UNDIVIDED_RATES, type RateDivision } from '../limits/rateDivision.js'
import { UpstreamRateLimit } from '../limits/upstreamRateLimit.js'
import { chooseSubset, preferenceOf } from '../routing/subset.js'
import { LeavingUpstreams } from './leavingUpstreams.js'
import { UpstreamState } from './upstreamState.js'

/** Attempts in flight per used slot above which the subset of upstreams grows. */
const SUBSET_GROWTH_LOAD = 0.5
/** Attempts in flight per used slot below which an enlarged subset shrinks again. */
const SUBSET_SHRINK_LOAD = 0.1

/** The VM on which the dispatcher runs. */
export interface LocalVm {
  readonly vmId: string
  /** Undefined if failure domains do not matter. */
  readonly failureDomain?: string | undefined
  readonly random: RandomSource
  /** Divides the request rates that upstreams name; this VM uses them alone by default. */
  readonly rateDivision?: RateDivision | undefined
}

/** The upstreams of one service, with the subset that this VM uses, their limits and the VM's shares of their slots. */
export class UpstreamTable {
  private readonly states = new Map<string, UpstreamState>()
  private readonly leaving = LeavingUpstreams.create()
  private evacuatedDomains: ReadonlySet<string> = new Set()
  /** Those outside the evacuated failure domains. */
  private available: readonly UpstreamState[] = []
  private used: UpstreamState[] = []
  /** Slots of the upstreams in use. */
  private usedSlots = 0
  /** Size of the subset relative to `scanLimitUpstreams`. */
  private subsetFactor = 1
  private entryRank = 0
  private entryCount = 1
  private warmup: Warmup | undefined
  private exceptions = NO_POLICY_EXCEPTIONS.upstreams

  private constructor (private policy: RoutingPolicy, private readonly localVm: LocalVm) {}

  static create (policy: RoutingPolicy, localVm: LocalVm): UpstreamTable {
    return new UpstreamTable(policy, localVm)
  }

  setPolicy (policy: RoutingPolicy, exceptions: PolicyExceptions['upstreams']): void {
    this.policy = policy
    this.exceptions = exceptions
    for (const [id, state] of this.states) state.policy = this.policyOf(id)
    this.rebuild()
  }

  get (upstreamId: string): UpstreamState | undefined {
    return this.states.get(upstreamId)
  }

  /** The upstreams that this VM uses, in order of id. */
  inUse (): readonly UpstreamState[] {
    return this.used
  }

  /** Sets what a cold upstream takes from all VMs together; undefined without a limit. */
  setWarmup (warmup: Warmup | undefined): void {
    this.warmup = warmup
    for (const { rateLimit } of this.states.values()) rateLimit.setWarmup(warmup)
  }

  setUpstreams (upstreams: readonly Upstream[], now: Milliseconds): void {
    const upstreamIds = new Set(upstreams.map(upstream => upstream.id))
    for (const id of this.states.keys()) {
      if (!upstreamIds.has(id)) this.states.delete(id)
    }
    for (const upstream of upstreams) this.put(upstream, now)
    this.rebuild()
  }

  /**
   * Takes the upstreams of these failure domains out of use, and returns those of the others to use. Upstreams that return
   * may be cold without having said so yet, so they start slowly and within the warm-up rate.
   */
  setEvacuatedDomains (domains: ReadonlySet<string>, now: Milliseconds): void {
    for (const state of this.states.values()) {
      if (this.isEvacuated(state) && !domains.has(state.upstream.failureDomain)) markReturned(state, now)
    }
    this.evacuatedDomains = domains
    this.rebuild()
  }

  /** Number of registered upstreams outside the evacuated failure domains. */
  get availableCount (): number {
    return this.available.length
  }

  /** Number of registered upstreams in evacuated failure domains. */
  get evacuatedCount (): number {
    return this.states.size - this.available.length
  }

  /** Stops new work for an incarnation of an upstream for good. */
  markLeaving (upstreamId: string, incarnation: number | undefined): void {
    this.leaving.add(upstreamId, incarnation)
    const state = this.states.get(upstreamId)
    if (state !== undefined && state.upstream.incarnation === incarnation) state.isLeaving = true
  }

  /** Adapts the subset to the attempts in flight: a VM that is left alone carries the load of the whole fleet. */
  resizeSubset (attempts: number): void {
    const isPartial = this.used.length < this.available.length
    if (isPartial && attempts > this.usedSlots * SUBSET_GROWTH_LOAD) this.setSubsetFactor(this.subsetFactor * 2)
    else if (this.subsetFactor > 1 && attempts < this.usedSlots * SUBSET_SHRINK_LOAD) this.setSubsetFactor(this.subsetFactor / 2)
  }

  setEntryPosition (rank: number, count: number): void {
    this.entryRank = rank
    this.entryCount = Math.max(count, 1)
    this.rebuild()
  }

  /** Limit of this VM's concurrent attempts at an upstream. */
  limitOf (state: UpstreamState): number {
    const connections = wholeShare(state.policy.connectionsPerUpstream, this.entryCount)
    if (state.slots === undefined) return Math.min(state.adaptiveLimit.calls, connections)
    const slots = state.slots
    const warmSlots = Math.max(1, Math.ceil(slots * state.warmth))
    return Math.min(warmSlots + state.policy.queueAllowanceCalls, connections)
  }

  /** The upstreams that accept new work now, without those in `tried` unless no others remain. */
  candidates (now: Milliseconds, tried: ReadonlySet<string>): UpstreamState[] {
    const open = this.used.filter(state => this.isOpen(state, now))
    if (tried.size === 0) return open
    const untried = open.filter(state => !tried.has(state.upstream.id))
    return untried.length > 0 ? untried : open
  }

  /** Upstreams in use that take new work once they have a free slot. */
  working (now: Milliseconds): UpstreamState[] {
    return this.used.filter(state => !state.isEjected && !isDraining(state, now) && state.backoffUntil <= now && !state.pause.isActive(now))
  }

  /** Stores a load report. If it changes the number of slots, the slots are divided anew among the VMs. */
  onReport (state: UpstreamState, report: LoadReport): void {
    const slots = state.slots
    state.onReport(report)
    if (state.slots !== slots) this.rebuild()
  }

  /** Whether any upstream may accept new work, now or after a limit, backoff or ejection ends. */
  hasEligibleUpstreams (now: Milliseconds): boolean {
    return this.used.some(state => !isDraining(state, now))
  }

  /** Number of upstreams in use to which their request rates allow no request now. */
  countRateHeld (now: Milliseconds): number {
    return this.used.reduce((count, { rateLimit }) => rateLimit.allows(now) ? count : count + 1, 0)
  }

  /** Whether an upstream may be probed that gets no calls at present: none of the reasons forbids probes too. */
  takesProbes (state: UpstreamState, now: Milliseconds): boolean {
    return !this.isEvacuated(state) && !isDraining(state, now) && !state.pause.isActive(now) && !state.rateLimit.isLimited(now)
  }

  /** Number of upstreams in use that have asked for a pause which has not ended. */
  countPaused (now: Milliseconds): number {
    return this.used.reduce((count, { pause }) => pause.isActive(now) ? count + 1 : count, 0)
  }

  /** Stops new work for an upstream until the given instant. */
  markDraining (state: UpstreamState, until: Milliseconds): void {
    state.drainingUntil = Math.max(state.drainingUntil, until)
  }

  /** Attempts of this VM in flight at the upstreams in use. */
  countInFlight (): number {
    return this.used.reduce((sum, { inFlight }) => sum + inFlight, 0)
  }

  snapshotOf (state: UpstreamState, now: Milliseconds): UpstreamSnapshot {
    return {
      id: state.upstream.id,
      inFlight: state.inFlight,
      limit: this.limitOf(state),
      slots: state.slots,
      serviceTimeMs: state.serviceTimeMs,
      errorShare: state.errorShare,
      warmth: state.warmth,
      reportTrust: state.reportTrust,
      requestsPerSecond: state.rateLimit.requestsPerSecond,
      isCold: state.rateLimit.isCold(now),
      draining: isDraining(state, now),
      leaving: state.isLeaving,
      pauseLeftMs: state.pause.leftMs(now),
      ejected: state.isEjected,
      attempts: state.attempts,
      failures: state.failures
    }
  }

  private isOpen (state: UpstreamState, now: Milliseconds): boolean {
    if (state.isEjected || isDraining(state, now) || state.backoffUntil > now || state.pause.isActive(now)) return false
    return state.inFlight < this.limitOf(state) && state.rateLimit.allows(now)
  }

  private put (upstream: Upstream, now: Milliseconds): void {
    const known = this.states.get(upstream.id)
    // What was learned about an upstream does not apply to a new process under the same id.
    if (known !== undefined && known.upstream.incarnation === upstream.incarnation) {
      known.upstream = upstream
      known.rateLimit.setColdUntil(upstream.warmAt ?? -Infinity)
      return
    }
    // Upstreams listed before the first call count as warm: a restarted entry VM must not throttle a whole service.
    const slowStartedAt = this.hasServed() ? now : -Infinity
    const { vmId, random, rateDivision = UNDIVIDED_RATES } = this.localVm
    const preference = preferenceOf(vmId, upstream.id)
    const rateLimit = UpstreamRateLimit.create({ upstream, division: rateDivision, random })
    rateLimit.setWarmup(this.warmup)
    rateLimit.setColdUntil(upstream.warmAt ?? -Infinity)
    const state = UpstreamState.create({ upstream, preference, slowStartedAt, policy: this.policyOf(upstream.id), rateLimit })
    state.isLeaving = this.leaving.has(upstream.id, upstream.incarnation)
    this.states.set(upstream.id, state)
  }

  private hasServed (): boolean {
    return [...this.states.values()].some(({ attempts }) => attempts > 0)
  }

  private policyOf (upstreamId: string): RoutingPolicy {
    return this.exceptions.get(upstreamId) ?? this.policy
  }

  private setSubsetFactor (subsetFactor: number): void {
    this.subsetFactor = subsetFactor
    this.rebuild()
  }

  private isEvacuated (state: UpstreamState): boolean {
    return this.evacuatedDomains.has(state.upstream.failureDomain)
  }

  private rebuild (): void {
    const states = [...this.states.values()].filter(state => !this.isEvacuated(state))
    this.available = states
    const limit = this.policy.scanLimitUpstreams * this.subsetFactor
    this.used = chooseSubset(states, limit, this.localVm.failureDomain)
    this.used.sort((one, other) => one.upstream.id < other.upstream.id ? -1 : 1)
    this.usedSlots = this.used.reduce((sum, { slots }) => sum + (slots ?? 1), 0)
    if (this.used.length === states.length) this.divideSlots()
    else this.divideBySubset(this.used.length / states.length)
  }

  /**
   * Numbers all slots in order of upstream id and assigns slot n to the VM of rank n modulo the VM count, so that all VMs
   * compute the same division.
   */
  private divideSlots (): void {
    let firstSlot = 0
    for (const state of this.used) {
      const slots = state.slots
      state.slotShare = slots === undefined ? undefined : countOwned(firstSlot, firstSlot + slots, this.entryRank, this.entryCount)
      firstSlot += slots ?? 0
    }
  }

  /** With subsets, each upstream is shared by only some of the VMs. */
  private divideBySubset (subsetShare: number): void {
    const sharingVms = Math.max(1, this.entryCount * subsetShare)
    for (const state of this.used) {
      state.slotShare = state.slots === undefined ? undefined : state.slots / sharingVms
    }
  }
}

/** Whether the upstream has asked for no new work or is registered as leaving. */
export function isDraining (state: UpstreamState, now: Milliseconds): boolean {
  return state.isLeaving || state.upstream.state === 'leaving' || state.drainingUntil > now
}

function markReturned (state: UpstreamState, now: Milliseconds): void {
  state.rateLimit.assumeCold(now)
  state.slowStartedAt = now
}

/** How many numbers n in [from, to) have n modulo `count` equal to `rank`. */
function countOwned (from: number, to: number, rank: number, count: number): number {
  const below = (limit: number) => Math.floor((limit - rank - 1) / count) + 1
  return below(to) - below(from)
}
