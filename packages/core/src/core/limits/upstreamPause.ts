import type { Milliseconds } from '../../types/clock.js'

/**
 * The time for which an upstream has asked for no requests from this VM. Neither a shorter request of the upstream nor a
 * later success shortens it: responses to requests that were sent before may arrive at any time.
 */
export class UpstreamPause {
  /** End of the pause; in the past if there is none. */
  until: Milliseconds = -Infinity
  /** Whether the current pause still has to be counted as a failure of the upstream. */
  private isUncounted = false

  private constructor () {}

  static create (): UpstreamPause {
    return new UpstreamPause()
  }

  isActive (now: Milliseconds): boolean {
    return this.until > now
  }

  /** Remaining time; 0 if there is no pause. */
  leftMs (now: Milliseconds): Milliseconds {
    return Math.max(0, this.until - now)
  }

  /** Handles a response that asks for a pause. Returns whether a pause begins. */
  onRequest (pauseMs: Milliseconds, now: Milliseconds): boolean {
    const begins = pauseMs > 0 && !this.isActive(now)
    this.until = Math.max(this.until, now + pauseMs)
    if (begins) this.isUncounted = true
    return begins
  }

  /** Returns whether the pause is to be counted as a failure, which is once, however many requests were refused. */
  countFailure (): boolean {
    const isFirst = this.isUncounted
    this.isUncounted = false
    return isFirst
  }
}
