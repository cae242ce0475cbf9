/** A duration or an instant in milliseconds; instants count from the Unix epoch. */
export type Milliseconds = number

/** Source of the current time. Core never reads the system clock directly. */
export interface Clock {
  /** The current instant. */
  now (): Milliseconds
}

/** A larger lag behind the wall clock means that the process was suspended or the wall clock was set forward. */
const MAX_WALL_LAG_MS = 50

/** Reads a time in milliseconds. */
export type TimeReader = () => Milliseconds

/**
 * The system's clock. Within a process it never runs backwards, so that a step of the wall clock cannot reorder
 * events. It follows the wall clock forwards: the monotonic clock stops while a hypervisor suspends the VM, and a VM
 * that misses the gap would treat expired leases and stale observations as fresh.
 */
export class SystemClock implements Clock {
  private offset: Milliseconds

  private constructor (private readonly wall: TimeReader, private readonly monotonic: TimeReader) {
    this.offset = wall() - monotonic()
  }

  static create (wall: TimeReader = Date.now, monotonic: TimeReader = () => performance.now()): SystemClock {
    return new SystemClock(wall, monotonic)
  }

  /** The current instant, with fractions of a millisecond. */
  now (): Milliseconds {
    const monotonic = this.monotonic()
    const lag = this.wall() - (monotonic + this.offset)
    if (lag > MAX_WALL_LAG_MS) this.offset += lag
    return monotonic + this.offset
  }
}

/** A manually advanced clock for tests and the decisions bench. */
export class FakeClock implements Clock {
  private constructor (private current: Milliseconds) {}

  static create (start: Milliseconds = 0): FakeClock {
    return new FakeClock(start)
  }

  now (): Milliseconds {
    return this.current
  }

  /** Moves the clock forward by `duration`. */
  advance (duration: Milliseconds): void {
    this.current += duration
  }

  /** Moves the clock forward to `instant`; an earlier instant is ignored. */
  advanceTo (instant: Milliseconds): void {
    this.current = Math.max(this.current, instant)
  }
}
