import type { Result } from 'true-myth/result'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { RouteConfig } from '@cowsliplead/core/types/routes.js'
import type { UpstreamEntry } from '@cowsliplead/core/types/upstreamEntry.js'

/**
 * Tables of the control store. The newest record of each key is kept until it is removed. `configuration` and
 * `upstreams` are written by other systems; `fleet` contains the records that operators and daemons share.
 */
export type TableName = 'configuration' | 'upstreams' | 'fleet'

/** One record of a table; a record without a value removes its key. */
export interface TableRecord {
  readonly key: string
  readonly value: Buffer | undefined
}

/**
 * Counts how often the store was restored from a copy. After a restore, records are missing and offsets are given out
 * again: offsets of different epochs cannot be compared.
 */
export type StoreEpoch = number

/** How far a table was read. */
export interface TablePosition {
  readonly epoch: StoreEpoch
  /** Offset of the next change. */
  readonly offset: number
}

/**
 * Page of a table. Pages that are read one after the other are not a consistent snapshot: changes from the first page's
 * `end` on have to be applied to them.
 */
export interface TablePage {
  readonly records: readonly TableRecord[]
  /** Key after which the next page begins; undefined on the last one. */
  readonly nextAfter: string | undefined
  /** Offset of the next change. */
  readonly end: number
  readonly epoch: StoreEpoch
}

/** Changes of a table in order. */
export interface TableChanges {
  readonly records: readonly TableRecord[]
  /** Offset of the next change. */
  readonly end: number
  readonly epoch: StoreEpoch
}

/**
 * Why a call to the store failed. `expired`: the requested changes are no longer stored. `conflict`: the table has
 * changed since the offset that the write named. `refused`: the store did nothing. `unanswered`: no complete answer
 * arrived; a write may have been applied, or may still be. `tooLarge`: like `unanswered`, because the answer exceeded a limit
 * and was cut off. `invalid`: the answer cannot be read.
 */
export type StoreFailure = 'expired' | 'conflict' | 'refused' | 'unanswered' | 'tooLarge' | 'invalid'

/** Outcome of a call to the store. */
export type StoreResult<Value> = Result<Value, StoreFailure>

/** An operator's order about the upstreams of a failure domain. */
export interface Evacuation {
  readonly failureDomain: string
  /** Whether they must get no new work; false once the order is withdrawn. */
  readonly isActive: boolean
}

/** Client of the platform's control store, which also decodes its records. */
export interface ControlStore {
  /** Reads the newest records of a table, a page at a time; `after` is the `nextAfter` of the previous page. */
  readNewest (table: TableName, after?: string): Promise<StoreResult<TablePage>>
  /** Reads the changes from offset `from` on; waits up to `waitMs` for one. */
  readChanges (table: TableName, from: number, waitMs: Milliseconds): Promise<StoreResult<TableChanges>>
  /** Writes records to a table atomically; with `expectedEnd`, only if the next change has this offset. */
  put (table: TableName, records: readonly TableRecord[], expectedEnd?: number): Promise<StoreResult<void>>
  /** Decodes a configuration; an error tells why the record cannot be used at all. */
  decodeRoutes (record: TableRecord): Result<RouteConfig, string>
  /** Decodes an order to evacuate a failure domain, or its withdrawal; undefined if the record is neither. */
  decodeEvacuation (record: TableRecord): Evacuation | undefined
  /** Decodes an upstream entry; undefined if the record has no usable upstream. */
  decodeUpstream (record: TableRecord): UpstreamEntry | undefined
  close (): void
}
