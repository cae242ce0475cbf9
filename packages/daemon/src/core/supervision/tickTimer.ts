import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'

/** An object with timed work, such as a dispatcher. */
export interface Tickable {
  /** When `tick` is due next; undefined if there is no timed work. */
  nextTimerAt (): Milliseconds | undefined
  tick (): void
}

/** One event-loop timer that all dispatchers share, so that most calls need no timer of their own. */
export class TickTimer {
  private readonly tickables = new Set<Tickable>()
  private timer: NodeJS.Timeout | undefined
  private armedFor: Milliseconds = Infinity
  private isStopped = false

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): TickTimer {
    return new TickTimer(clock)
  }

  add (tickable: Tickable): void {
    this.tickables.add(tickable)
    this.reschedule(tickable)
  }

  remove (tickable: Tickable): void {
    this.tickables.delete(tickable)
  }

  /** Must be called after each event that may make the next tick due earlier. */
  reschedule (tickable: Tickable): void {
    const at = tickable.nextTimerAt()
    if (at !== undefined && at < this.armedFor) this.arm(at)
  }

  /** Stops the timer permanently: later events, such as the close of a caller's connection, do not arm it again. */
  stop (): void {
    this.isStopped = true
    clearTimeout(this.timer)
    this.armedFor = Infinity
  }

  private arm (at: Milliseconds): void {
    if (this.isStopped) return
    clearTimeout(this.timer)
    this.armedFor = at
    this.timer = setTimeout(() => this.fire(), Math.max(Math.ceil(at - this.clock.now()), 0))
  }

  private fire (): void {
    const now = this.clock.now()
    this.armedFor = Infinity
    let next = Infinity
    for (const tickable of this.tickables) {
      if ((tickable.nextTimerAt() ?? Infinity) <= now) tickable.tick()
      next = Math.min(next, tickable.nextTimerAt() ?? Infinity)
    }
    if (next < this.armedFor) this.arm(next)
  }
}
