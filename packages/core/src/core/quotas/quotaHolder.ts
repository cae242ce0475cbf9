import type { Clock, Milliseconds } from '../../types/clock.js'
import type { LeaseAnswer, LeaseRequest, Quota, QuotaSlack } from '../../types/quota.js'
import { HolderBucket } from './holderBucket.js'
import type { QuotaHolders } from './quotaHolders.js'

/** Buckets without a request for this time are full, or nearly, and are made again on demand. */
const IDLE_MS: Milliseconds = 60_000

/** Number of buckets from which idle ones are looked for. */
const MIN_BUCKETS_TO_EVICT = 64

const NOT_HOLDER: LeaseAnswer = { kind: 'notHolder' }

/** Options of a holder. */
export interface QuotaHolderOptions {
  readonly holders: QuotaHolders
  /** Must not advance while the VM is suspended, so that buckets earn no tokens in that time. */
  readonly clock: Clock
  readonly slack: QuotaSlack | undefined
  /** The quota of a customer by the configuration in force; undefined if it has none. */
  readonly quotaOf: (customer: string) => Quota | undefined
}

/** Grants tokens of those customers of whose quotas this VM holds a part. */
export class QuotaHolder {
  private readonly buckets = new Map<string, HolderBucket>()
  private evictedAt: Milliseconds = 0

  private constructor (private readonly options: QuotaHolderOptions) {}

  static create (options: QuotaHolderOptions): QuotaHolder {
    return new QuotaHolder(options)
  }

  /** Answers a request for tokens. */
  grant (request: LeaseRequest): LeaseAnswer {
    const { holders, clock, slack, quotaOf } = this.options
    const quota = quotaOf(request.customer)
    const part = quota === undefined ? undefined : holders.ownPart(quota)
    if (quota === undefined || part === undefined) {
      this.buckets.delete(request.customer)
      return NOT_HOLDER
    }
    const now = clock.now()
    this.evictIdle(now)
    const bucket = this.buckets.get(request.customer) ?? HolderBucket.create(part.heldSince, slack)
    this.buckets.set(request.customer, bucket)
    return bucket.grant(request, quota, part, now)
  }

  /** Drops the buckets of customers of which this VM is no holder any more. Must be called when the members change. */
  dropLost (): void {
    const { holders, quotaOf } = this.options
    for (const customer of this.buckets.keys()) {
      const quota = quotaOf(customer)
      if (quota === undefined || holders.ownPart(quota) === undefined) this.buckets.delete(customer)
    }
  }

  /** Tokens by customer, at most `limit` of them. */
  balances (limit: number): Record<string, number> {
    const entries = [...this.buckets].slice(0, limit).map(([customer, bucket]) => [customer, Math.round(bucket.balance * 10) / 10])
    return Object.fromEntries(entries) as Record<string, number>
  }

  private evictIdle (now: Milliseconds): void {
    if (this.buckets.size < MIN_BUCKETS_TO_EVICT || now < this.evictedAt + IDLE_MS) return
    this.evictedAt = now
    for (const [customer, bucket] of this.buckets) {
      if (now - bucket.usedAt > IDLE_MS) this.buckets.delete(customer)
    }
  }
}
