import type { Milliseconds } from '@cowsliplead/core/types/clock.js'

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

/** Both periods together, or the later one if the reads were interrupted between them. */
export function mergePeriods (known: ReadPeriod | undefined, added: ReadPeriod): ReadPeriod {
  if (known === undefined || added.from > known.to + MAX_PAUSE_MS) return added
  if (known.from > added.to + MAX_PAUSE_MS) return known
  return { from: Math.min(known.from, added.from), to: Math.max(known.to, added.to) }
}
