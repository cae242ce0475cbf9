import type { Milliseconds } from '@cowsliplead/core/types/clock.js'

/** Schedules functions; tests substitute a fake. */
export interface Timers {
  /** Runs `action` after `delay`; returns a function that cancels it. */
  after (delay: Milliseconds, action: () => void): () => void
}

/** Timers of the event loop. */
export const SYSTEM_TIMERS: Timers = {
  after (delay, action) {
    const timer = setTimeout(action, delay)
    return () => clearTimeout(timer)
  }
}
