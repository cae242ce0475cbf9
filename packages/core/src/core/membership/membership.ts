import type { Clock, Milliseconds } from '../../types/clock.js'
import { EXCHANGE_VERSION, MAX_EXCHANGE_ENTRIES, exchangeMessageSchema, type ExchangeMessage } from '../../types/exchange.js'
import { incarnationOf, memberOf, vmIdOf, type Member, type VmListView } from '../../types/member.js'
import type { RandomSource } from '../../types/randomSource.js'
import { SharedMarks } from '../health/sharedMarks.js'

/** Peers that a VM contacts in each round. */
export const FAN_OUT = 3
/** Interval of rounds. */
export const EXCHANGE_EVERY_MS = 1_000
/** A VM whose counter stands still for this long is silent, in a fleet of up to 100 VMs. */
export const SILENT_AFTER_MS = 5_000
/**
 * Above this size the time grows with the fleet, because messages carry a bounded number of counters: among 200
 * VMs, 5 s take 4.6% of the live ones for silent.
 */
const FULL_SPEED_SIZE = 100
/** Time for which a draining notice counts; the VM list shows the upstream as leaving long before it ends. */
export const DRAINING_MS = 30_000
/** Time for which the mark of a suspect request counts. */
export const SUSPECT_MS = 60_000

/** How a VM appears from here. Only `gone` says that it has stopped. */
export type MemberState = 'live' | 'silent' | 'cutOff' | 'leaving' | 'gone'

/** Learns of news from peers. */
export interface MembershipPort {
  onDraining (upstreamId: string): void
  /** `crashes` is the number known by now. */
  onSuspect (fingerprint: string, crashes: number): void
}

interface Peer {
  incarnation: number
  counter: number
  /** When the counter last advanced; for a VM not heard yet, when it was first listed. */
  advancedAt: Milliseconds
  /** Whether the last direct contact failed. */
  unreachable: boolean
  leaving: boolean
  configRevision: number
  /** Messages that carried the counter since it advanced. */
  timesSent: number
}

/** The entry VMs as one of them sees them, from the VM list and the regular exchange. */
export class Membership {
  /** Draining upstreams and suspect requests known to any VM. */
  readonly marks: SharedMarks
  /** Set by the host before each round. */
  configRevision = 0
  leaving = false
  private readonly peers = new Map<string, Peer>()
  private listed = new Map<string, 'live' | 'leaving'>()
  private listAsOf: Milliseconds = -Infinity
  private counter = 0
  private crashNumber = 0
  private nextRoundAt: Milliseconds
  /** VMs not yet contacted in this pass over the list, in random order. */
  private queue: string[] = []

  private constructor (
    private readonly self: Member,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly port: MembershipPort
  ) {
    this.marks = SharedMarks.create(clock)
    this.nextRoundAt = clock.now()
  }

  static create (self: Member, clock: Clock, random: RandomSource, port: MembershipPort): Membership {
    return new Membership(self, clock, random, port)
  }

  onVmList (list: VmListView): void {
    if (list.asOf <= this.listAsOf) return
    this.listAsOf = list.asOf
    this.listed = new Map(list.vms.map(vm => [vm.id, vm.state]))
    for (const id of this.listed.keys()) {
      if (id !== vmIdOf(this.self)) this.peerOf(id)
    }
    for (const [id, peer] of this.peers) {
      if (!this.listed.has(id) && this.isSilent(peer)) this.peers.delete(id)
    }
  }

  nextTimerAt (): Milliseconds {
    return this.nextRoundAt
  }

  /** Starts a round if one is due: the VMs to send `createMessage` to. */
  takeTargets (): string[] {
    const now = this.clock.now()
    if (now < this.nextRoundAt) return []
    this.nextRoundAt = now + EXCHANGE_EVERY_MS
    this.counter++
    const targets: string[] = []
    const wanted = Math.min(FAN_OUT, this.targetIds().length)
    while (targets.length < wanted) {
      if (this.queue.length === 0) this.queue = this.shuffle(this.targetIds().filter(id => !targets.includes(id)))
      const id = this.queue.pop()
      if (id === undefined) break
      if (this.listed.has(id)) targets.push(id)
    }
    return targets
  }

  /** The next message to a peer, or the answer to one. */
  createMessage (): ExchangeMessage {
    return {
      version: EXCHANGE_VERSION,
      from: this.self,
      leaving: this.leaving,
      configRevision: this.configRevision,
      heartbeats: [[this.self, this.counter], ...this.chooseHeartbeats()],
      ...this.marks.list()
    }
  }

  /** Takes a message or the answer to one. Invalid messages are ignored. */
  onMessage (data: unknown): void {
    const parsed = exchangeMessageSchema.safeParse(data)
    if (!parsed.success || parsed.data.version > EXCHANGE_VERSION) return
    const message = parsed.data
    for (const [member, counter] of message.heartbeats) this.noteHeartbeat(member, counter)
    this.noteContact(message)
    for (const [id, remainingMs] of message.draining) {
      if (this.marks.noteDraining(id, Math.min(remainingMs, DRAINING_MS))) this.port.onDraining(id)
    }
    for (const [fingerprint, crashIds, remainingMs] of message.suspects) {
      if (!this.marks.noteCrashes(fingerprint, crashIds, Math.min(remainingMs, SUSPECT_MS))) continue
      this.port.onSuspect(fingerprint, this.marks.crashesOf(fingerprint))
    }
  }

