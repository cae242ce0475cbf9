import type { Milliseconds } from '../../types/clock.js'

const LEARNING_RATE = 0.1
const LEAST_DEPARTURES = 4

/** Mean time between departures from a queue while it is not empty. */
export class DepartureRate {
  private meanMs: Milliseconds | undefined
  private seen = 0
  private lastAt: Milliseconds = 0

  private constructor () {}

  static create (): DepartureRate {
    return new DepartureRate()
  }

  /** The queue became non-empty; the idle time before it says nothing about the rate. */
  onBacklog (now: Milliseconds): void {
    this.lastAt = now
    this.seen = 0
    this.meanMs = undefined
  }

  onDeparture (now: Milliseconds): void {
    const gap = now - this.lastAt
    this.lastAt = now
    this.seen += 1
    // A plain mean at first, so that one gap does not dominate a short backlog.
    const weight = Math.max(LEARNING_RATE, 1 / this.seen)
    this.meanMs = (this.meanMs ?? gap) + (gap - (this.meanMs ?? gap)) * weight
  }

  /** Undefined until enough departures were seen. A gap that is still open counts once it is longer than the mean. */
  everyMs (now: Milliseconds): Milliseconds | undefined {
    if (this.meanMs === undefined || this.seen < LEAST_DEPARTURES) return undefined
    return Math.max(this.meanMs, (now - this.lastAt) / 2)
  }
}
