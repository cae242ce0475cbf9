import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Load } from '../types/upstreamHeaders.js'

/** Number of latest entries that trimming keeps; it takes place when there are more than twice as many. */
const RETAINED_ENTRIES = 10_000

/** Records the load at each change, for load reports that are delayed on purpose. */
export class LoadHistory {
  private entries: { readonly at: Milliseconds, readonly load: Load }[] = []

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): LoadHistory {
    return new LoadHistory(clock)
  }

  record (load: Load): void {
    this.entries.push({ at: this.clock.now(), load })
    if (this.entries.length > 2 * RETAINED_ENTRIES) this.entries = this.entries.slice(-RETAINED_ENTRIES)
  }

  /** Returns the load as it was `delayMs` ago, or the oldest recorded load. */
  delayedLoad (delayMs: Milliseconds): Load | undefined {
    const at = this.clock.now() - delayMs
    const entry = this.entries.findLast(known => known.at <= at) ?? this.entries[0]
    return entry?.load
  }
}
