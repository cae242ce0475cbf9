import {
  KEYED_RECORD_VERSION, ownershipRecordSchema, ownershipTableSchema,
  type HandoverRecord, type HoldRecord, type OwnershipEntry, type OwnershipTable, type TakeRecord, type WitnessEntry
} from '../../types/keyedRecords.js'
import type { KeyedTiming } from '../../types/keyedTiming.js'
import type { LogRecord } from '../../types/logRecord.js'
import { parseJson } from '../../utils/parseJson.js'

/** A partition whose owner or epoch changed. */
export interface OwnershipChange {
  readonly partition: number
  readonly cause: 'take' | 'handover' | 'learned'
  readonly previous: OwnershipEntry | undefined
  readonly entry: OwnershipEntry
}

interface Slot {
  entry: OwnershipEntry
  /** Offset of the last record that the entry includes. */
  position: number
}

/**
 * Who owns each partition, as one reader of the stream `ownership` sees it. The first record on an epoch wins.
 * Epochs come from log offsets, so a later ownership always has the higher epoch, even where a reader missed
 * records; what keeps an earlier owner from running keys is the fence of the later one, not this table.
 */
export class Ownership {
  private readonly slots = new Map<number, Slot>()
  private upTo = -1
  private next = 0
  private complete = true
  /** Records before this offset may be missing. */
  private contiguousFrom = 0
  unreadableRecords = 0

  private constructor (private readonly timing: KeyedTiming) {}

  static create (timing: KeyedTiming): Ownership {
    return new Ownership(timing)
  }

  /** Offset at which to read on. */
  get nextOffset (): number {
    return this.next
  }

  /** Whether every record was read, by this VM or by a peer whose table it adopted. */
  get isComplete (): boolean {
    return this.complete
  }

  entryOf (partition: number): OwnershipEntry | undefined {
    return this.slots.get(partition)?.entry
  }

  /** Reads the next record. */
  apply (record: LogRecord): OwnershipChange[] {
    if (record.offset < this.next) return []
    this.skipTo(record.offset)
    this.next = record.offset + 1
    const data = parseJson(record.data)
    const parsed = ownershipRecordSchema.safeParse(data)
    const changes = parsed.success && parsed.data.version <= KEYED_RECORD_VERSION
      ? this.interpret(parsed.data, record.offset)
      : this.skipUnreadable(data, record.offset)
    this.upTo = Math.max(this.upTo, record.offset)
    return changes
  }

  /** Tells the reader that records before `offset` no longer exist. */
  skipTo (offset: number): void {
    if (offset <= this.next) return
    this.next = offset
    this.noteGap(offset)
  }

  /** The whole view, for peers. */
  table (): OwnershipTable {
    const entries = [...this.slots.values()].map(slot => slot.entry)
    return { version: KEYED_RECORD_VERSION, upTo: this.upTo, complete: this.complete, entries }
  }

  /** Takes over what a peer knows and this VM does not. */
  adoptTable (data: unknown): OwnershipChange[] {
    const parsed = ownershipTableSchema.safeParse(data)
    if (!parsed.success || parsed.data.version > KEYED_RECORD_VERSION) return []
    const table = parsed.data
    const changes = table.entries.flatMap(entry => this.learn(entry, table.upTo))
    if (table.complete && table.upTo + 1 >= this.contiguousFrom) {
      this.upTo = Math.max(this.upTo, table.upTo)
      this.complete = true
    }
    return changes
  }

  /** Notes that every listed VM gave its table: what none of them knows was not owned for longer than records are kept. */
  completeFromPeers (): void {
    this.complete = true
  }

  private skipUnreadable (data: unknown, offset: number): OwnershipChange[] {
    this.unreadableRecords++
    const version = (data as { version?: unknown } | null | undefined)?.version
    // A newer version may have changed owners by this record.
    if (typeof version === 'number' && version > KEYED_RECORD_VERSION) this.noteGap(offset + 1)
    return []
  }

  private noteGap (offset: number): void {
    this.contiguousFrom = offset
    this.complete = this.upTo + 1 >= offset && this.complete
  }

