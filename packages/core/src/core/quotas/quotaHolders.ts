import type { Clock, Milliseconds } from '../../types/clock.js'
import type { FleetMember } from '../../types/fleetMember.js'
import type { Quota } from '../../types/quota.js'
import type { FleetMembers } from '../membership/fleetMembers.js'
import { preferenceOf } from '../routing/subset.js'

/** Holders of a small quota: more than one, so that the loss of a VM leaves part of the quota in use. */
const MIN_HOLDERS = 2

/** Holders of a large quota: the loss of one costs a quarter, and each one more adds messages. */
const MAX_HOLDERS = 4

/**
 * Time for which a change of the members must have been known before a VM becomes a holder by it. VMs learn of a change at
 * times that differ by up to a few seconds; a VM that ceases to be a holder stops as soon as it knows.
 */
export const SETTLING_MS: Milliseconds = 3000

/** Options of the choice of holders. */
export interface QuotaHoldersOptions {
  readonly members: FleetMembers
  readonly ownId: string
  /** Whether this VM and others exchange tokens; if not, each VM has an equal part. */
  readonly exchangesTokens: boolean
  readonly clock: Clock
}

/** This VM's part of a quota as its holder. */
export interface HeldPart {
  /** Share of the quota, above 0 and at most 1. */
  readonly share: number
  /** Since when this VM may have earned tokens. */
  readonly heldSince: Milliseconds
}

/**
 * Chooses the VMs that own the parts of a customer's quota, by rendezvous hashing. A removed member counts for `SETTLING_MS`
 * more, and a new one is no holder before that: at any time, the VMs that grant tokens of a customer are then among the
 * holders of one list of members, while the views of the VMs differ by less than this time.
 */
export class QuotaHolders {
  private version = -1
  private readonly joinedAt = new Map<string, Milliseconds>()
  /** Members and those removed recently, by id. */
  private readonly counted = new Map<string, FleetMember>()
  private readonly removedAt = new Map<string, Milliseconds>()
  /** When the last removed member ceased to count. */
  private promotedAt: Milliseconds
  private readonly rankings = new Map<string, readonly FleetMember[]>()

  private constructor (private readonly options: QuotaHoldersOptions) {
    this.promotedAt = options.clock.now()
  }

  static create (options: QuotaHoldersOptions): QuotaHolders {
    return new QuotaHolders(options)
  }

  /** Number of known VMs. */
  get vms (): number {
    return this.options.members.count
  }

  /** Whether this VM is a registered member by its own view. */
  get isRegistered (): boolean {
    return this.options.members.get(this.options.ownId) !== undefined
  }

  /** Takes note of changed members. Must be called when they change, because the time of a change decides. */
  refresh (): void {
    const { members, clock } = this.options
    const now = clock.now()
    this.forgetRemoved(now)
    if (this.version === members.version) return
    const isFirst = this.counted.size === 0
    this.version = members.version
    this.rankings.clear()
    const listed = members.list().filter(member => member.peerAddress !== undefined)
    for (const member of listed) {
      if (!this.joinedAt.has(member.vmId)) this.joinedAt.set(member.vmId, isFirst ? -Infinity : now)
      this.removedAt.delete(member.vmId)
      this.counted.set(member.vmId, member)
    }
    for (const vmId of this.counted.keys()) {
      if (members.get(vmId)?.peerAddress !== undefined || this.removedAt.has(vmId)) continue
      this.removedAt.set(vmId, now)
      this.joinedAt.delete(vmId)
    }
  }

  /** The holders of a quota that can be asked for tokens; this VM may be among them. */
  holdersOf (quota: Quota): readonly FleetMember[] {
    this.refresh()
    if (!this.options.exchangesTokens) return [this.ownMember()]
    return this.rankingFor(quota).filter(({ vmId }) => !this.removedAt.has(vmId))
  }

  /** This VM's part of a quota; undefined if it is not a holder. */
  ownPart (quota: Quota): HeldPart | undefined {
    this.refresh()
    const { ownId, clock, exchangesTokens } = this.options
    if (!exchangesTokens) return { share: 1 / this.vms, heldSince: this.promotedAt }
    const settledAt = (this.joinedAt.get(ownId) ?? Infinity) + SETTLING_MS
    if (clock.now() < settledAt) return undefined
    const isHolder = this.rankingFor(quota).some(({ vmId }) => vmId === ownId)
    if (!isHolder) return undefined
    return { share: 1 / holderCountOf(quota, this.counted.size), heldSince: Math.max(settledAt, this.promotedAt) }
  }

  /** Rank of this VM among the members for a customer, starting at 0; undefined if it is not registered. */
  ownRank (customer: string): number | undefined {
    const { members, ownId } = this.options
    if (!this.isRegistered) return undefined
    const own = preferenceOf(ownId, customer)
    return members.list().filter(({ vmId }) => preferenceOf(vmId, customer) < own).length
  }

  private rankingFor (quota: Quota): readonly FleetMember[] {
    const count = holderCountOf(quota, this.counted.size)
    const known = this.rankings.get(quota.customer)
    if (known?.length === count) return known
    const ranking = [...this.counted.values()]
      .map(member => ({ member, preference: preferenceOf(member.vmId, quota.customer) }))
      .sort((one, other) => one.preference - other.preference || (one.member.vmId < other.member.vmId ? -1 : 1))
      .slice(0, count)
      .map(({ member }) => member)
    this.rankings.set(quota.customer, ranking)
    return ranking
  }

  private forgetRemoved (now: Milliseconds): void {
    for (const [vmId, at] of this.removedAt) {
      if (now < at + SETTLING_MS) continue
      this.removedAt.delete(vmId)
      this.counted.delete(vmId)
      this.promotedAt = now
      this.rankings.clear()
    }
  }

  private ownMember (): FleetMember {
    const { ownId, members } = this.options
    return members.get(ownId) ?? { vmId: ownId, feedAddress: '', failureDomain: '' }
  }
}

function holderCountOf ({ requestsPerSecond }: Quota, members: number): number {
  return Math.min(members, Math.max(MIN_HOLDERS, Math.min(MAX_HOLDERS, Math.round(requestsPerSecond))))
}
