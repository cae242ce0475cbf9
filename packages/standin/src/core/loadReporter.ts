import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Load } from '../types/upstreamHeaders.js'

/** Loads kept for delayed reports. */
const MAX_HISTORY = 10_000

/** Remembers the load at each change, for reports that describe the past. */
export class LoadReporter {
  private history: { readonly at: Milliseconds, readonly load: Load }[] = []

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): LoadReporter {
    return new LoadReporter(clock)
  }

  record (load: Load): void {
    this.history.push({ at: this.clock.now(), load })
    if (this.history.length > 2 * MAX_HISTORY) this.history = this.history.slice(-MAX_HISTORY)
  }

  /** The load as it was `delayMs` ago, or the oldest known one. */
  loadBefore (delayMs: Milliseconds): Load | undefined {
    const at = this.clock.now() - delayMs
    const entry = this.history.findLast(known => known.at <= at) ?? this.history[0]
    return entry?.load
  }
}
