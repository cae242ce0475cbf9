import type { Milliseconds } from '../../types/clock.js'
import type { CollectAnswer } from '../../types/keyedCall.js'
import { KEYED_RECORD_VERSION, type FenceRecord, type OwnershipEntry, type PartitionEpoch } from '../../types/keyedRecords.js'
import type { Member } from '../../types/member.js'
import type { KeyedContext, OwnedPartition } from './keyedContext.js'

interface PendingCollect {
  readonly to: Member
  readonly sentAt: Milliseconds
  readonly epochs: ReadonlyMap<number, number>
}

/**
 * Brings a partition that was taken from a lost owner into use. A fence in the log ends the claims of the
 * earlier owner there; every member that may have witnessed claims gives them and refuses the earlier owner
 * from then on. Keys found are answered "outcome unknown"; others run once the longest attempt and the proofs
 * of the earlier owner have run out.
 */
export class PartitionRecovery {
  private readonly pending = new Map<number, PendingCollect>()
  private nextId = 1
  private repeatAt: Milliseconds = Infinity

  private constructor (private readonly context: KeyedContext, private readonly onFenced: (partitions: readonly PartitionEpoch[]) => void) {}

  static create (context: KeyedContext, onFenced: (partitions: readonly PartitionEpoch[]) => void): PartitionRecovery {
    return new PartitionRecovery(context, onFenced)
  }

  /** Prepares the state of a partition taken from `previous`; undefined where it is not known, or nobody owned it. */
  begin (owned: OwnedPartition, previous: OwnershipEntry | undefined): void {
    const { timing, clock } = this.context
    const now = clock.now()
    if (previous === undefined && owned.unseenUntil <= now) return
    owned.fencePending = true
    owned.readyAt = now + timing.maxDeadlineMs
    const lostUntil = now + timing.listEvidenceMs + timing.keyRetentionMs + timing.maxDeadlineMs
    for (const { member, until } of previous?.witnesses ?? []) owned.unanswered.set(member, until ?? lostUntil)
    this.repeatAt = now
  }

  nextTimerAt (): Milliseconds {
    return this.repeatAt
  }

  /** Sends what is still to be answered. */
  tick (): void {
    const now = this.context.clock.now()
    if (now < this.repeatAt) return
    this.forgetExpired(now)
    this.appendFences(now)
    this.sendCollects(now)
    const open = [...this.context.owned.values()].some(owned => owned.fencePending || owned.unanswered.size > 0)
    this.repeatAt = open ? now + this.context.timing.repeatMs : Infinity
  }

  /** Reads a fence of this VM back: every claim before it is known now. */
  onFenceLogged (record: FenceRecord): void {
    const now = this.context.clock.now()
    for (const { partition, epoch } of record.partitions) {
      const owned = this.context.owned.get(partition)
      if (owned === undefined || owned.epoch !== epoch || !owned.fencePending) continue
      owned.fencePending = false
      owned.readyAt = now + this.context.timing.maxDeadlineMs
      this.loadLogged(owned, now)
    }
  }

  /** Takes the claims of a member; undefined where it did not answer. */
  onCollectAnswer (requestId: number, answer: CollectAnswer | undefined): void {
    const request = this.pending.get(requestId)
    if (request === undefined) return
    this.pending.delete(requestId)
    if (answer === undefined) return
    const fenced = new Set(answer.fenced.map(({ partition }) => partition))
    for (const [partition, epoch] of request.epochs) {
      const owned = this.context.owned.get(partition)
      if (owned === undefined || owned.epoch !== epoch || fenced.has(partition)) continue
      this.applyAnswer(owned, request.to, answer)
    }
    this.onFenced(answer.fenced)
  }

  private applyAnswer (owned: OwnedPartition, member: Member, answer: CollectAnswer): void {
    const { timing, clock } = this.context
    for (const { key, partition, fingerprint, at } of answer.claims) {
      if (partition === owned.partition) this.addUnknown(owned, key, fingerprint, at)
    }
    owned.unanswered.delete(member)
    owned.readyAt = Math.max(owned.readyAt, clock.now() + timing.maxDeadlineMs)
  }

  private loadLogged (owned: OwnedPartition, now: Milliseconds): void {
    for (const { key, fingerprint, at } of this.context.claimLog.claimsOf(owned.partition)) {
      this.addUnknown(owned, key, fingerprint, at)
    }
    const since = this.context.claimLog.completeSince(now)
    owned.unseenUntil = Math.max(owned.unseenUntil, since + this.context.timing.keyRetentionMs)
  }

  private addUnknown (owned: OwnedPartition, key: string, fingerprint: string, at: Milliseconds): void {
    const { timing, table, clock } = this.context
    const keptMs = timing.maxDeadlineMs + timing.keyRetentionMs
    if (table.addUnknown(key, owned.partition, fingerprint, at + keptMs)) return
    // A full table cannot tell this key from one that never ran.
    owned.unseenUntil = Math.max(owned.unseenUntil, clock.now() + keptMs)
  }

  private forgetExpired (now: Milliseconds): void {
    for (const owned of this.context.owned.values()) {
      for (const [member, until] of owned.unanswered) {
        if (until <= now) owned.unanswered.delete(member)
      }
    }
    for (const [id, request] of this.pending) {
      if (request.sentAt + this.context.timing.maxDeadlineMs < now) this.pending.delete(id)
    }
  }

  private appendFences (now: Milliseconds): void {
    const partitions = [...this.context.owned.values()]
      .filter(owned => owned.fencePending)
      .map(({ partition, epoch }) => ({ partition, epoch }))
    if (partitions.length === 0) return
    const record: FenceRecord = { type: 'fence', version: KEYED_RECORD_VERSION, at: now, owner: this.context.self, partitions }
    this.context.port.append('claims', JSON.stringify(record))
  }

  private sendCollects (now: Milliseconds): void {
    const asked = new Map<Member, Map<number, number>>()
    for (const owned of this.context.owned.values()) {
      for (const member of owned.unanswered.keys()) {
        const epochs = asked.get(member) ?? new Map<number, number>()
        asked.set(member, epochs.set(owned.partition, owned.epoch))
      }
    }
    for (const [to, epochs] of asked) this.sendCollect(to, epochs, now)
  }

  private sendCollect (to: Member, epochs: ReadonlyMap<number, number>, now: Milliseconds): void {
    const id = this.nextId++
    const partitions = [...epochs].map(([partition, epoch]) => ({ partition, epoch }))
    const request = { id, from: this.context.self, to, partitions }
    this.pending.set(id, { to, sentAt: now, epochs })
    if (to === this.context.self) this.onCollectAnswer(id, this.context.witnessTable.collect(request))
    // A member that left the list is asked again if it comes back: it may only have been paused.
    else if (this.context.evidence.isListed(to)) this.context.port.requestWitnessedClaims(request)
  }
}
