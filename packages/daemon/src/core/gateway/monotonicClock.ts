import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'

/** Time since the start of the process. Steps of the time of day do not move deadlines. */
export class MonotonicClock implements Clock {
  private constructor () {}

  static create (): MonotonicClock {
    return new MonotonicClock()
  }

  now (): Milliseconds {
    return performance.now()
  }
}
