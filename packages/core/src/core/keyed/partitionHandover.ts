import type { Milliseconds } from '../../types/clock.js'
import type { HandedKey, HandoverPayload, KeyedCall } from '../../types/keyedCall.js'
import { KEYED_RECORD_VERSION, type HandoverRecord } from '../../types/keyedRecords.js'
import type { Member } from '../../types/member.js'
import type { KeyEntry } from './claimTable.js'
import { isInDoubt, type KeyedContext, type OwnedPartition } from './keyedContext.js'
import type { OwnershipPlan } from './ownershipPlan.js'

/** Partitions that a leaving owner hands over at once. */
const MAX_CONCURRENT = 16

interface Incoming {
  readonly payload: HandoverPayload
  readonly until: Milliseconds
  repeatAt: Milliseconds
}

/**
 * Moves partitions between live VMs without a window of unknown outcomes. The leaving owner stops claiming for
 * the partition, waits for its running keys, and sends what it knows; the successor takes ownership with a
 * record. Having sent the table, the leaving owner claims nothing until the log shows who owns the partition:
 * the successor's record may still be on its way.
 */
export class PartitionHandover {
  private readonly held = new Map<number, KeyedCall[]>()
  private readonly incoming = new Map<number, Incoming>()
  private recordId = 1

  private constructor (private readonly context: KeyedContext, private readonly plan: OwnershipPlan) {}

  static create (context: KeyedContext, plan: OwnershipPlan): PartitionHandover {
    return new PartitionHandover(context, plan)
  }

  /** Starts to hand a partition over; false where it cannot be. */
  start (owned: OwnedPartition, to: Member): boolean {
    const now = this.context.clock.now()
    const underWay = [...this.context.owned.values()].filter(({ handover }) => handover !== undefined).length
    if (owned.handover !== undefined || owned.fencePending || underWay >= MAX_CONCURRENT) return false
    owned.handover = { to, startedAt: now, repeatAt: now }
    return true
  }

  /** Keeps a call until the handover is decided. */
  hold (call: KeyedCall, partition: number): void {
    const calls = this.held.get(partition)
    if (calls === undefined) this.held.set(partition, [call])
    else calls.push(call)
  }

  /** Gives back the calls held for a partition. */
  release (partition: number): KeyedCall[] {
    const calls = this.held.get(partition) ?? []
    this.held.delete(partition)
    return calls
  }

  /** Calls that are held. */
  * all (): Generator<KeyedCall> {
    for (const calls of this.held.values()) yield * calls
  }

  /** Gives back held calls whose deadline has passed. */
  takeExpired (now: Milliseconds): KeyedCall[] {
    const expired: KeyedCall[] = []
    for (const [partition, calls] of this.held) {
      expired.push(...calls.filter(call => call.deadlineAt <= now))
      this.held.set(partition, calls.filter(call => call.deadlineAt > now))
    }
    return expired
  }

  /** Takes a leaving owner's table and asks for the ownership. */
  receive (payload: HandoverPayload): void {
    const now = this.context.clock.now()
    const entry = this.context.ownership.entryOf(payload.partition)
    if (payload.to !== this.context.self || this.context.leaving) return
    if (isInDoubt(this.context) || !this.context.evidence.isListedLive) return
    if (entry !== undefined && entry.epoch > payload.epoch) return
    if (this.incoming.get(payload.partition)?.payload.epoch === payload.epoch) return
    // Kept until the partition's epoch changes: the record that makes this VM owner may take effect late.
    this.incoming.set(payload.partition, { payload, until: now + this.context.timing.handoverTimeoutMs, repeatAt: now })
    this.tickIncoming(now)
  }

  /** The table received for a partition at an epoch. */
  takePayload (partition: number, epoch: number | undefined): HandoverPayload | undefined {
    const payload = this.incoming.get(partition)?.payload
    this.incoming.delete(partition)
    return payload?.epoch === epoch ? payload : undefined
  }

  /** Periodic work of both sides. */
  tick (): void {
    const now = this.context.clock.now()
    this.tickIncoming(now)
    for (const owned of this.context.owned.values()) this.tickOutgoing(owned, now)
  }

  private tickOutgoing (owned: OwnedPartition, now: Milliseconds): void {
    const progress = owned.handover
    if (progress === undefined || now < progress.repeatAt) return
    const keys = [...this.context.table.ofPartition(owned.partition)]
    if (now > progress.startedAt + this.context.timing.handoverTimeoutMs) {
      progress.repeatAt = now + 2 * this.context.timing.repeatMs
      this.plan.retake(owned.partition)
    } else if (keys.every(isSettled)) {
      progress.repeatAt = now + this.context.timing.repeatMs
      this.context.port.sendHandover(this.createPayload(owned, progress.to, keys))
    }
  }

  private createPayload (owned: OwnedPartition, to: Member, keys: readonly KeyEntry[]): HandoverPayload {
    return {
      from: this.context.self,
      to,
      partition: owned.partition,
      epoch: owned.epoch,
      keys: keys.map(toHandedKey),
      refusals: this.context.table.refusalsOf(owned.partition),
      servesArrivalsFrom: owned.readyAt,
      unanswered: [...owned.unanswered].map(([member, until]) => ({ member, until })),
      unseenUntil: owned.unseenUntil
    }
  }

  private tickIncoming (now: Milliseconds): void {
    for (const [partition, incoming] of this.incoming) {
      const epoch = this.context.ownership.entryOf(partition)?.epoch ?? 0
      if (epoch > incoming.payload.epoch) this.incoming.delete(partition)
      else if (now >= incoming.repeatAt && now < incoming.until) this.appendHandover(incoming, now)
    }
  }

  private appendHandover (incoming: Incoming, now: Milliseconds): void {
    const { payload } = incoming
    incoming.repeatAt = now + 2 * this.context.timing.repeatMs
    const record: HandoverRecord = {
      type: 'handover',
      version: KEYED_RECORD_VERSION,
      at: now,
      id: `${this.context.self}/handover ${this.recordId++}`,
      from: payload.from,
      claimant: this.context.self,
      listedAsOf: this.context.evidence.asOf,
      witnesses: this.plan.chooseWitnesses(),
      partitions: [{ partition: payload.partition, baseEpoch: payload.epoch }]
    }
    this.context.port.append('ownership', JSON.stringify(record))
  }
}

function isSettled (entry: KeyEntry): boolean {
  return entry.state === 'done' || entry.state === 'unknown'
}

function toHandedKey (entry: KeyEntry): HandedKey {
  const { key, fingerprint, expiresAt, status, response } = entry
  const done = { kind: 'done', status, ...response === undefined ? {} : { response } } as const
  return { key, fingerprint, expiresAt, outcome: entry.state === 'done' ? done : { kind: 'unknown' } }
}
