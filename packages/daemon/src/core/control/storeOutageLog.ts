import type { StoreFailure, TableName } from '../../types/controlStore.js'
import type { TableConsumer } from '../../types/tableConsumer.js'
import type { Logger } from '../operators/logger.js'

/** Consumer callbacks that log failed reads of a table, the recovery from them, and restores of the store. */
export function logStoreOutages (logger: Logger, table: TableName): Pick<TableConsumer, 'onRecovery' | 'onRestore' | 'onFailure'> {
  return {
    onRecovery: outageMs => logger.info('control store answers again', { table, outageMs: Math.round(outageMs) }),
    onRestore: restore => logger.warn('control store was restored from a copy', { table, ...restore }),
    onFailure: (failure: StoreFailure) => logger.warn('control store read failed', { table, failure })
  }
}
