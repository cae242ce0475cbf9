import type { Milliseconds } from '../../types/clock.js'
import {
  KEYED_RECORD_VERSION, type HoldGroup, type HoldRecord, type OwnershipEntry, type TakeRecord, type WitnessEntry
} from '../../types/keyedRecords.js'
import { vmIdOf, type Member } from '../../types/member.js'
import { hashText, rendezvous } from '../../utils/hash.js'
import type { Claimer } from './claimer.js'
import { isInDoubt, isOpen, type KeyedContext, type OwnedPartition } from './keyedContext.js'

/** Witnesses recorded for an owner; a takeover has to hear from all of them, so more are not safer. */
const MAX_WITNESSES = 5

/** Decides which partitions this VM takes, and keeps the record of its ownership and witnesses current. */
export class OwnershipPlan {
  private takeId = 1
  private nextAt: Milliseconds = -Infinity
  private nextTakeAt: Milliseconds = -Infinity
  private nextHoldAt: Milliseconds = -Infinity
  private heldAt: Milliseconds = -Infinity

  private constructor (private readonly context: KeyedContext, private readonly claimer: Claimer, private readonly holdEveryMs: Milliseconds) {}

  /** `holdEveryMs` is a quarter of the log's retention. */
  static create (context: KeyedContext, claimer: Claimer, holdEveryMs: Milliseconds): OwnershipPlan {
    return new OwnershipPlan(context, claimer, holdEveryMs)
  }

  /** Periodic work; appends are repeated, because their responses may be lost. */
  tick (): void {
    const { clock, timing, evidence } = this.context
    const now = clock.now()
    if (now < this.nextAt) return
    this.nextAt = now + timing.repeatMs
    if (!evidence.isLogHealthy(2 * timing.repeatMs) || isInDoubt(this.context)) return
    if (now >= this.nextTakeAt && evidence.isListedLive && !this.context.leaving) this.takePartitions(now)
    if (now >= this.nextHoldAt) this.holdPartitions(now)
  }

  /** The VM that should own a partition, among the live VMs of the list that answer this one. */
  preferredOwner (partition: number): Member | undefined {
    const { peers, self, evidence, leaving } = this.context
    const candidates = new Map<string, Member>()
    if (!leaving && evidence.isListedLive) candidates.set(vmIdOf(self), self)
    for (const peer of peers) {
      if (evidence.isListedAs(peer, 'live')) candidates.set(vmIdOf(peer), peer)
    }
    return candidates.get(rendezvous(`partition ${partition}`, candidates.keys()) ?? '')
  }

  /** Appends a take of a partition on the epoch of its entry, for instance to end an unfinished handover. */
  retake (partition: number): void {
    this.appendTake([partition], this.context.clock.now())
  }

  /** The witnesses for new ownerships of this VM. */
  chooseWitnesses (): Member[] {
    const { peers, self, evidence } = this.context
    return peers
      .filter(peer => evidence.isListedAs(peer, 'live'))
      .sort((a, b) => hashText(`${self}/${a}`) - hashText(`${self}/${b}`))
      .slice(0, MAX_WITNESSES)
  }

  private takePartitions (now: Milliseconds): void {
    const partitions: number[] = []
    for (let partition = 0; partition < this.context.timing.partitionCount; partition++) {
      if (!this.mayTake(this.context.ownership.entryOf(partition))) continue
      if (this.preferredOwner(partition) === this.context.self) partitions.push(partition)
    }
    if (partitions.length === 0) return
    this.appendTake(partitions, now)
    this.nextTakeAt = now + 2 * this.context.timing.repeatMs
  }

  /** Only what nobody owned, or whose owner the VM list confirms as gone; a VM that answers nobody may still run. */
  private mayTake (entry: OwnershipEntry | undefined): boolean {
    if (entry === undefined) return true
    return entry.owner !== this.context.self && this.context.evidence.isGone(entry.owner, entry.listedAsOf)
  }

  private appendTake (partitions: readonly number[], now: Milliseconds): void {
    const { self, evidence, ownership, port } = this.context
    const record: TakeRecord = {
      type: 'take',
      version: KEYED_RECORD_VERSION,
      at: now,
      id: `${self}/${this.takeId++}`,
      claimant: self,
      listedAsOf: evidence.asOf,
      witnesses: this.chooseWitnesses(),
      partitions: partitions.map(partition => ({ partition, baseEpoch: ownership.entryOf(partition)?.epoch ?? 0 }))
    }
    port.append('ownership', JSON.stringify(record))
  }

