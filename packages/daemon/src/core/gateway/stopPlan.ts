import type { Milliseconds } from '@cowsliplead/core/types/clock.js'

/** Time within which a load balancer that checks readiness once a second has taken a stopping VM out. */
const BALANCER_DETECTION_MS: Milliseconds = 2500

/** Share of the grace period in which connections are still accepted, also if the load balancer is slow. */
const ACCEPT_GRACE_SHARE = 0.55

/** Share of the grace period after which the daemon exits even with requests in flight. */
const DRAIN_GRACE_SHARE = 0.97

/** The times of a planned stop. */
export class StopPlan {
  /** Until when connections are accepted. */
  readonly listensUntil: Milliseconds
  /** When the daemon exits at the latest. */
  readonly exitsAt: Milliseconds
  /** Until when callers may still have no other VM to go to. */
  private readonly detectedAt: Milliseconds

  private constructor (startedAt: Milliseconds, graceMs: Milliseconds) {
    this.listensUntil = startedAt + graceMs * ACCEPT_GRACE_SHARE
    this.exitsAt = startedAt + graceMs * DRAIN_GRACE_SHARE
    this.detectedAt = Math.min(startedAt + BALANCER_DETECTION_MS, this.listensUntil)
  }

  static create (startedAt: Milliseconds, graceMs: Milliseconds): StopPlan {
    return new StopPlan(startedAt, graceMs)
  }

  /**
   * Whether a request that arrives at `now` is taken. Once callers can reach other VMs, one that may outlast the daemon is
   * refused: it would be cut off, while it can run elsewhere.
   */
  accepts (now: Milliseconds, deadlineAt: Milliseconds): boolean {
    return now <= this.detectedAt || deadlineAt <= this.exitsAt
  }
}
