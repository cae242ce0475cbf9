import type { Milliseconds } from '../types/clock.js'

const FIRST_BUCKET_MS = 0.05
// Adjacent buckets differ by 8%, which is less than the noise of a p95 over a few hundred samples.
const BUCKET_GROWTH = 1.08
const BUCKET_COUNT = 200
// Samples after which cached quantiles are recomputed.
const REFRESH_SAMPLES = 32

/** Distribution of recent latencies in logarithmic buckets; counts are halved when they add up to `windowSamples`. */
export class LatencyHistogram {
  private readonly counts = new Float64Array(BUCKET_COUNT)
  private readonly cachedQuantiles = new Map<number, Milliseconds>()
  private total = 0
  private samplesSinceRefresh = 0

  private constructor (private readonly windowSamples: number) {}

  static create (windowSamples = 2_000): LatencyHistogram {
    return new LatencyHistogram(windowSamples)
  }

  /** Sum of the bucket counts, in which older samples weigh less. */
  get sampleCount (): number {
    return this.total
  }

  add (latencyMs: Milliseconds): void {
    const index = bucketOf(latencyMs)
    this.counts[index] = (this.counts[index] ?? 0) + 1
    this.total += 1
    if (this.total >= this.windowSamples) this.halve()
    this.samplesSinceRefresh += 1
    if (this.samplesSinceRefresh < REFRESH_SAMPLES && this.total > REFRESH_SAMPLES) return
    this.samplesSinceRefresh = 0
    this.cachedQuantiles.clear()
  }

  /** Upper bound of the bucket that holds the quantile, cached for a few samples; undefined without samples. */
  quantile (share: number): Milliseconds | undefined {
    if (this.total === 0) return undefined
    const known = this.cachedQuantiles.get(share)
    if (known !== undefined) return known
    const value = this.findQuantile(share * this.total)
    this.cachedQuantiles.set(share, value)
    return value
  }

  private findQuantile (target: number): Milliseconds {
    let cumulativeCount = 0
    for (let index = 0; index < BUCKET_COUNT; index++) {
      cumulativeCount += this.counts[index] ?? 0
      if (cumulativeCount >= target) return FIRST_BUCKET_MS * BUCKET_GROWTH ** index
    }
    return FIRST_BUCKET_MS * BUCKET_GROWTH ** BUCKET_COUNT
  }

  private halve (): void {
    for (let index = 0; index < BUCKET_COUNT; index++) this.counts[index] = (this.counts[index] ?? 0) / 2
    this.total /= 2
  }
}

function bucketOf (latencyMs: Milliseconds): number {
  if (latencyMs <= FIRST_BUCKET_MS) return 0
  const index = Math.ceil(Math.log(latencyMs / FIRST_BUCKET_MS) / Math.log(BUCKET_GROWTH))
  return Math.min(index, BUCKET_COUNT - 1)
}
