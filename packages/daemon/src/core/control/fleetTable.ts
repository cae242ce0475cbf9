import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { ControlStore, TableRecord } from '../../types/controlStore.js'
import type { ChangeFeed } from '../feed/changeFeed.js'
import type { Journal } from '../operators/journal.js'
import { logContact } from './contactLog.js'
import { TableReader, type TableConsumer } from './tableReader.js'

/**
 * Longest wait of a read. Every read of an unchanged table is paid for, and a connection that goes silent delays a
 * change by this time.
 */
const READ_WAIT_MS: Milliseconds = 7000

/** Pause after a change: marks of crashing requests come in bursts. */
const PAUSE_MS: Milliseconds = 500

/** Takes the records of one group of keys. */
export interface FleetRecordConsumer {
  /** All records of the group; none where it is empty. */
  onSnapshot (records: readonly TableRecord[]): void
  onChanges (records: readonly TableRecord[]): void
}

/** How old what a followed VM has read may be: its read waits and pauses, and the store may answer slowly. */
const MAX_FEED_AGE_MS: Milliseconds = READ_WAIT_MS + PAUSE_MS + 800

/** What the table is followed with. */
export interface FleetTableOptions {
  readonly store: ControlStore
  readonly clock: Clock
  readonly journal: Journal
  readonly feed: ChangeFeed
  /** Consumers by group: the part of a key before its first slash. */
  readonly consumers: Readonly<Record<string, FleetRecordConsumer>>
}

/** Follows what operators and daemons share; one reader serves all groups, because each read has its price. */
export class FleetTable {
  readonly reader: TableReader
  /** Whether the table was read since the start. */
  isKnown = false

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
      ...logContact(this.options.journal, 'fleet'),
      onSnapshot: records => {
        this.isKnown = true
        this.forEachGroup(records, (consumer, group) => consumer.onSnapshot(group))
      },
      onChanges: records => this.forEachGroup(records, (consumer, group) => {
        if (group.length > 0) consumer.onChanges(group)
      })
    }
  }

  private forEachGroup (records: readonly TableRecord[], take: (consumer: FleetRecordConsumer, group: readonly TableRecord[]) => void): void {
    for (const [name, consumer] of Object.entries(this.options.consumers)) {
      take(consumer, records.filter(({ key }) => groupOf(key) === name))
    }
  }
}

function groupOf (key: string): string {
  return key.split('/', 1)[0] as string
}
