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

/** Largest step of the boot-time clock: some systems give it in whole seconds. */
export const BOOT_CLOCK_STEP_MS: Milliseconds = 1000

const SYSTEM_READERS: InstantReaders = { monotonic: () => performance.now(), boot: () => uptime() * MS_PER_SECOND, wall: () => Date.now() }

/** Difference up to which the time of day and the monotonic clock agree: neither a suspension nor a step came between. */
const AGREEMENT_MS: Milliseconds = 250

/**
 * Measures elapsed time also across a suspension of the VM, in which the monotonic clock stops, and across steps of the time
 * of day: the largest difference counts. A forward step makes instants before it look older than they are. The boot-time
 * clock counts only where it is ahead of the monotonic clock by more than its step, which shows a suspension. In some
 * environments it is that of the host and runs at another speed than the VM's clocks; it is ignored from then on.
 */
export class ElapsedClock {
  /** Whether the boot-time clock is that of this VM. */
  private hasBootClock = true

  private constructor (private readonly readers: InstantReaders) {}

  static create (readers: InstantReaders = SYSTEM_READERS): ElapsedClock {
    return new ElapsedClock(readers)
  }

  now (): Instant {
    const { monotonic, boot, wall } = this.readers
    return { monotonic: monotonic(), boot: this.hasBootClock ? boot() : 0, wall: wall() }
  }

  /** Time since `instant`; too short by `BOOT_CLOCK_STEP_MS` at most, if the time of day was set back during a suspension. */
  since (instant: Instant): Milliseconds {
    const now = this.now()
    const monotonic = now.monotonic - instant.monotonic
    const boot = now.boot - instant.boot
    const wall = now.wall - instant.wall
    const isAhead = boot - monotonic > BOOT_CLOCK_STEP_MS
    if (isAhead && Math.abs(wall - monotonic) <= AGREEMENT_MS) this.hasBootClock = false
    return Math.max(0, monotonic, wall, isAhead && this.hasBootClock ? boot : 0)
  }
}

/** The instant `duration` before `instant`. */
export function instantBefore ({ monotonic, boot, wall }: Instant, duration: Milliseconds): Instant {
  return { monotonic: monotonic - duration, boot: boot - duration, wall: wall - duration }
}
