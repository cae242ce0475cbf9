import type { TablePosition, TableRecord } from '../../types/controlStore.js'
import type { OffsetChanges } from '../../types/feedTable.js'
import type { TableConsumer } from '../../types/tableConsumer.js'
import type { TableSnapshot } from './tableSnapshot.js'

/** The newest records of a table up to a position, as they were handed to its consumer. */
export class TableContent {
  /** Undefined before the first snapshot, and while changes are missing. */
  position: TablePosition | undefined
  /** Position before the last failure or missed changes, to notice a restore of the store. */
  private lastPosition: TablePosition | undefined
  private readonly newestRecords = new Map<string, Buffer>()

  private constructor (private readonly consumer: TableConsumer) {}

  static create (consumer: TableConsumer): TableContent {
    return new TableContent(consumer)
  }

  records (): readonly TableRecord[] {
    return [...this.newestRecords].map(([key, value]) => ({ key, value }))
  }

  /** Puts a snapshot in the place of what is known. */
  replace ({ records, position }: TableSnapshot): void {
    this.notifyOfRestore(position)
    const newest = this.newestOf(records)
    this.newestRecords.clear()
    this.keepNewest(newest)
    this.consumer.onSnapshot(newest)
    this.moveTo(position)
  }

  /** Applies the changes that are new, as another VM may have passed some of them on meanwhile, and returns them. */
  apply ({ epoch, from, records }: OffsetChanges): OffsetChanges | undefined {
    if (this.position?.epoch !== epoch) return undefined
    const { offset } = this.position
    const fresh = { epoch, from: offset, records: records.slice(offset - from) }
    if (fresh.records.length === 0) return undefined
    this.moveTo({ epoch, offset: offset + fresh.records.length })
    this.keepNewest(fresh.records)
    this.consumer.onChanges(fresh.records)
    return fresh
  }

  /**
   * The records of a snapshot, with what was known before in place of outdated ones: VMs that start take this copy, and
   * must not get older records than the others have in force.
   */
  private newestOf (records: readonly TableRecord[]): TableRecord[] {
    return records
      .map(record => this.consumer.isOutdated(record) ? { key: record.key, value: this.newestRecords.get(record.key) } : record)
      .filter(({ value }) => value !== undefined)
  }

  private notifyOfRestore ({ epoch }: TablePosition): void {
    const previous = this.lastPosition
    if (previous === undefined || previous.epoch === epoch) return
    this.consumer.onRestore({ epoch, previousEpoch: previous.epoch, offset: previous.offset })
  }

  private moveTo (position: TablePosition): void {
    this.position = position
    this.lastPosition = position
  }

  private keepNewest (records: readonly TableRecord[]): void {
    for (const { key, value } of records) {
      if (value === undefined) this.newestRecords.delete(key)
      else this.newestRecords.set(key, value)
    }
  }
}
