import { configDocumentSchema, describeIssues, type ConfigDocument } from '../../types/configDocument.js'
import {
  CONFIG_RECORD_VERSION, changeSchema, checkpointSchema, rebaseSchema, snapshotSchema,
  type AppliedChange, type ChangeRecord, type ChangeVerdict, type CheckpointRecord, type ConfigSnapshot, type RebaseRecord
} from '../../types/configRecords.js'
import type { Clock, Milliseconds } from '../../types/clock.js'
import type { LogRecord } from '../../types/logRecord.js'
import { parseJson } from '../../utils/parseJson.js'

/** Applied changes that a state carries, to recognise repeated ids and to name winners; some 2 h at design scale, about 40 KB. */
const MAX_CARRIED_CHANGES = 500

/** Verdicts kept for publishers that ask again. */
const MAX_VERDICTS = 2_000

/** Records kept while the state before them is unknown, so that a checkpoint read later can be completed. */
const MAX_BUFFERED_RECORDS = 2_000

/** Step of the revision at a new start; larger than any number of changes that some reader may have seen and others lost. */
const REBASE_STEP = 1_000_000

/** Counters of a configuration reader. */
export interface ConfigCounters {
  applied: number
  conflicts: number
  invalidChanges: number
  unreadableRecords: number
  newerVersionRecords: number
  gaps: number
  adoptedCheckpoints: number
  adoptedFromPeers: number
  rebases: number
}

/**
 * The configuration in force as one reader of the stream `config` sees it. Whether a change applies depends
 * only on the state before it, so every reader comes to the same verdict. The revision never goes back.
 */
export class ConfigState {
  readonly counters: ConfigCounters = {
    applied: 0, conflicts: 0, invalidChanges: 0, unreadableRecords: 0,
    newerVersionRecords: 0, gaps: 0, adoptedCheckpoints: 0, adoptedFromPeers: 0, rebases: 0
  }

