import type { Milliseconds } from '../../types/clock.js'
import type { RateLimitChange } from '../../types/dispatch.js'
import type { RateNotice } from '../../types/upstream.js'

/** The rate of requests that one upstream takes from all VMs together, as its responses name it. */
export class UpstreamRateLimit {
  /** Requests per second; undefined while the upstream names no limit. */
  requestsPerSecond: number | undefined
  private limitedSince: Milliseconds = 0
  private requests = 0
  private probes = 0

  private constructor () {}

  static create (): UpstreamRateLimit {
    return new UpstreamRateLimit()
  }

  /** Records what a response says; returns the change, if it is one. */
  onNotice (notice: RateNotice, now: Milliseconds): Omit<RateLimitChange, 'upstreamId'> | undefined {
    const requestsPerSecond = notice.kind === 'limited' ? notice.requestsPerSecond : undefined
    const previous = this.requestsPerSecond
    if (requestsPerSecond === previous) return undefined
    if (previous === undefined) this.start(now)
    this.requestsPerSecond = requestsPerSecond
    return { requestsPerSecond, previous, limitedForMs: now - this.limitedSince, requests: this.requests, probes: this.probes }
  }

  /** Records that a request is sent. */
  onRequest (): void {
    this.requests += 1
  }

  /** Records that a load probe is sent. */
  onProbe (): void {
    this.probes += 1
  }

  private start (now: Milliseconds): void {
    this.limitedSince = now
    this.requests = 0
    this.probes = 0
  }
}
