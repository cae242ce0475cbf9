import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { StoreEpoch, TableName, TablePosition, TableRecord } from './controlStore.js'

/** Consecutive changes of a table, the first of them at offset `from`. */
export interface OffsetChanges {
  readonly epoch: StoreEpoch
  readonly from: number
  readonly records: readonly TableRecord[]
}

/** Records that the store lacks since a restore from a copy, and for how long they are kept in force without it. */
export interface HeldRecords {
  readonly records: readonly TableRecord[]
  readonly leftMs: Milliseconds
}

/** All records of a table up to a position, and the time since the store was known to hold nothing newer. */
export interface TableCopy {
  readonly records: readonly TableRecord[]
  readonly position: TablePosition
  readonly ageMs: Milliseconds
  /** Undefined if there are none. */
  readonly held?: HeldRecords | undefined
}

/** A VM's copy of a table, as the feed uses it. */
export interface FeedTable {
  readonly table: TableName
  /** Position up to which the copy is complete; undefined while there is none. */
  readonly position: TablePosition | undefined
  /** Whether the copy may be taken from another VM. */
  readonly needsCopy: boolean
  records (): readonly TableRecord[]
  /** Records that are in force although the store lacks them; undefined if there are none. */
  heldRecords? (): HeldRecords | undefined
  /** Applies changes that another VM has read; returns those that were new. */
  receiveChanges (changes: OffsetChanges): OffsetChanges | undefined
  /** Takes another VM's copy unless it is too old. */
  receiveCopy (copy: TableCopy): void
}

/** Passes on to this VM's followers what it knows of the store. */
export interface FeedPublisher {
  onChanges (table: TableName, changes: OffsetChanges): void
  /** A position has advanced, or a table has become known. */
  onPosition (): void
}