  /** Notes that a VM did not answer. */
  onUnreachable (vmId: string): void {
    const peer = this.peers.get(vmId)
    if (peer !== undefined) peer.unreachable = true
  }

  /** Notes this VM's own observation that an upstream takes no new work. */
  noteDraining (upstreamId: string): void {
    this.marks.noteDraining(upstreamId, DRAINING_MS)
  }

  /** Notes a crash that this VM observed; returns the number of crashes known for the fingerprint. */
  noteCrash (fingerprint: string): number {
    this.crashNumber++
    this.marks.noteCrashes(fingerprint, [`${this.self}/${this.crashNumber}`], SUSPECT_MS)
    return this.marks.crashesOf(fingerprint)
  }

  stateOf (vmId: string): MemberState {
    const peer = this.peers.get(vmId)
    const listed = this.listed.get(vmId)
    if (listed === undefined) return 'gone'
    if (listed === 'leaving' || peer?.leaving === true) return 'leaving'
    if (peer === undefined || this.isSilent(peer)) return 'silent'
    return peer.unreachable ? 'cutOff' : 'live'
  }

  /** Members that answer this VM. */
  liveMembers (): Member[] {
    return [...this.peers]
      .filter(([id, peer]) => peer.incarnation > 0 && this.stateOf(id) === 'live')
      .map(([id, peer]) => memberOf(id, peer.incarnation))
  }

  /**
   * Position of this VM among the VMs that share the slots of upstreams, and their number. VMs that are only cut
   * off from here send to upstreams all the same.
   */
  share (): { rank: number, count: number } {
    const id = vmIdOf(this.self)
    const sharing = [...this.listed.keys()].filter(other => other === id || ['live', 'cutOff'].includes(this.stateOf(other)))
    if (!sharing.includes(id)) sharing.push(id)
    return { rank: sharing.sort().indexOf(id), count: sharing.length }
  }

  /** The VM that answers this one and has the newest configuration, if it is newer than this VM's. */
  newestConfig (): { vmId: string, revision: number } | undefined {
    let newest: { vmId: string, revision: number } | undefined
    for (const [vmId, peer] of this.peers) {
      if (peer.unreachable || peer.configRevision <= Math.max(this.configRevision, newest?.revision ?? 0)) continue
      newest = { vmId, revision: peer.configRevision }
    }
    return newest
  }

  private targetIds (): string[] {
    return [...this.listed.keys()].filter(id => id !== vmIdOf(this.self))
  }

  private shuffle (ids: string[]): string[] {
    for (let index = ids.length - 1; index > 0; index--) {
      const other = Math.floor(this.random.next() * (index + 1))
      const id = ids[index] as string
      ids[index] = ids[other] as string
      ids[other] = id
    }
    return ids
  }

  /** The heartbeats passed on least often since they advanced, as the others are known more widely; random among equals. */
  private chooseHeartbeats (): Array<[Member, number]> {
    return [...this.peers]
      .filter(([, peer]) => peer.incarnation > 0)
      .map(([id, peer]) => ({ id, peer, order: peer.timesSent + this.random.next() }))
      .sort((a, b) => a.order - b.order)
      .slice(0, MAX_EXCHANGE_ENTRIES - 1)
      .map(({ id, peer }) => {
        peer.timesSent++
        return [memberOf(id, peer.incarnation), peer.counter]
      })
  }

  private peerOf (vmId: string): Peer {
    const known = this.peers.get(vmId)
    if (known !== undefined) return known
    const peer = { incarnation: 0, counter: -1, advancedAt: this.clock.now(), unreachable: false, leaving: false, configRevision: 0, timesSent: 0 }
    this.peers.set(vmId, peer)
    return peer
  }

  private noteHeartbeat (member: Member, counter: number): void {
    const vmId = vmIdOf(member)
    // A VM that is not on the list yet is remembered, so that it counts at once when it is.
    if (vmId === vmIdOf(this.self)) return
    const peer = this.peerOf(vmId)
    const incarnation = incarnationOf(member)
    if (incarnation < peer.incarnation || (incarnation === peer.incarnation && counter <= peer.counter)) return
    if (incarnation > peer.incarnation) Object.assign(peer, { leaving: false, unreachable: false, configRevision: 0 })
    Object.assign(peer, { incarnation, counter, advancedAt: this.clock.now(), timesSent: 0 })
  }

  private noteContact (message: ExchangeMessage): void {
    const peer = this.peers.get(vmIdOf(message.from))
    if (peer === undefined || peer.incarnation !== incarnationOf(message.from)) return
    peer.unreachable = false
    peer.leaving = message.leaving
    peer.configRevision = Math.max(peer.configRevision, message.configRevision)
  }

  private isSilent (peer: Peer): boolean {
    return this.clock.now() - peer.advancedAt >= SILENT_AFTER_MS * Math.max(1, this.listed.size / FULL_SPEED_SIZE)
  }
}
