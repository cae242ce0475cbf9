import type { TableRecord } from '../../types/controlStore.js'
import type { FeedRecords } from '../../types/feedMessage.js'

/** Encodes records for a feed message. */
export function encodeFeedRecords (records: readonly TableRecord[]): FeedRecords {
  return records.map(({ key, value }) => ({ key, value: value?.toString('base64') }))
}

/** Decodes the records of a feed message. */
export function decodeFeedRecords (records: FeedRecords): TableRecord[] {
  return records.map(({ key, value }) => ({ key, value: value === undefined ? undefined : Buffer.from(value, 'base64') }))
}

/** Size of the values of records. */
export function bytesOf (records: readonly TableRecord[]): number {
  return records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0)
}
