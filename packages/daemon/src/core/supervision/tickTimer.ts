import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'

/** An object with timed work, such as a dispatcher. */
export interface Tickable {
  /** When `tick` is due next; undefined if there is no timed work. */
  nextTimerAt (): Milliseconds | undefined
  tick (): void
}

/** Longest delay of a timer of Node, which fires at once if it is given a longer one. */
const MAX_TIMER_MS: Milliseconds = 2 ** 31 - 1

/** One event-loop timer that all dispatchers share, so that most calls need no timer of their own. */
export class TickTimer {
  private readonly tickables = new Set<Tickable>()
  private timer: NodeJS.Timeout | undefined
  private armedFor: Milliseconds = Infinity
  private isStopped = false

  private constructor (private readonly clock: Clock, private readonly onError: (error: Error) => void) {}

  /** An exception of an object's timed work is passed to `onError`, and the work of the others goes on. */
  static create (clock: Clock, onError: (error: Error) => void): TickTimer {
    return new TickTimer(clock, onError)
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
    const delayMs = Math.ceil(at - this.clock.now())
    this.timer = setTimeout(() => this.fire(), Math.min(Math.max(delayMs, 0), MAX_TIMER_MS))
  }

  private fire (): void {
    const now = this.clock.now()
    this.armedFor = Infinity
    let next = Infinity
    for (const tickable of this.tickables) {
      if ((tickable.nextTimerAt() ?? Infinity) <= now) this.tick(tickable)
      next = Math.min(next, tickable.nextTimerAt() ?? Infinity)
    }
    if (next < this.armedFor) this.arm(next)
  }

  private tick (tickable: Tickable): void {
    try {
      tickable.tick()
    } catch (error) {
      this.onError(error as Error)
    }
  }
}
