import type { Milliseconds } from '../../types/clock.js'
import { KEYED_RECORD_VERSION, claimsRecordSchema, type Claim, type ClaimsRecord, type FenceRecord } from '../../types/keyedRecords.js'
import type { KeyedTiming } from '../../types/keyedTiming.js'
import type { LogRecord } from '../../types/logRecord.js'
import { parseJson } from '../../utils/parseJson.js'

/** A claim that is in the log. */
export interface LoggedClaim {
  readonly key: string
  readonly partition: number
  readonly fingerprint: string
  /** When its owner made it. */
  readonly at: Milliseconds
}

/** What a record of the stream `claims` brought. */
export type ClaimLogEvent =
  | { readonly kind: 'fence', readonly record: FenceRecord }
  /** `valid` holds the claims that no newer fence precedes. */
  | { readonly kind: 'claims', readonly record: ClaimsRecord, readonly valid: readonly Claim[] }

/**
 * The claims of all owners, as one reader of the stream `claims` sees them. Ownership and claims are separate
 * streams whose offsets do not compare, so a new owner appends a fence here; claims of earlier epochs count
 * only before it.
 */
export class ClaimLog {
  private readonly fences = new Map<number, number>()
  /** Oldest first. */
  private readonly claims = new Map<string, LoggedClaim>()
  private next = 0
  private knownSince: Milliseconds = -Infinity
  private gapOpen = false
  unreadableRecords = 0

  private constructor (private readonly timing: KeyedTiming, private readonly maxClaims: number) {}

  static create (timing: KeyedTiming, maxClaims: number): ClaimLog {
    return new ClaimLog(timing, maxClaims)
  }

  /** Offset at which to read on. */
  get nextOffset (): number {
    return this.next
  }

  /** Number of claims held. */
  get size (): number {
    return this.claims.size
  }

  /** Every claim made since then is known; -Infinity where none was missed. */
  completeSince (now: Milliseconds): Milliseconds {
    return this.gapOpen ? now : this.knownSince
  }

  /** The highest epoch that fenced a partition; 0 for none. */
  fenceOf (partition: number): number {
    return this.fences.get(partition) ?? 0
  }

  /** Reads the next record; a gap before it must have been reported through `skipTo`. */
  apply (record: LogRecord): ClaimLogEvent | undefined {
    if (record.offset < this.next) return undefined
    this.skipTo(record.offset)
    this.next = record.offset + 1
    const parsed = claimsRecordSchema.safeParse(parseJson(record.data))
    if (!parsed.success || parsed.data.version > KEYED_RECORD_VERSION) {
      this.unreadableRecords++
      // It may hold claims or a fence that only newer versions can read.
      this.gapOpen = true
      return undefined
    }
    this.closeGap(parsed.data.at)
    return parsed.data.type === 'fence' ? this.applyFence(parsed.data) : this.applyClaims(parsed.data)
  }

  /** Tells the reader that records before `offset` no longer exist. */
  skipTo (offset: number): void {
    if (offset <= this.next) return
    this.next = offset
    this.gapOpen = true
  }

  /** Claims of a partition that are younger than the retention of keys. */
  * claimsOf (partition: number): Generator<LoggedClaim> {
    for (const claim of this.claims.values()) {
      if (claim.partition === partition) yield claim
    }
  }

  /** Drops claims past the retention of keys. */
  sweep (now: Milliseconds): void {
    for (const [key, claim] of this.claims) {
      if (claim.at + this.timing.maxDeadlineMs + this.timing.keyRetentionMs > now) return
      this.claims.delete(key)
    }
  }

  /** The first record after a gap tells from when on claims are known; later records may be older by one deadline. */
  private closeGap (at: Milliseconds): void {
    if (!this.gapOpen) return
    this.gapOpen = false
    this.knownSince = Math.max(this.knownSince, at + this.timing.maxDeadlineMs)
  }

  private applyFence (record: FenceRecord): ClaimLogEvent {
    for (const { partition, epoch } of record.partitions) {
      this.fences.set(partition, Math.max(this.fenceOf(partition), epoch))
    }
    return { kind: 'fence', record }
  }

  private applyClaims (record: ClaimsRecord): ClaimLogEvent {
    const valid = record.claims.filter(claim => claim.epoch >= this.fenceOf(claim.partition))
    for (const { key, partition, fingerprint } of valid) {
      this.claims.delete(key)
      this.claims.set(key, { key, partition, fingerprint, at: record.at })
    }
    this.dropExcess()
    return { kind: 'claims', record, valid }
  }

  private dropExcess (): void {
    for (const [key, claim] of this.claims) {
      if (this.claims.size <= this.maxClaims) return
      this.claims.delete(key)
      this.knownSince = Math.max(this.knownSince, claim.at + this.timing.maxDeadlineMs)
    }
  }
}
