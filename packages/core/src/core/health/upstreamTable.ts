import type { Milliseconds } from '../../types/clock.js'
import type { UpstreamSnapshot } from '../../types/dispatcherSnapshot.js'
import { NO_POLICY_EXCEPTIONS, type PolicyExceptions, type RoutingPolicy } from '../../types/routingPolicy.js'
import type { LoadReport, Upstream } from '../../types/upstream.js'
import { chooseSubset, preferenceOf } from '../routing/subset.js'
import { UpstreamState } from './upstreamState.js'

/** The subset grows where attempts under way take more than this share of its slots, and shrinks again below the other. */
const GROWTH_LOAD = 0.5
const SHRINK_LOAD = 0.1

/** The VM that uses the upstreams. */
export interface TableOwner {
  readonly vmId: string
  /** Undefined where failure domains are all alike. */
  readonly failureDomain?: string | undefined
}

/** Upstreams of one service as this VM knows them. */
export class UpstreamTable {
  private readonly states = new Map<string, UpstreamState>()
  private sorted: UpstreamState[] = []
  /** Slots of the upstreams in use. */
  private usedSlots = 0
  /** How many times the usual subset this VM uses. */
  private reach = 1
  private entryRank = 0
  private entryCount = 1
  private exceptions = NO_POLICY_EXCEPTIONS.upstreams

  private constructor (private policy: RoutingPolicy, private readonly owner: TableOwner) {}

  static create (policy: RoutingPolicy, owner: TableOwner): UpstreamTable {
    return new UpstreamTable(policy, owner)
  }

  setPolicy (policy: RoutingPolicy, exceptions: PolicyExceptions['upstreams']): void {
    this.policy = policy
    this.exceptions = exceptions
    for (const [id, state] of this.states) state.policy = this.policyOf(id)
    this.arrange()
  }

  get (upstreamId: string): UpstreamState | undefined {
    return this.states.get(upstreamId)
  }

  /** The upstreams that this VM uses, sorted by id. */
  all (): readonly UpstreamState[] {
    return this.sorted
  }

  setUpstreams (upstreams: readonly Upstream[], now: Milliseconds): void {
    const listed = new Set(upstreams.map(upstream => upstream.id))
    for (const id of this.states.keys()) {
      if (!listed.has(id)) this.states.delete(id)
    }
    for (const upstream of upstreams) this.put(upstream, now)
    this.arrange()
  }

  /** Fits the number of upstreams in use to the attempts under way: a VM left alone carries the load of all. */
  fitTo (attempts: number): void {
    const isLarge = this.sorted.length < this.states.size
    if (isLarge && attempts > this.usedSlots * GROWTH_LOAD) this.setReach(this.reach * 2)
    else if (this.reach > 1 && attempts < this.usedSlots * SHRINK_LOAD) this.setReach(this.reach / 2)
  }

  setEntryPosition (rank: number, count: number): void {
    this.entryRank = rank
    this.entryCount = Math.max(count, 1)
    this.arrange()
  }

  /** Attempts of this VM that `state` may hold at once. */
  limitOf (state: UpstreamState): number {
    const connections = Math.max(1, Math.floor(state.policy.connectionsPerUpstream / this.entryCount))
    if (state.slots === undefined) return Math.min(state.adaptiveLimit.calls, connections)
    const slots = state.slots
    const warm = Math.max(1, Math.ceil(slots * state.warmth))
    return Math.min(warm + state.policy.queueAllowanceCalls, connections)
  }

  /** Upstreams that take new work now, without those in `tried` where others remain. */
  candidates (now: Milliseconds, tried: ReadonlySet<string>): UpstreamState[] {
    const open = this.sorted.filter(state => this.isOpen(state, now))
    if (tried.size === 0) return open
    const untried = open.filter(state => !tried.has(state.upstream.id))
    return untried.length > 0 ? untried : open
  }

  /** Takes a load report; one that changes the number of slots changes the division. */
  takeReport (state: UpstreamState, report: LoadReport): void {
    const slots = state.slots
    state.takeReport(report)
    if (state.slots !== slots) this.arrange()
  }

  /** Whether any upstream is left that may take new work, now or once a limit allows it. */
  hasTakers (now: Milliseconds): boolean {
    return this.sorted.some(state => !isDraining(state, now))
  }

  /** Stops new work for an upstream. */
  markDraining (state: UpstreamState, until: Milliseconds): void {
    state.drainingUntil = Math.max(state.drainingUntil, until)
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
      draining: isDraining(state, now),
      ejected: state.isEjected,
      attempts: state.attempts,
      failures: state.failures
    }
  }

  private isOpen (state: UpstreamState, now: Milliseconds): boolean {
    if (state.isEjected || isDraining(state, now) || state.backOffUntil > now) return false
    return state.inFlight < this.limitOf(state)
  }

  private put (upstream: Upstream, now: Milliseconds): void {
    const known = this.states.get(upstream.id)
    // A process that started again under its id knows nothing of before, and nothing learned of the former one holds.
    if (known !== undefined && known.upstream.incarnation === upstream.incarnation) {
      known.upstream = upstream
      return
    }
    // Upstreams known before the first call are taken to be warm: a restarted entry VM must not throttle a whole service.
    const warmSince = this.hasServed() ? now : -Infinity
    const preference = preferenceOf(this.owner.vmId, upstream.id)
    this.states.set(upstream.id, UpstreamState.create({ upstream, preference, warmSince, policy: this.policyOf(upstream.id) }))
  }

  private hasServed (): boolean {
    return this.sorted.some(({ attempts }) => attempts > 0)
  }

  private policyOf (upstreamId: string): RoutingPolicy {
    return this.exceptions.get(upstreamId) ?? this.policy
  }

  private setReach (reach: number): void {
    this.reach = reach
    this.arrange()
  }

  private arrange (): void {
    const all = [...this.states.values()]
    const limit = this.policy.scanLimitUpstreams * this.reach
    this.sorted = chooseSubset(all, limit, this.owner.failureDomain)
    this.sorted.sort((one, other) => one.upstream.id < other.upstream.id ? -1 : 1)
    this.usedSlots = this.sorted.reduce((sum, { slots }) => sum + (slots ?? 1), 0)
    if (this.sorted.length === all.length) this.divideSlots()
    else this.divideEvenly(this.sorted.length / all.length)
  }

  /** Numbers all slots in order of upstream id and gives slot n to VM n modulo the count; all VMs arrive at the same division. */
  private divideSlots (): void {
    let first = 0
    for (const state of this.sorted) {
      const slots = state.slots
      state.slotShare = slots === undefined ? undefined : ownedBetween(first, first + slots, this.entryRank, this.entryCount)
      first += slots ?? 0
    }
  }

  /** With subsets, only a part of the VMs shares each upstream. */
  private divideEvenly (subsetShare: number): void {
    const sharers = Math.max(1, this.entryCount * subsetShare)
    for (const state of this.sorted) {
      state.slotShare = state.slots === undefined ? undefined : state.slots / sharers
    }
  }
}

/** Whether the upstream asked for no new work or is registered as leaving. */
export function isDraining (state: UpstreamState, now: Milliseconds): boolean {
  return state.upstream.state === 'leaving' || state.drainingUntil > now
}

/** How many numbers n in [from, to) have n modulo `count` equal to `rank`. */
function ownedBetween (from: number, to: number, rank: number, count: number): number {
  const below = (limit: number) => Math.floor((limit - rank - 1) / count) + 1
  return below(to) - below(from)
}
