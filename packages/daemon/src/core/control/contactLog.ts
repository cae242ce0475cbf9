import type { StoreFailure, TableName } from '../../types/controlStore.js'
import type { Journal } from '../operators/journal.js'
import type { TableConsumer } from './tableReader.js'

/** The part of a table's consumer that logs lost and regained contact with the store. */
export function logContact (journal: Journal, table: TableName): Pick<TableConsumer, 'onReturn' | 'onFailure'> {
  return {
    onReturn: () => journal.info('control store answers again', { table }),
    onFailure: (failure: StoreFailure) => journal.warn('control store failed', { table, failure })
  }
}
