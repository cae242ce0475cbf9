import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { LatencyEstimate } from '@cowsliplead/core/types/latencyEstimate.js'

/** Time within which a load balancer that checks readiness once a second has taken a stopping VM out. */
const BALANCER_DETECTION_MS: Milliseconds = 2500

/** Share of the grace period in which connections are still accepted, also if the load balancer is slow. */
const ACCEPT_GRACE_SHARE = 0.55

/** Share of the grace period after which requests in flight are ended; the rest is for their answers. */
const ANSWER_GRACE_SHARE = 0.95

/** Share of the grace period after which the daemon exits even with requests in flight. */
const DRAIN_GRACE_SHARE = 0.97

/** What is known about when a request ends. */
export interface RequestEnd {
  readonly deadlineAt: Milliseconds
  /** Undefined until the daemon knows how long such requests take. */
  readonly latency: LatencyEstimate | undefined
}

/** The times of a planned stop. */
export class StopPlan {
  /** Until when connections are accepted. */
  readonly listensUntil: Milliseconds
  /** Until when responses of upstreams are awaited. */
  readonly answersUntil: Milliseconds
  /** When the daemon exits at the latest. */
  readonly exitsAt: Milliseconds
  /** Until when callers may still have no other VM to go to. */
  private readonly detectedAt: Milliseconds

  private constructor (startedAt: Milliseconds, graceMs: Milliseconds) {
    this.listensUntil = startedAt + graceMs * ACCEPT_GRACE_SHARE
    this.answersUntil = startedAt + graceMs * ANSWER_GRACE_SHARE
    this.exitsAt = startedAt + graceMs * DRAIN_GRACE_SHARE
    this.detectedAt = Math.min(startedAt + BALANCER_DETECTION_MS, this.listensUntil)
  }

  static create (startedAt: Milliseconds, graceMs: Milliseconds): StopPlan {
    return new StopPlan(startedAt, graceMs)
  }

  /**
   * Whether a request may be passed on at `now`. Once callers can reach other VMs, one that may outlast the daemon is refused:
   * it would be cut off, while it can run elsewhere. Until then, only one that would most likely be cut off is. The deadline
   * does not bound a response that is streamed.
   */
  accepts (now: Milliseconds, { deadlineAt, latency }: RequestEnd): boolean {
    const endsInTime = deadlineAt <= this.answersUntil
    if (now <= this.detectedAt) return endsInTime || now + (latency?.typicalMs ?? 0) <= this.answersUntil
    return endsInTime && now + (latency?.longMs ?? 0) <= this.answersUntil
  }

  /** Whether a request that was accepted, and waits for an upstream, may wait on. It has used up time that another VM would need. */
  mayWait (now: Milliseconds, { deadlineAt, latency }: RequestEnd): boolean {
    if (now <= this.detectedAt) return true
    return latency === undefined ? deadlineAt <= this.answersUntil : now + latency.longMs <= this.answersUntil
  }
}
