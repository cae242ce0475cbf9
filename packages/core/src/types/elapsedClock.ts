import { uptime } from 'node:os'
import type { Milliseconds, TimeReader } from './clock.js'

/** An instant by three clocks; only differences of the same clock mean something. */
export interface Instant {
  readonly monotonic: Milliseconds
  readonly boot: Milliseconds
  readonly wall: Milliseconds
}

/** The clocks that an `ElapsedClock` reads. */
export interface InstantReaders {
  readonly monotonic: TimeReader
  readonly boot: TimeReader
  readonly wall: TimeReader
}

const MS_PER_SECOND = 1000

const SYSTEM_READERS: InstantReaders = { monotonic: () => performance.now(), boot: () => uptime() * MS_PER_SECOND, wall: () => Date.now() }

/**
 * Measures elapsed time also across a suspension of the VM, in which the monotonic clock stops, and across steps of the time
 * of day: the largest difference counts. A forward step makes instants before it look older than they are, never younger.
 */
export class ElapsedClock {
  private constructor (private readonly readers: InstantReaders) {}

  static create (readers: InstantReaders = SYSTEM_READERS): ElapsedClock {
    return new ElapsedClock(readers)
  }

  now (): Instant {
    const { monotonic, boot, wall } = this.readers
    return { monotonic: monotonic(), boot: boot(), wall: wall() }
  }

  /** Time since `instant`; the boot-time clock may be read in steps of 10 ms. */
  since (instant: Instant): Milliseconds {
    const now = this.now()
    return Math.max(0, now.monotonic - instant.monotonic, now.boot - instant.boot, now.wall - instant.wall)
  }
}

/** The instant `duration` before `instant`. */
export function instantBefore ({ monotonic, boot, wall }: Instant, duration: Milliseconds): Instant {
  return { monotonic: monotonic - duration, boot: boot - duration, wall: wall - duration }
}
