import { Result } from 'true-myth/result'
import type { ControlStore, StoreResult, TableName, TableRecord } from '../../types/controlStore.js'

/** The newest record of each key of a table, and the offset from which changes complete them. */
export interface TableSnapshot {
  readonly records: readonly TableRecord[]
  readonly end: number
}

/** Reads all pages of a table. Changes made between two pages are found from `end` on. */
export async function readSnapshot (store: ControlStore, table: TableName): Promise<StoreResult<TableSnapshot>> {
  const first = await store.newest(table)
  if (first.isErr) return Result.err(first.error)
  const records = [...first.value.records]
  let after = first.value.nextAfter
  while (after !== undefined) {
    const page = await store.newest(table, after)
    if (page.isErr) return Result.err(page.error)
    records.push(...page.value.records)
    after = page.value.nextAfter
  }
  return Result.ok({ records, end: first.value.end })
}
