import { Result } from 'true-myth/result'
import type { ControlStore, StoreResult, TableName, TablePosition, TableRecord } from '../../types/controlStore.js'

/** The newest record of each key of a table, and the position from which its changes have to be applied. */
export interface TableSnapshot {
  readonly records: readonly TableRecord[]
  readonly position: TablePosition
}

/**
 * Reads all pages of a table. Changes made while the pages were read are found from the position on. Fails with `expired`
 * if the store was restored from a copy meanwhile.
 */
export async function readSnapshot (store: ControlStore, table: TableName): Promise<StoreResult<TableSnapshot>> {
  const first = await store.readNewest(table)
  if (first.isErr) return Result.err(first.error)
  const { end, epoch } = first.value
  const records = [...first.value.records]
  let after = first.value.nextAfter
  while (after !== undefined) {
    const page = await store.readNewest(table, after)
    if (page.isErr) return Result.err(page.error)
    if (page.value.epoch !== epoch) return Result.err('expired')
    records.push(...page.value.records)
    after = page.value.nextAfter
  }
  return Result.ok({ records, position: { epoch, offset: end } })
}
