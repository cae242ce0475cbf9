import type { TrafficShare } from '../../types/routes.js'

/**
 * Divides requests among services in proportion to weights by smooth weighted round robin: each service is never more
 * than one request away from its share, whereas random choice approaches the shares only over many requests.
 */
export class TrafficSplit {
  private readonly credits: number[]
  private readonly total: number

  private constructor (private readonly shares: readonly TrafficShare[]) {
    this.credits = shares.map(() => 0)
    this.total = shares.reduce((sum, { weight }) => sum + weight, 0)
  }

  /** `shares` must not be empty. */
  static create (shares: readonly TrafficShare[]): TrafficSplit {
    return new TrafficSplit(shares)
  }

  hasShares (shares: readonly TrafficShare[]): boolean {
    if (shares.length !== this.shares.length) return false
    return shares.every((share, i) => share.service === this.shares[i]?.service && share.weight === this.shares[i]?.weight)
  }

  /** The service of the next request. */
  next (): string {
    let best = 0
    for (let i = 0; i < this.shares.length; i++) {
      this.credits[i] = (this.credits[i] as number) + (this.shares[i] as TrafficShare).weight
      if ((this.credits[i] as number) > (this.credits[best] as number)) best = i
    }
    this.credits[best] = (this.credits[best] as number) - this.total
    return (this.shares[best] as TrafficShare).service
  }
}
