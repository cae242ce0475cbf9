import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'

/** Something with timed work, such as a dispatcher. */
export interface Ticking {
  nextTimerAt (): Milliseconds | undefined
  tick (): void
}

/** One timer of the event loop shared by all dispatchers: most calls need no timer of their own. */
export class TickTimer {
  private readonly ticking = new Set<Ticking>()
  private timer: NodeJS.Timeout | undefined
  private armedFor: Milliseconds = Infinity
  private isStopped = false

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): TickTimer {
    return new TickTimer(clock)
  }

  add (ticking: Ticking): void {
    this.ticking.add(ticking)
    this.reschedule(ticking)
  }

  remove (ticking: Ticking): void {
    this.ticking.delete(ticking)
  }

  /** To be called after each event that may bring the next tick forward. */
  reschedule (ticking: Ticking): void {
    const at = ticking.nextTimerAt()
    if (at !== undefined && at < this.armedFor) this.arm(at)
  }

  /** Final: events that arrive later, such as the close of a caller's connection, arm nothing. */
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
    for (const ticking of this.ticking) {
      if ((ticking.nextTimerAt() ?? Infinity) <= now) ticking.tick()
      next = Math.min(next, ticking.nextTimerAt() ?? Infinity)
    }
    if (next < this.armedFor) this.arm(next)
  }
}
