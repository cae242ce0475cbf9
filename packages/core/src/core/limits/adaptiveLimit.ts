import type { Milliseconds } from '../../types/clock.js'
import type { RoutingPolicy } from '../../types/routingPolicy.js'

const SHORT_TERM_LEARNING_RATE = 0.2
const LONG_TERM_LEARNING_RATE = 0.01
const SMOOTHING = 0.2
const MIN_GRADIENT = 0.5

/**
 * In-flight limit for an upstream that does not report its slots. The limit follows the ratio of long-term
 * to short-term latency: it grows by its square root while latency is flat and shrinks when latency rises.
 */
export class AdaptiveLimit {
  private shortTermMs: Milliseconds | undefined
  private longTermMs: Milliseconds | undefined
  private limit: number

  private constructor (policy: RoutingPolicy) {
    this.limit = policy.adaptiveLimitStartCalls
  }

  static create (policy: RoutingPolicy): AdaptiveLimit {
    return new AdaptiveLimit(policy)
  }

  get calls (): number {
    return Math.max(1, Math.floor(this.limit))
  }

  /** Learns from one response's latency while `inFlight` attempts were under way. */
  onLatency (latencyMs: Milliseconds, inFlight: number, policy: RoutingPolicy): void {
    this.shortTermMs = smooth(this.shortTermMs ?? latencyMs, latencyMs, SHORT_TERM_LEARNING_RATE)
    this.longTermMs = this.nextLongTermMs(latencyMs, this.shortTermMs, inFlight)
    const gradient = Math.max(MIN_GRADIENT, Math.min(1, policy.adaptiveLimitTolerance * this.longTermMs / this.shortTermMs))
    // A limit that is less than half used is no evidence that a higher one would work.
    if (gradient >= 1 && inFlight < this.limit / 2) return
    const target = this.limit * gradient + Math.sqrt(this.limit)
    const next = gradient >= 1 ? target : Math.min(target, this.limit * (1 + gradient) / 2)
    this.limit = Math.min(policy.adaptiveLimitMaxCalls, Math.max(1, smooth(this.limit, next, SMOOTHING)))
  }

  // Latency near the limit includes queueing. If it raised the long-term latency, the limit would grow with its own queue.
  private nextLongTermMs (latencyMs: Milliseconds, shortTermMs: Milliseconds, inFlight: number): Milliseconds {
    if (this.longTermMs === undefined) return latencyMs
    if (inFlight <= this.limit / 2) return smooth(this.longTermMs, latencyMs, LONG_TERM_LEARNING_RATE)
    return shortTermMs < this.longTermMs ? smooth(this.longTermMs, shortTermMs, LONG_TERM_LEARNING_RATE) : this.longTermMs
  }

  /** Lowers the limit after a shed or failed attempt. */
  onRefusal (): void {
    this.limit = Math.max(1, this.limit * 0.9)
  }
}

function smooth (current: number, sample: number, weight: number): number {
  return current + (sample - current) * weight
}