  private interpret (record: TakeRecord | HandoverRecord | HoldRecord, offset: number): OwnershipChange[] {
    if (record.type === 'hold') return listEntries(record).flatMap(entry => this.applyHold(entry, offset))
    return record.partitions.flatMap(({ partition, baseEpoch }) => this.applyTake(record, partition, baseEpoch, offset))
  }

  private applyTake (record: TakeRecord | HandoverRecord, partition: number, baseEpoch: number, offset: number): OwnershipChange[] {
    const slot = this.slots.get(partition)
    if (slot !== undefined && offset <= slot.position) return []
    const previous = slot?.entry
    const known = (previous?.epoch ?? 0) === baseEpoch
    if (!known && (this.complete || baseEpoch < (previous?.epoch ?? 0))) return []
    if (known && record.type === 'handover' && previous?.owner !== record.from) return []
    const entry = this.succeed(record, known ? previous : undefined, partition, offset)
    if (!known || (previous === undefined && !this.complete)) entry.unseenUntil = record.at + this.carryMs
    this.slots.set(partition, { entry, position: offset })
    return [{ partition, cause: record.type, previous: known ? previous : undefined, entry }]
  }

  private get carryMs (): number {
    return this.timing.listEvidenceMs + this.timing.keyRetentionMs + this.timing.maxDeadlineMs
  }

  private succeed (record: TakeRecord | HandoverRecord, previous: OwnershipEntry | undefined, partition: number, offset: number): OwnershipEntry {
    const carried = previous === undefined ? [] : this.carry(record, previous)
    const added = record.witnesses.map((member): WitnessEntry => ({ member }))
    return {
      partition,
      epoch: offset + 1,
      owner: record.claimant,
      listedAsOf: record.listedAsOf,
      witnesses: mergeWitnesses([...carried, ...added]),
      holdNumber: 0,
      unseenUntil: previous?.unseenUntil ?? 0
    }
  }

  /** The members that may still hold claims made under the previous epoch or before. */
  private carry (record: TakeRecord | HandoverRecord, previous: OwnershipEntry): WitnessEntry[] {
    const alive = previous.witnesses.filter(witness => witness.until === undefined || witness.until > record.at)
    // A handover brings every claim of the leaving owner with it.
    if (record.type === 'handover') return alive.filter(witness => witness.until !== undefined)
    if (previous.owner === record.claimant) return alive
    return alive.map(({ member, until }) => ({ member, until: until ?? record.at + this.carryMs }))
  }

  private applyHold (entry: OwnershipEntry, offset: number): OwnershipChange[] {
    const slot = this.slots.get(entry.partition)
    if (slot === undefined || (!this.complete && entry.epoch > slot.entry.epoch)) return this.learn(entry, offset)
    if (offset <= slot.position || slot.entry.epoch !== entry.epoch || slot.entry.owner !== entry.owner) return []
    // An older hold whose append was delayed must not bring back older witnesses.
    if (entry.holdNumber <= slot.entry.holdNumber) return []
    this.slots.set(entry.partition, { entry, position: offset })
    return []
  }

  private learn (entry: OwnershipEntry, position: number): OwnershipChange[] {
    const slot = this.slots.get(entry.partition)
    const newer = slot === undefined || entry.epoch > slot.entry.epoch ||
      (entry.epoch === slot.entry.epoch && position > slot.position)
    if (!newer) return []
    this.slots.set(entry.partition, { entry, position })
    if (slot?.entry.epoch === entry.epoch) return []
    return [{ partition: entry.partition, cause: 'learned', previous: slot?.entry, entry }]
  }
}

function listEntries (record: HoldRecord): OwnershipEntry[] {
  const { owner, listedAsOf } = record
  return record.groups.flatMap(({ witnesses, partitions }) => partitions.map(held => ({ ...held, owner, listedAsOf, witnesses })))
}

/** One line per member; a member that may hold claims of the current epoch has no end. */
function mergeWitnesses (witnesses: readonly WitnessEntry[]): WitnessEntry[] {
  const merged = new Map<string, WitnessEntry>()
  for (const witness of witnesses) {
    const known = merged.get(witness.member)
    const open = witness.until === undefined || (known !== undefined && known.until === undefined)
    merged.set(witness.member, open ? { member: witness.member } : { member: witness.member, until: Math.max(witness.until ?? 0, known?.until ?? 0) })
  }
  return [...merged.values()]
}
