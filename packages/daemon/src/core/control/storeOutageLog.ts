import type { StoreFailure, TableName } from '../../types/controlStore.js'
import type { Logger } from '../operators/logger.js'
import type { TableConsumer } from './tableReader.js'

/** Consumer callbacks that log failed reads of a table and the recovery from them. */
export function logStoreOutages (logger: Logger, table: TableName): Pick<TableConsumer, 'onRecovery' | 'onFailure'> {
  return {
    onRecovery: () => logger.info('control store answers again', { table }),
    onFailure: (failure: StoreFailure) => logger.warn('control store read failed', { table, failure })
  }
}
