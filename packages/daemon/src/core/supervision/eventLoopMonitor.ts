import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'

const INTERVAL_MS = 50

/** Stalls above this length delay every call of the VM noticeably. */
export const STALL_MS = 200

/** Reports the length of event-loop stalls. */
export class EventLoopMonitor {
  private timer: NodeJS.Timeout | undefined
  private expectedAt: Milliseconds = 0

  private constructor (private readonly clock: Clock, private readonly onStall: (length: Milliseconds) => void) {}

  static create (clock: Clock, onStall: (length: Milliseconds) => void): EventLoopMonitor {
    return new EventLoopMonitor(clock, onStall)
  }

  start (): void {
    this.expectedAt = this.clock.now() + INTERVAL_MS
    this.timer = setInterval(() => this.check(), INTERVAL_MS)
    this.timer.unref()
  }

  stop (): void {
    clearInterval(this.timer)
  }

  /** Compares the clock with the instant at which the timer was due. */
  check (): void {
    const now = this.clock.now()
    const late = now - this.expectedAt
    this.expectedAt = now + INTERVAL_MS
    if (late > STALL_MS) this.onStall(late)
  }
}
