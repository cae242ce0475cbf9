import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'

/** Clock that counts from the start of the process, so that adjustments of the system time do not move deadlines. */
export class MonotonicClock implements Clock {
  private constructor () {}

  static create (): MonotonicClock {
    return new MonotonicClock()
  }

  now (): Milliseconds {
    return performance.now()
  }
}
