import type { Milliseconds } from '../../types/clock.js'
import type { RoutingPolicy } from '../../types/routingPolicy.js'

const SHORT_RATE = 0.2
const LONG_RATE = 0.01
const SMOOTHING = 0.2
const STEEPEST_GRADIENT = 0.5

/**
 * In-flight limit of an upstream that does not report its slots. The limit follows the ratio of long-term
 * to current latency: it grows by its square root while latency is flat and shrinks when latency rises.
 */
export class AdaptiveLimit {
  private shortMs: Milliseconds | undefined
  private longMs: Milliseconds | undefined
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
    this.shortMs = mix(this.shortMs ?? latencyMs, latencyMs, SHORT_RATE)
    this.longMs = this.nextBaseline(latencyMs, this.shortMs, inFlight)
    const gradient = Math.max(STEEPEST_GRADIENT, Math.min(1, policy.adaptiveLimitTolerance * this.longMs / this.shortMs))
    // An unused limit says nothing about whether a higher one would do.
    if (gradient >= 1 && inFlight < this.limit / 2) return
    const target = this.limit * gradient + Math.sqrt(this.limit)
    const next = gradient >= 1 ? target : Math.min(target, this.limit * (1 + gradient) / 2)
    this.limit = Math.min(policy.adaptiveLimitMaxCalls, Math.max(1, mix(this.limit, next, SMOOTHING)))
  }

  // Latency at a full limit contains queueing. If it raised the baseline, the limit would follow its own queue upwards.
  private nextBaseline (latencyMs: Milliseconds, shortMs: Milliseconds, inFlight: number): Milliseconds {
    if (this.longMs === undefined) return latencyMs
    if (inFlight <= this.limit / 2) return mix(this.longMs, latencyMs, LONG_RATE)
    return shortMs < this.longMs ? mix(this.longMs, shortMs, LONG_RATE) : this.longMs
  }

  /** A shed or failed attempt: the limit was too high. */
  onRefusal (): void {
    this.limit = Math.max(1, this.limit * 0.9)
  }
}

function mix (current: number, sample: number, weight: number): number {
  return current + (sample - current) * weight
}
