import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { StoreEpoch, StoreFailure, TableRecord } from './controlStore.js'
import type { HeldRecords } from './feedTable.js'

/** A restore of the store from a copy, as a reader has noticed it. */
export interface StoreRestore {
  readonly epoch: StoreEpoch
  readonly previousEpoch: StoreEpoch
  /** Offset that the reader had reached in the previous epoch. */
  readonly offset: number
}

/** Receives the content of a table. */
export interface TableConsumer {
  /** Whether a record is older than what the consumer knows of its key, as in a store that is restored from a copy. */
  isOutdated (record: TableRecord): boolean
  /** All records of the table. */
  onSnapshot (records: readonly TableRecord[]): void
  /** Changes in order, after a snapshot. */
  onChanges (records: readonly TableRecord[]): void
  /**
   * The store answers again, this VM or one that it follows, after `outageMs` without an answer. Called before the content of
   * that answer is delivered.
   */
  onRecovery (outageMs: Milliseconds): void
  /** The store was restored from a copy. */
  onRestore (restore: StoreRestore): void
  /** Records that the consumer keeps in force although the store lacks them since a restore. */
  heldRecords? (): HeldRecords | undefined
  /** Another VM keeps these records in force. Called before the snapshot that this VM takes from it. */
  onHeldRecords? (held: HeldRecords): void
  /** The first call of an outage failed. */
  onFailure (failure: StoreFailure): void
}
