import type { Result } from 'true-myth/result'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { RouteConfig } from '@cowsliplead/core/types/routes.js'
import type { UpstreamEntry } from '@cowsliplead/core/types/upstreamEntry.js'

/**
 * Tables of the control store. The newest record of each key is kept until it is removed. `configuration` and
 * `upstreams` are written by others; `fleet` holds what operators and daemons of the product share.
 */
export type TableName = 'configuration' | 'upstreams' | 'fleet'

/** One record of a table; without a value, the key is removed. */
export interface TableRecord {
  readonly key: string
  readonly value: Buffer | undefined
}

/** Part of a table. Pages read one after the other are no snapshot; changes from the first page's `end` complete them. */
export interface TablePage {
  readonly records: readonly TableRecord[]
  /** Key after which the next page begins; undefined on the last one. */
  readonly nextAfter: string | undefined
  /** Offset of the next change. */
  readonly end: number
}

/** Changes of a table in order. */
export interface TableChanges {
  readonly records: readonly TableRecord[]
  /** Offset of the next change. */
  readonly end: number
}

/**
 * Why a call to the store failed. `expired`: the changes asked for are no longer kept. `conflict`: the table has changed
 * since the offset that the write named. `refused`: the store did nothing. `unanswered`: no whole answer came; a write
 * may have been or may yet be applied. `invalid`: the answer cannot be read.
 */
export type StoreFailure = 'expired' | 'conflict' | 'refused' | 'unanswered' | 'invalid'

/** Outcome of a call to the store. */
export type StoreResult<Value> = Result<Value, StoreFailure>

/** The platform's store, and how its records are read. */
export interface ControlStore {
  /** The newest records of a table. */
  newest (table: TableName, after?: string): Promise<StoreResult<TablePage>>
  /** Changes from `from` on; waits up to `waitMs` for one. */
  changes (table: TableName, from: number, waitMs: Milliseconds): Promise<StoreResult<TableChanges>>
  /** Writes records to a table, all or none; with `end`, only where the next change has this offset. */
  put (table: TableName, records: readonly TableRecord[], end?: number): Promise<StoreResult<void>>
  /** Undefined where the record is no configuration. */
  decodeRoutes (record: TableRecord): RouteConfig | undefined
  /** Undefined where the record names no upstream that can be used. */
  decodeUpstream (record: TableRecord): UpstreamEntry | undefined
  close (): void
}
