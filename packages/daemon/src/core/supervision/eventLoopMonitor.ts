import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'

const CHECK_INTERVAL_MS = 50

/** Delay of the event loop above which it counts as stalled: longer ones noticeably delay every call of the VM. */
export const STALL_THRESHOLD_MS = 200

/** Detects stalls of the event loop and reports their length. */
export class EventLoopMonitor {
  private timer: NodeJS.Timeout | undefined
  private expectedAt: Milliseconds = 0

  private constructor (private readonly clock: Clock, private readonly onStall: (length: Milliseconds) => void) {}

  static create (clock: Clock, onStall: (length: Milliseconds) => void): EventLoopMonitor {
    return new EventLoopMonitor(clock, onStall)
  }

  start (): void {
    this.expectedAt = this.clock.now() + CHECK_INTERVAL_MS
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS)
    this.timer.unref()
  }

  stop (): void {
    clearInterval(this.timer)
  }

  /** Compares the clock with the time at which the timer was due. */
  check (): void {
    const now = this.clock.now()
    const delayMs = now - this.expectedAt
    this.expectedAt = now + CHECK_INTERVAL_MS
    if (delayMs > STALL_THRESHOLD_MS) this.onStall(delayMs)
  }
}
