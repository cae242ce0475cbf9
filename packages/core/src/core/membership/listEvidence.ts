import type { Clock, Milliseconds } from '../../types/clock.js'
import type { KeyedTiming } from '../../types/keyedTiming.js'
import { incarnationOf, vmIdOf, type Member, type VmListView } from '../../types/member.js'

/**
 * What the VM list proves, and whether this VM may rely on its own view of ownership. A VM that was paused,
 * missed records, or has no recent list that shows itself may have been replaced without knowing. It is then in
 * doubt until it has read both streams to their ends anew, or, with the log down, until every VM of a newer list
 * has given its table of ownership: a VM that replaced this one is among them.
 */
export class ListEvidence {
  private states: ReadonlyMap<string, 'live' | 'leaving'> = new Map()
  private newestAsOf: Milliseconds = -Infinity
  private readonly incarnations = new Map<string, number>()
  /** Members already looked up in the newest list. */
  private readonly absent = new Map<Member, boolean>()
  /** Start of the doubt; a VM begins in doubt. */
  private doubtSince: Milliseconds | undefined
  /** VMs that gave their table of ownership since the doubt began. */
  private readonly tablesFrom = new Set<string>()
  private readonly tails = { ownership: -Infinity, claims: -Infinity }

  private constructor (private readonly self: Member, private readonly clock: Clock, private readonly timing: KeyedTiming) {
    this.doubtSince = clock.now()
  }

  static create (self: Member, clock: Clock, timing: KeyedTiming): ListEvidence {
    return new ListEvidence(self, clock, timing)
  }

  /** Instant of the newest list; -Infinity before the first. */
  get asOf (): Milliseconds {
    return this.newestAsOf
  }

  /** Whether the newest list shows this VM as live. */
  get isListedLive (): boolean {
    return this.isListedAs(this.self, 'live')
  }

  onVmList (list: VmListView): void {
    if (list.asOf <= this.asOf) return
    this.newestAsOf = list.asOf
    this.absent.clear()
    this.states = new Map(list.vms.map(vm => [vm.id, vm.state]))
    if (!this.isListed(this.self)) this.raiseDoubt()
  }

  /** Notes a member that was heard from. */
  onMember (member: Member): void {
    const vmId = vmIdOf(member)
    if ((this.incarnations.get(vmId) ?? 0) >= incarnationOf(member)) return
    this.incarnations.set(vmId, incarnationOf(member))
    this.absent.clear()
  }

  isListed (member: Member): boolean {
    return this.states.has(vmIdOf(member))
  }

  /** Whether the newest list shows the member's VM in a state. */
  isListedAs (member: Member, state: 'live' | 'leaving'): boolean {
    return this.states.get(vmIdOf(member)) === state
  }

  /**
   * Whether a member that was on the list as of `listedAsOf` is confirmed as gone: a later list lacks its VM, or
   * the VM runs a later incarnation.
   */
  isGone (member: Member, listedAsOf: Milliseconds): boolean {
    let absent = this.absent.get(member)
    if (absent === undefined) {
      absent = this.isSucceeded(member) || !this.isListed(member)
      this.absent.set(member, absent)
    }
    return absent && (this.asOf > listedAsOf || this.isSucceeded(member))
  }

  private isSucceeded (member: Member): boolean {
    return (this.incarnations.get(vmIdOf(member)) ?? 0) > incarnationOf(member)
  }

  raiseDoubt (): void {
    this.doubtSince = this.clock.now()
    this.tablesFrom.clear()
  }

  /** Notes that a VM gave its table of ownership. */
  onPeerTable (from: Member): void {
    this.tablesFrom.add(vmIdOf(from))
  }

  /** Whether every other VM of the newest list gave its table since the doubt began. */
  get hasAllTables (): boolean {
    if (this.newestAsOf <= (this.doubtSince ?? -Infinity)) return false
    return [...this.states.keys()].every(id => id === vmIdOf(this.self) || this.tablesFrom.has(id))
  }

  /** Notes that a read sent at `requestedAt` reached the end of a stream. */
  onTail (stream: 'ownership' | 'claims', requestedAt: Milliseconds): void {
    this.tails[stream] = Math.max(this.tails[stream], requestedAt)
  }

  /** Latest read that reached the end of a stream. */
  tailOf (stream: 'ownership' | 'claims'): Milliseconds {
    return this.tails[stream]
  }

  /** Whether both streams were read to their ends lately, so that appends are likely to succeed. */
  isLogHealthy (withinMs: Milliseconds): boolean {
    return Math.min(this.tails.ownership, this.tails.claims) >= this.clock.now() - withinMs
  }

  isInDoubt (): boolean {
    if (this.clock.now() - this.asOf > this.timing.listEvidenceMs) this.raiseDoubt()
    if (this.doubtSince === undefined) return false
    const hasRead = Math.min(this.tails.ownership, this.tails.claims) > this.doubtSince
    if ((hasRead || this.hasAllTables) && this.isListed(this.self)) this.doubtSince = undefined
    return this.doubtSince !== undefined
  }
}
