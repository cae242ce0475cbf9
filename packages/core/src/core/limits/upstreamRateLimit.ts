import type { Milliseconds } from '../../types/clock.js'
import type { RateLimitChange } from '../../types/dispatch.js'
import type { RandomSource } from '../../types/randomSource.js'
import type { Warmup } from '../../types/routes.js'
import type { RateNotice, Upstream } from '../../types/upstream.js'
import type { RateDivision, RateShare } from './rateDivision.js'

const MS_PER_SECOND = 1000

/** Requests that this VM can save up, as the number that its share allows in this time; one at least. */
const BURST_SECONDS = 1

/** Options of an upstream's rate limit. */
export interface UpstreamRateLimitOptions {
  readonly upstream: Upstream
  readonly division: RateDivision
  readonly random: RandomSource
}

/**
 * Keeps this VM's requests to one upstream within its share of the rate that the upstream takes from all VMs together: the
 * rate that it names, the rate of a cold upstream while it is cold, or the lower one of both. A token bucket that starts
 * with a random part of a token: the VMs learn of a limit at about the same time and must not all send their next requests
 * together.
 */
export class UpstreamRateLimit {
  /** Requests per second that the upstream names; undefined while it names no limit. */
  requestsPerSecond: number | undefined
  private warmup: Warmup | undefined
  private coldUntil: Milliseconds = -Infinity
  /** Limit to which `share` belongs; undefined while there was none. */
  private dividedRate: number | undefined
  private share: RateShare | undefined
  private divisionVersion = 0
  private tokens = 0
  private refilledAt: Milliseconds = 0
  /** Since when the upstream names a limit. */
  private namedSince: Milliseconds = 0
  private requests = 0
  private probes = 0

  private constructor (private readonly options: UpstreamRateLimitOptions) {}

  static create (options: UpstreamRateLimitOptions): UpstreamRateLimit {
    return new UpstreamRateLimit(options)
  }

  /** Whether the number of requests to the upstream is limited now. */
  isLimited (now: Milliseconds): boolean {
    return this.limitAt(now) !== undefined
  }

  /** Whether the upstream is cold and its service limits the requests to cold upstreams. */
  isCold (now: Milliseconds): boolean {
    return this.warmup !== undefined && now < this.coldUntil
  }

  /** Requests per second that this VM may send; infinite without a limit. */
  ownRequestsPerSecond (now: Milliseconds): number {
    return this.currentShare(now)?.requestsPerSecond ?? Infinity
  }

  /** Sets what a cold upstream of the service takes; undefined without a limit. */
  setWarmup (warmup: Warmup | undefined): void {
    this.warmup = warmup
  }

  /** Records that the upstream is cold until the given instant; an earlier one than was known changes nothing. */
  setColdUntil (instant: Milliseconds): void {
    this.coldUntil = Math.max(this.coldUntil, instant)
  }

  /** Treats the upstream as if it had just started, as it may have become cold without having said so yet. */
  assumeCold (now: Milliseconds): void {
    if (this.warmup !== undefined) this.setColdUntil(now + this.warmup.durationMs)
  }

  /** Records what a response says; returns the change, if it is one. */
  onNotice (notice: RateNotice, now: Milliseconds): Omit<RateLimitChange, 'upstreamId'> | undefined {
    const requestsPerSecond = notice.kind === 'limited' ? notice.requestsPerSecond : undefined
    const previous = this.requestsPerSecond
    if (requestsPerSecond === previous) return undefined
    this.refill(now)
    if (previous === undefined) this.startCounting(now)
    this.requestsPerSecond = requestsPerSecond
    const { requests, probes } = this
    return { requestsPerSecond, previous, ownRequestsPerSecond: this.currentShare(now)?.requestsPerSecond, limitedForMs: now - this.namedSince, requests, probes }
  }

  /** Whether a request may be sent now. */
  allows (now: Milliseconds): boolean {
    return this.nextStartAt(now) <= now
  }

  /** When the next request may be sent; `now` or earlier if at once. */
  nextStartAt (now: Milliseconds): Milliseconds {
    const share = this.currentShare(now)
    if (share === undefined) return now
    this.refill(now)
    return now + (1 - this.tokens) / share.requestsPerSecond * MS_PER_SECOND
  }

  /** Records that a request is sent. */
  onRequest (now: Milliseconds): void {
    this.requests += 1
    const share = this.currentShare(now)
    if (share === undefined) return
    this.refill(now)
    this.tokens -= share.isTrial ? 0.5 + this.options.random.next() : 1
  }

  /** Records that a load probe is sent. */
  onProbe (): void {
    this.probes += 1
  }

  private startCounting (now: Milliseconds): void {
    this.namedSince = now
    this.requests = 0
    this.probes = 0
  }

  private limitAt (now: Milliseconds): number | undefined {
    const warmupRate = this.isCold(now) ? this.warmup?.requestsPerSecond : undefined
    const limit = Math.min(this.requestsPerSecond ?? Infinity, warmupRate ?? Infinity)
    return limit === Infinity ? undefined : limit
  }

  private refill (now: Milliseconds): void {
    const share = this.currentShare(now)
    if (share === undefined) return
    const burst = Math.max(1, share.requestsPerSecond * BURST_SECONDS)
    const earned = Math.max(0, now - this.refilledAt) / MS_PER_SECOND * share.requestsPerSecond
    this.refilledAt = now
    this.tokens = Math.min(burst, this.tokens + earned)
  }

  /** This VM's share of the limit; computed anew when the limit or the fleet has changed. */
  private currentShare (now: Milliseconds): RateShare | undefined {
    const limit = this.limitAt(now)
    const { division, upstream, random } = this.options
    if (limit === this.dividedRate && this.divisionVersion === division.version) return this.share
    if (this.dividedRate === undefined) {
      this.refilledAt = now
      this.tokens = random.next()
    }
    this.dividedRate = limit
    this.divisionVersion = division.version
    this.share = limit === undefined ? undefined : division.shareOf(upstream, limit)
    return this.share
  }
}
