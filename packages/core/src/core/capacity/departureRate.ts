import type { Milliseconds } from '../../types/clock.js'

const LEARNING_RATE = 0.1
const MIN_DEPARTURES = 4

/** Mean time between departures from a queue while it is not empty. */
export class DepartureRate {
  private meanMs: Milliseconds | undefined
  private departureCount = 0
  private lastAt: Milliseconds = 0
  private backlogSince: Milliseconds = 0

  private constructor () {}

  static create (): DepartureRate {
    return new DepartureRate()
  }

  /** Starts over when the queue becomes non-empty: the idle time before it is unrelated to the rate. */
  onBacklogStart (now: Milliseconds): void {
    this.lastAt = now
    this.backlogSince = now
    this.departureCount = 0
    this.meanMs = undefined
  }

  onDeparture (now: Milliseconds): void {
    const intervalMs = now - this.lastAt
    this.lastAt = now
    this.departureCount += 1
    // The first departures count equally, so that one gap does not dominate a short backlog.
    const weight = Math.max(LEARNING_RATE, 1 / this.departureCount)
    this.meanMs = (this.meanMs ?? intervalMs) + (intervalMs - (this.meanMs ?? intervalMs)) * weight
  }

  /** Mean time to a departure by the few of this backlog, the next one included; grows while none comes. */
  earlyIntervalMs (now: Milliseconds): Milliseconds {
    return (now - this.backlogSince) / (this.departureCount + 1)
  }

  /** Undefined before enough departures. The time since the last one counts once half of it exceeds the mean. */
  meanIntervalMs (now: Milliseconds): Milliseconds | undefined {
    if (this.meanMs === undefined || this.departureCount < MIN_DEPARTURES) return undefined
    return Math.max(this.meanMs, (now - this.lastAt) / 2)
  }
}
