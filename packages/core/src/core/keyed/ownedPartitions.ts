import type { Milliseconds } from '../../types/clock.js'
import type { OwnershipEntry, PartitionEpoch } from '../../types/keyedRecords.js'
import type { KeyDesk } from './keyDesk.js'
import { isInDoubt, type KeyedContext, type OwnedPartition } from './keyedContext.js'
import type { OwnershipChange } from './ownership.js'
import type { OwnershipPlan } from './ownershipPlan.js'
import type { PartitionHandover } from './partitionHandover.js'
import type { PartitionRecovery } from './partitionRecovery.js'

/** Interval at which partitions may move to the VM that should own them. */
const REBALANCE_EVERY_MS = 10_000
/** Partitions moved at a time, so that few keys wait for a handover at once. */
const REBALANCE_AT_ONCE = 4

/** Parts that follow changes of ownership. */
export interface OwnedParts {
  readonly desk: KeyDesk
  readonly handover: PartitionHandover
  readonly plan: OwnershipPlan
  readonly recovery: PartitionRecovery
}

/** Follows what this VM gains and loses, and moves partitions to the VMs that should own them. */
export class OwnedPartitions {
  private rebalanceAt: Milliseconds

  private constructor (private readonly context: KeyedContext, private readonly parts: OwnedParts) {
    this.rebalanceAt = context.clock.now() + REBALANCE_EVERY_MS
  }

  static create (context: KeyedContext, parts: OwnedParts): OwnedPartitions {
    return new OwnedPartitions(context, parts)
  }

  applyChanges (changes: readonly OwnershipChange[]): void {
    for (const change of changes) {
      if (change.entry.owner === this.context.self) this.gain(change)
      else this.lose(change.partition, change.entry.epoch)
    }
  }

  /** Gives up partitions that have a newer owner. */
  applyFences (partitions: readonly PartitionEpoch[]): void {
    for (const { partition, epoch } of partitions) this.lose(partition, epoch)
  }

  /** Hands partitions over: all of them when leaving, else a few that another VM should own. */
  movePartitions (): void {
    const { clock, evidence, leaving, owned, self, timing } = this.context
    const now = clock.now()
    if (!leaving && now < this.rebalanceAt) return
    if (!evidence.isLogHealthy(2 * timing.repeatMs) || isInDoubt(this.context)) return
    this.rebalanceAt = now + REBALANCE_EVERY_MS
    let started = 0
    for (const candidate of owned.values()) {
      if (!leaving && started >= REBALANCE_AT_ONCE) return
      const to = this.parts.plan.preferredOwner(candidate.partition)
      if (to !== undefined && to !== self && this.parts.handover.start(candidate, to)) started++
    }
  }

  private gain (change: OwnershipChange): void {
    const { partition, entry, previous } = change
    const owned = this.context.owned.get(partition)
    const payload = this.parts.handover.takePayload(partition, previous?.epoch)
    if (owned !== undefined && previous?.epoch === owned.epoch) {
      Object.assign(owned, { epoch: entry.epoch, handover: undefined, holdNumber: 0 })
      owned.dropped.clear()
    } else {
      this.lose(partition, entry.epoch)
      const gained = createOwned(entry)
      this.context.owned.set(partition, gained)
      if (change.cause === 'handover' && payload !== undefined) this.parts.desk.load(gained, payload)
      else this.beginRecovery(gained, change)
    }
    this.parts.desk.receiveHeld(partition)
  }

  private beginRecovery (owned: OwnedPartition, { previous, cause }: OwnershipChange): void {
    const { clock, timing } = this.context
    // Without the table of the leaving owner: its record ended the part of its witnesses.
    if (cause !== 'take') owned.unseenUntil = clock.now() + timing.listEvidenceMs + timing.keyRetentionMs + timing.maxDeadlineMs
    this.parts.recovery.begin(owned, previous)
  }

  private lose (partition: number, epoch: number): void {
    const owned = this.context.owned.get(partition)
    if (owned === undefined || owned.epoch >= epoch) return
    this.context.owned.delete(partition)
    this.parts.desk.dismiss(partition)
  }
}

function createOwned (entry: OwnershipEntry): OwnedPartition {
  return {
    partition: entry.partition,
    epoch: entry.epoch,
    fencePending: false,
    unanswered: new Map(),
    readyAt: 0,
    unseenUntil: entry.unseenUntil,
    proofAt: -Infinity,
    handover: undefined,
    holdNumber: 0,
    dropped: new Set()
  }
}
