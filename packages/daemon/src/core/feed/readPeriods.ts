import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { TableName } from '../../types/controlStore.js'

/**
 * Longest pause between two reads of a table that count as uninterrupted: the long poll, its pause and a slow answer. The entry
 * of an upstream lapses only after a longer silence.
 */
const MAX_PAUSE_MS: Milliseconds = 2500

/** A time in which a table was read without interruption, by this VM or others. */
export interface ReadPeriod {
  /** The first read. */
  readonly from: Milliseconds
  /** The last read. */
  readonly to: Milliseconds
}

/** For each table, the latest period in which it was read without interruption. */
export class ReadPeriods {
  private readonly periods = new Map<TableName, ReadPeriod>()

  private constructor () {}

  static create (): ReadPeriods {
    return new ReadPeriods()
  }

  /** Adds a period that this VM or another one knows of. */
  add (table: TableName, period: ReadPeriod): void {
    this.periods.set(table, merge(this.periods.get(table), period))
  }

  /** Whether the period reaches back to `since`. */
  includes (table: TableName, since: Milliseconds): boolean {
    const period = this.periods.get(table)
    return period !== undefined && period.from <= since
  }

  /** Time from the beginning of the period to a read. */
  lengthMs (table: TableName, readAt: Milliseconds): Milliseconds {
    return Math.max(0, Math.round(readAt - (this.periods.get(table)?.from ?? readAt)))
  }
}

/** Both periods together, or the later one if the reads were interrupted between them. */
function merge (known: ReadPeriod | undefined, added: ReadPeriod): ReadPeriod {
  if (known === undefined || added.from > known.to + MAX_PAUSE_MS) return added
  if (known.from > added.to + MAX_PAUSE_MS) return known
  return { from: Math.min(known.from, added.from), to: Math.max(known.to, added.to) }
}