  private currentRevision = 0
  private currentDocument: ConfigDocument | undefined
  private changes: readonly AppliedChange[] = []
  private readonly verdicts = new Map<string, ChangeVerdict>()
  /** Offset of the last record that the state includes. */
  private upTo = -1
  /** Offset of the next record to read. */
  private next = 0
  /** Every record from here to `next` was read and understood; earlier ones may be missing. */
  private contiguousFrom = 0
  private buffered: LogRecord[] = []
  private newestCheckpointAt: Milliseconds | undefined

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): ConfigState {
    return new ConfigState(clock)
  }

  /** Number of applied changes. */
  get revision (): number {
    return this.currentRevision
  }

  /** The document in force; undefined before the first change is known. */
  get document (): ConfigDocument | undefined {
    return this.currentDocument
  }

  /** Offset at which to read on. */
  get nextOffset (): number {
    return this.next
  }

  /** False while records are missing that the verdicts depend on. */
  get isComplete (): boolean {
    return this.upTo + 1 >= this.contiguousFrom
  }

  /** What became of a change; undefined where its record was not read yet. */
  verdictOf (changeId: string): ChangeVerdict | undefined {
    const applied = this.changes.find(change => change.id === changeId)
    if (applied !== undefined) return { kind: 'applied', revision: applied.revision }
    return this.verdicts.get(changeId)
  }

  /** Reads the next record of the stream. A record beyond the next offset shows that the ones between are lost. */
  apply (record: LogRecord): void {
    if (record.offset < this.next) return
    this.skipTo(record.offset)
    this.next = record.offset + 1
    if (this.isComplete) this.interpret(record)
    else this.bufferRecord(record)
  }

  /** Tells the reader that records before `offset` no longer exist. */
  skipTo (offset: number): void {
    if (offset <= this.next) return
    this.next = offset
    this.breakAt(offset)
    if (!this.isComplete) this.counters.gaps++
  }

  /** Takes over a peer's state; false where it is not newer or not usable. */
  adoptPeerState (snapshot: unknown): boolean {
    const parsed = snapshotSchema.safeParse(snapshot)
    if (!parsed.success || parsed.data.version > CONFIG_RECORD_VERSION) return false
    const usable = parsed.data.revision > this.currentRevision || this.closesGap(parsed.data)
    if (!usable || !this.adopt(parsed.data)) return false
    this.counters.adoptedFromPeers++
    return true
  }

  /** The whole state, for a peer; undefined while no change is known. */
  snapshot (): ConfigSnapshot | undefined {
    if (this.currentDocument === undefined) return undefined
    return {
      version: CONFIG_RECORD_VERSION,
      revision: this.currentRevision,
      upTo: this.upTo,
      document: this.currentDocument,
      changes: [...this.changes]
    }
  }

  /**
   * A checkpoint to append now, if one is due: the newest is older than a quarter of the retention. Ranks
   * are spread over a further eighth, so that usually one VM writes it and the others see it in time.
   */
  dueCheckpoint (retentionMs: Milliseconds, rank: number, count: number): CheckpointRecord | undefined {
    if (!this.isComplete) return undefined
    const now = this.clock.now()
    this.newestCheckpointAt ??= now - retentionMs / 4
    const delayMs = retentionMs / 4 + retentionMs / 8 * rank / Math.max(count, 1)
    if (now - this.newestCheckpointAt < delayMs) return undefined
    const snapshot = this.snapshot()
    return snapshot && { ...snapshot, type: 'checkpoint', at: now }
  }

  /**
   * A record that starts anew from the document in force. For a host whose every listed peer reports as well that it
   * lacks records and has no newer revision: the log was unreadable for longer than its retention, and without a
   * new start no change could be judged any more. Records that nobody has read count as not applied.
   */
  createRebase (): RebaseRecord | undefined {
    const snapshot = this.snapshot()
    if (snapshot === undefined || this.isComplete) return undefined
    const { version, revision, document, changes } = snapshot
    return { type: 'rebase', version, revision: revision + REBASE_STEP, document, changes }
  }

  private interpret (record: LogRecord): void {
    const covered = record.offset <= this.upTo
    const data = parseJson(record.data)
    const { type, version } = readType(data)
    if (version > CONFIG_RECORD_VERSION) {
      this.onNewerVersion(record.offset, covered)
      return
    }
    this.upTo = Math.max(this.upTo, record.offset)
    if (type === 'change') this.onChange(data, covered)
    else if (type === 'checkpoint') this.onCheckpoint(data)
    else if (type === 'rebase') this.onRebase(data, record.offset)
    else this.counters.unreadableRecords++
  }

  /** Newer versions may have applied a record that this one cannot read, so verdicts after it are unknown here. */
  private onNewerVersion (offset: number, covered: boolean): void {
    this.counters.newerVersionRecords++
    if (!covered) this.breakAt(offset + 1)
  }

  private onChange (data: unknown, covered: boolean): void {
    const parsed = changeSchema.safeParse(data)
    if (!parsed.success) {
      this.counters.unreadableRecords++
      return
    }
    const change = parsed.data
    if (this.changes.some(applied => applied.id === change.id)) return
    const document = configDocumentSchema.safeParse(change.document)
    if (!document.success) this.recordInvalid(change, describeIssues(document.error))
    else if (covered || change.base !== this.currentRevision) this.recordConflict(change)
    else this.recordApplied(change, document.data)
  }

  private recordInvalid (change: ChangeRecord, problems: readonly string[]): void {
    this.counters.invalidChanges++
    this.remember(change.id, { kind: 'invalid', problems })
  }

  private recordConflict (change: ChangeRecord): void {
    const oldestCarried = this.changes[0]?.revision ?? 1
    // An older change may have been applied and forgotten since; its verdict stays open.
    if (change.base + 1 < oldestCarried) return
    this.counters.conflicts++
    const winner = this.changes.find(applied => applied.revision === change.base + 1)
    this.remember(change.id, { kind: 'conflict', winner, revision: this.currentRevision })
  }

  private recordApplied (change: ChangeRecord, document: ConfigDocument): void {
    this.counters.applied++
    this.currentRevision++
    this.currentDocument = document
    const applied = { id: change.id, author: change.author, revision: this.currentRevision }
    this.changes = [...this.changes, applied].slice(-MAX_CARRIED_CHANGES)
    this.remember(change.id, { kind: 'applied', revision: this.currentRevision })
  }

  private remember (changeId: string, verdict: ChangeVerdict): void {
    this.verdicts.set(changeId, verdict)
    if (this.verdicts.size <= MAX_VERDICTS) return
    for (const oldest of this.verdicts.keys()) {
      this.verdicts.delete(oldest)
      return
    }
  }

  private onCheckpoint (data: unknown): void {
    const parsed = checkpointSchema.safeParse(data)
    if (!parsed.success) {
      this.counters.unreadableRecords++
      return
    }
    this.newestCheckpointAt = Math.max(this.newestCheckpointAt ?? -Infinity, parsed.data.at)
    if (this.closesGap(parsed.data) && this.adopt(parsed.data)) this.counters.adoptedCheckpoints++
  }

  /** Applies to readers that lack nothing as well, so that all go on from the same state. */
  private onRebase (data: unknown, offset: number): void {
    const parsed = rebaseSchema.safeParse(data)
    if (!parsed.success) {
      this.counters.unreadableRecords++
      return
    }
    if (parsed.data.revision <= this.currentRevision) return
    if (this.adopt({ ...parsed.data, upTo: offset })) this.counters.rebases++
  }

  private bufferRecord (record: LogRecord): void {
    this.buffered.push(record)
    if (this.buffered.length > MAX_BUFFERED_RECORDS) this.breakAt(record.offset)
    const data = parseJson(record.data)
    const { type, version } = readType(data)
    if (version > CONFIG_RECORD_VERSION) return
    if (type === 'checkpoint') this.onCheckpoint(data)
    if (type === 'rebase') this.onRebase(data, record.offset)
  }

  /** Notes that records before `offset` are missing. */
  private breakAt (offset: number): void {
    this.contiguousFrom = offset
    this.buffered = this.buffered.filter(record => record.offset >= offset)
  }

  private closesGap (snapshot: ConfigSnapshot): boolean {
    return !this.isComplete && snapshot.upTo + 1 >= this.contiguousFrom && snapshot.revision >= this.currentRevision
  }

  /** Takes over a state and applies the records read since its position. */
  private adopt (snapshot: ConfigSnapshot): boolean {
    if (snapshot.upTo < this.upTo) return false
    const document = configDocumentSchema.safeParse(snapshot.document)
    if (!document.success) return false
    this.currentRevision = snapshot.revision
    this.currentDocument = document.data
    this.changes = snapshot.changes.slice(-MAX_CARRIED_CHANGES)
    this.upTo = snapshot.upTo
    if (this.isComplete) this.applyBuffered()
    return true
  }

  private applyBuffered (): void {
    const records = this.buffered
    this.buffered = []
    for (const record of records) {
      if (this.isComplete) this.interpret(record)
      else this.buffered.push(record)
    }
  }
}

function readType (data: unknown): { type: unknown, version: number } {
  if (typeof data !== 'object' || data === null) return { type: undefined, version: 0 }
  const { type, version } = data as { type?: unknown, version?: unknown }
  return { type, version: typeof version === 'number' ? version : 0 }
}
