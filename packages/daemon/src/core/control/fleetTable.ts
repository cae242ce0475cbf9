import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { ControlStore, TableRecord } from '../../types/controlStore.js'
import type { TableConsumer } from '../../types/tableConsumer.js'
import type { ChangeFeed } from '../feed/changeFeed.js'
import type { Logger } from '../operators/logger.js'
import { logStoreOutages } from './storeOutageLog.js'
import { TableReader } from './tableReader.js'

/**
 * Long-poll timeout of a read: long, because each read of an unchanged table has a cost too. A connection that hangs
 * delays changes by this time.
 */
const READ_WAIT_MS: Milliseconds = 7000

/** Pause between two reads: marks of suspect requests arrive in bursts. */
const PAUSE_MS: Milliseconds = 500

/** Receives the records of one key group. */
export interface FleetRecordConsumer {
  /** All records of the group; may be empty. */
  onSnapshot (records: readonly TableRecord[]): void
  onChanges (records: readonly TableRecord[]): void
}

/** Maximum age of a source's last read: its long poll and its pause, plus time for a slow answer of the store. */
const MAX_FEED_AGE_MS: Milliseconds = READ_WAIT_MS + PAUSE_MS + 800

/** Options of the fleet table. */
export interface FleetTableOptions {
  readonly store: ControlStore
  readonly clock: Clock
  readonly logger: Logger
  readonly feed: ChangeFeed
  /** Consumers by key group, which is the part of a key before its first slash. */
  readonly consumers: Readonly<Record<string, FleetRecordConsumer>>
}

/** Reads the table that operators and daemons share. One reader serves all key groups, because each read has a cost. */
export class FleetTable {
  readonly reader: TableReader
  /** Whether the table has been read since the start. */
  isLoaded = false

  private constructor (private readonly options: FleetTableOptions) {
    const { store, clock, feed } = options
    this.reader = TableReader.create({
      store, clock, feed, table: 'fleet', consumer: this.createConsumer(), waitMs: READ_WAIT_MS, pauseMs: PAUSE_MS, maxFeedAgeMs: MAX_FEED_AGE_MS
    })
  }

  static create (options: FleetTableOptions): FleetTable {
    return new FleetTable(options)
  }

  private createConsumer (): TableConsumer {
    return {
      ...logStoreOutages(this.options.logger, 'fleet'),
      // VMs that start read this table from the store, not from a copy.
      isOutdated: () => false,
      onSnapshot: records => {
        this.isLoaded = true
        this.forEachGroup(records, (consumer, group) => consumer.onSnapshot(group))
      },
      onChanges: records => this.forEachGroup(records, (consumer, group) => {
        if (group.length > 0) consumer.onChanges(group)
      })
    }
  }

  private forEachGroup (records: readonly TableRecord[], action: (consumer: FleetRecordConsumer, group: readonly TableRecord[]) => void): void {
    for (const [name, consumer] of Object.entries(this.options.consumers)) {
      action(consumer, records.filter(({ key }) => groupOf(key) === name))
    }
  }
}

function groupOf (key: string): string {
  return key.split('/', 1)[0] as string
}
