import { Result } from 'true-myth/result'
import type { ControlStore, StoreResult, TableName, TablePosition, TableRecord } from '../../types/controlStore.js'

/** Most memory of a snapshot: enough for tens of thousands of upstreams, and within that of a small VM. */
const MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024

/** About what a record takes beside its key and value. */
const RECORD_OVERHEAD_BYTES = 200

/** The newest record of each key of a table, and the position from which its changes have to be applied. */
export interface TableSnapshot {
  readonly records: readonly TableRecord[]
  readonly position: TablePosition
}

/**
 * Reads all pages of a table. Changes made while the pages were read are found from the position on. Fails with `expired`
 * if the store was restored from a copy meanwhile, with `invalid` if a page does not go on where the last one ended, and with
 * `tooLarge` if there are too many.
 */
export async function readSnapshot (store: ControlStore, table: TableName): Promise<StoreResult<TableSnapshot>> {
  const first = await store.readNewest(table)
  if (first.isErr) return Result.err(first.error)
  const { end, epoch } = first.value
  const records = [...first.value.records]
  let bytes = sizeOf(records)
  let after = first.value.nextAfter
  while (after !== undefined) {
    const page = await store.readNewest(table, after)
    if (page.isErr) return Result.err(page.error)
    if (page.value.epoch !== epoch) return Result.err('expired')
    if (page.value.nextAfter === after) return Result.err('invalid')
    bytes += sizeOf(page.value.records)
    if (bytes > MAX_SNAPSHOT_BYTES) return Result.err('tooLarge')
    records.push(...page.value.records)
    after = page.value.nextAfter
  }
  return Result.ok({ records, position: { epoch, offset: end } })
}

function sizeOf (records: readonly TableRecord[]): number {
  return records.reduce((sum, { key, value }) => sum + RECORD_OVERHEAD_BYTES + key.length + (value?.length ?? 0), 0)
}