  private holdPartitions (now: Milliseconds): void {
    const renewal = now - this.heldAt >= this.holdEveryMs
    if (renewal) this.heldAt = now
    const chosen = this.chooseWitnesses()
    const groups = new Map<string, HoldGroup>()
    for (const owned of this.context.owned.values()) {
      const entry = this.context.ownership.entryOf(owned.partition)
      if (entry === undefined || entry.epoch !== owned.epoch || owned.handover !== undefined) continue
      // Once the newest hold is read back, no older one can change the witnesses any more.
      if (entry.holdNumber === owned.holdNumber) owned.dropped.clear()
      if (!renewal && !this.isOutdated(entry, chosen)) continue
      const witnesses = this.renewWitnesses(owned, entry, chosen, now)
      if (renewal || !hasSameMembers(entry.witnesses, witnesses)) addToGroup(groups, witnesses, renewHold(owned, entry))
    }
    if (groups.size > 0) this.appendHold([...groups.values()], now)
  }

  private appendHold (groups: HoldGroup[], now: Milliseconds): void {
    const { self, evidence, port, timing } = this.context
    const record: HoldRecord = { type: 'hold', version: KEYED_RECORD_VERSION, at: now, owner: self, listedAsOf: evidence.asOf, groups }
    port.append('ownership', JSON.stringify(record))
    this.nextHoldAt = now + 2 * timing.repeatMs
  }

  /** Whether a witness is gone, or one could be added. */
  private isOutdated (entry: OwnershipEntry, chosen: readonly Member[]): boolean {
    let open = 0
    for (const witness of entry.witnesses) {
      if (!isOpen(witness)) continue
      if (this.context.evidence.isGone(witness.member, entry.listedAsOf)) return true
      open++
    }
    return open < MAX_WITNESSES && chosen.some(member => !entry.witnesses.some(witness => witness.member === member && isOpen(witness)))
  }

  /**
   * Adds chosen witnesses up to the bound. One that left the list is given up, but only when the log has every
   * claim of the partition, and from then on its answers do not count any more.
   */
  private renewWitnesses (owned: OwnedPartition, entry: OwnershipEntry, chosen: readonly Member[], now: Milliseconds): WitnessEntry[] {
    const mayDrop = !this.claimer.hasUnlogged(owned.partition)
    const kept = entry.witnesses.filter(witness => {
      if (!isOpen(witness)) return (witness.until ?? 0) > now
      return !mayDrop || !this.context.evidence.isGone(witness.member, entry.listedAsOf)
    })
    const open = new Set(kept.filter(isOpen).map(({ member }) => member))
    for (const { member } of entry.witnesses.filter(isOpen)) {
      if (!open.has(member)) owned.dropped.add(member)
    }
    const added = chosen
      .filter(member => !open.has(member) && !owned.dropped.has(member))
      .slice(0, Math.max(0, MAX_WITNESSES - open.size))
    return [...kept.filter(({ member }) => !added.includes(member)), ...added.map(member => ({ member }))]
  }
}

function renewHold (owned: OwnedPartition, entry: OwnershipEntry): HoldGroup['partitions'][number] {
  owned.holdNumber = Math.max(owned.holdNumber, entry.holdNumber) + 1
  const { partition, epoch, holdNumber } = owned
  return { partition, epoch, holdNumber, unseenUntil: Math.max(entry.unseenUntil, owned.unseenUntil) }
}

function addToGroup (groups: Map<string, HoldGroup>, witnesses: WitnessEntry[], held: HoldGroup['partitions'][number]): void {
  const name = JSON.stringify(witnesses)
  const group = groups.get(name)
  if (group === undefined) groups.set(name, { witnesses, partitions: [held] })
  else group.partitions.push(held)
}

function hasSameMembers (a: readonly WitnessEntry[], b: readonly WitnessEntry[]): boolean {
  if (a.length !== b.length) return false
  return a.every(witness => b.some(other => other.member === witness.member && isOpen(other) === isOpen(witness)))
}
