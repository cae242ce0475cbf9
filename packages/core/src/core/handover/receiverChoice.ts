import type { Clock, Milliseconds } from '../../types/clock.js'
import type { FleetMember } from '../../types/fleetMember.js'
import type { RandomSource } from '../../types/randomSource.js'
import type { FleetMembers } from '../membership/fleetMembers.js'

/** Why a VM did not take a call: it is cut off itself, it has no room, or it cannot be reached or is about to stop. */
export type ReceiverFailure = 'cutOff' | 'full' | 'unreached'

/** How long a VM is avoided. Room is found within the duration of a request; a cut lasts for seconds. */
const AVOIDANCE_MS: Record<ReceiverFailure, Milliseconds> = { cutOff: 1000, full: 200, unreached: 2000 }

/** VMs of a failure domain that must be cut off for the whole domain to be taken for it. */
const CUT_DOMAIN_VMS = 2

/** How long no call is handed over after no VM that was asked reached upstreams. */
const ALL_CUT_MS: Milliseconds = 500

interface Avoidance {
  readonly reason: ReceiverFailure
  readonly until: Milliseconds
}

/** A VM that is avoided, for the dump. */
export interface AvoidedVm {
  readonly vmId: string
  readonly reason: ReceiverFailure
  readonly leftMs: Milliseconds
}

/** Options of the choice. */
export interface ReceiverChoiceOptions {
  readonly vmId: string
  readonly failureDomain: string
  readonly members: FleetMembers
  readonly clock: Clock
  readonly random: RandomSource
}

/**
 * Chooses the VM that a call is handed to: one of another failure domain where possible, since a cut usually concerns a
 * whole one, then the one with fewer calls of this VM in progress out of two random ones, so that a VM that does not answer
 * soon gets no more.
 */
export class ReceiverChoice {
  private readonly avoidances = new Map<string, Avoidance>()
  private readonly inProgress = new Map<string, number>()
  private allCutUntil: Milliseconds = -Infinity

  private constructor (private readonly options: ReceiverChoiceOptions) {}

  static create (options: ReceiverChoiceOptions): ReceiverChoice {
    return new ReceiverChoice(options)
  }

  /** Whether upstreams seem to be down for all VMs. */
  get isAllCut (): boolean {
    return this.options.clock.now() < this.allCutUntil
  }

  /** A member that is not among `tried`; undefined if there is none that may take a call. */
  choose (tried: ReadonlySet<string>): FleetMember | undefined {
    const { vmId, members } = this.options
    this.expire()
    if (this.isAllCut) return undefined
    const untried = members.list().filter(member => member.peerAddress !== undefined && member.vmId !== vmId && !tried.has(member.vmId))
    const welcome = untried.filter(member => !this.avoidances.has(member.vmId))
    // A VM that had no room or did not answer is still better than one that is known to be cut off, such as this one.
    const usable = welcome.length > 0 ? welcome : untried.filter(member => this.avoidances.get(member.vmId)?.reason !== 'cutOff')
    const cutDomains = this.cutDomains()
    const isPreferred = ({ failureDomain }: FleetMember): boolean => failureDomain !== this.options.failureDomain && !cutDomains.has(failureDomain)
    const preferred = usable.filter(isPreferred)
    return this.lessBusyOfTwo(preferred.length > 0 ? preferred : usable)
  }

  onStart (vmId: string): void {
    this.inProgress.set(vmId, (this.inProgress.get(vmId) ?? 0) + 1)
  }

  onEnd (vmId: string): void {
    const left = (this.inProgress.get(vmId) ?? 1) - 1
    if (left > 0) this.inProgress.set(vmId, left)
    else this.inProgress.delete(vmId)
  }

  /** Avoids a VM that did not take a call, or that hands calls over itself. */
  avoid (vmId: string, reason: ReceiverFailure): void {
    const until = this.options.clock.now() + AVOIDANCE_MS[reason]
    const known = this.avoidances.get(vmId)
    if (known === undefined || known.until < until) this.avoidances.set(vmId, { reason, until })
  }

  /** None of the VMs that were asked reaches upstreams. Without effect where others were not asked for want of room or contact. */
  onAllCut (): void {
    this.expire()
    if ([...this.avoidances.values()].some(({ reason }) => reason !== 'cutOff')) return
    this.allCutUntil = this.options.clock.now() + ALL_CUT_MS
  }

  /** The VMs that are avoided at present. */
  avoided (): readonly AvoidedVm[] {
    this.expire()
    const now = this.options.clock.now()
    return [...this.avoidances].map(([vmId, { reason, until }]) => ({ vmId, reason, leftMs: Math.round(until - now) }))
  }

  private cutDomains (): ReadonlySet<string> {
    const counts = new Map<string, number>()
    for (const [vmId, { reason }] of this.avoidances) {
      const domain = this.options.members.get(vmId)?.failureDomain
      if (reason === 'cutOff' && domain !== undefined) counts.set(domain, (counts.get(domain) ?? 0) + 1)
    }
    return new Set([...counts].filter(([, count]) => count >= CUT_DOMAIN_VMS).map(([domain]) => domain))
  }

  private lessBusyOfTwo (members: readonly FleetMember[]): FleetMember | undefined {
    const [one, other] = [this.pick(members), this.pick(members)]
    if (one === undefined || other === undefined) return one
    return this.countInProgress(one) <= this.countInProgress(other) ? one : other
  }

  private pick (members: readonly FleetMember[]): FleetMember | undefined {
    return members[Math.floor(this.options.random.next() * members.length)]
  }

  private countInProgress ({ vmId }: FleetMember): number {
    return this.inProgress.get(vmId) ?? 0
  }

  private expire (): void {
    const now = this.options.clock.now()
    for (const [vmId, { until }] of this.avoidances) if (until <= now) this.avoidances.delete(vmId)
  }
}
