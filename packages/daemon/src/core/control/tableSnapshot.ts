import { Result } from 'true-myth/result'
import type { ControlStore, StoreEpoch, StoreResult, TableName, TableRecord } from '../../types/controlStore.js'

/** The newest record of each key of a table, and the offset from which its changes have to be applied. */
export interface TableSnapshot {
  readonly records: readonly TableRecord[]
  readonly end: number
  readonly epoch: StoreEpoch
}

/** Reads all pages of a table. Changes made while the pages were read are found from `end` on. */
export async function readSnapshot (store: ControlStore, table: TableName): Promise<StoreResult<TableSnapshot>> {
  const first = await store.readNewest(table)
  if (first.isErr) return Result.err(first.error)
  const records = [...first.value.records]
  let after = first.value.nextAfter
  while (after !== undefined) {
    const page = await store.readNewest(table, after)
    if (page.isErr) return Result.err(page.error)
    records.push(...page.value.records)
    after = page.value.nextAfter
  }
  return Result.ok({ records, end: first.value.end, epoch: first.value.epoch })
}
