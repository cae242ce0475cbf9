import type { Milliseconds } from '../../types/clock.js'
import type { CollectAnswer, CollectRequest, WitnessAnswer, WitnessRequest, WitnessedClaim } from '../../types/keyedCall.js'
import type { PartitionEpoch } from '../../types/keyedRecords.js'
import type { KeyedTiming } from '../../types/keyedTiming.js'
import type { Member } from '../../types/member.js'

/**
 * Claims that this VM remembers for owners while the log cannot record them. A VM that gave its claims to a new
 * owner refuses the earlier one from then on.
 */
export class WitnessTable {
  private readonly fences = new Map<number, number>()
  /** Oldest first. */
  private readonly claims = new Map<string, WitnessedClaim>()

  private constructor (
    private readonly self: Member,
    private readonly timing: KeyedTiming,
    private maxClaims: number,
    /** The highest epoch known from the log. */
    private readonly epochOf: (partition: number) => number
  ) {}

  static create (self: Member, timing: KeyedTiming, maxClaims: number, epochOf: (partition: number) => number): WitnessTable {
    return new WitnessTable(self, timing, maxClaims, epochOf)
  }

  get size (): number {
    return this.claims.size
  }

  setMaxClaims (maxClaims: number): void {
    this.maxClaims = maxClaims
  }

  /** Records the claims of partitions that have no newer owner; undefined where it cannot take any. */
  grant (request: WitnessRequest): WitnessAnswer | undefined {
    if (request.to !== this.self) return undefined
    if (this.claims.size + request.claims.length > this.maxClaims) return undefined
    const fenced = this.findFenced(request.partitions)
    const refused = new Set(fenced.map(({ partition }) => partition))
    const granted = request.partitions.map(({ partition }) => partition).filter(partition => !refused.has(partition))
    for (const { key, partition, fingerprint } of request.claims) {
      if (!granted.includes(partition)) continue
      this.claims.delete(key)
      this.claims.set(key, { key, partition, fingerprint, at: request.at })
    }
    return { from: this.self, granted, fenced }
  }

  /** Gives all claims of the partitions to their new owner and fences earlier ones. */
  collect (request: CollectRequest): CollectAnswer | undefined {
    if (request.to !== this.self) return undefined
    const fenced = this.findFenced(request.partitions)
    const refused = new Set(fenced.map(({ partition }) => partition))
    const open = new Set<number>()
    for (const { partition, epoch } of request.partitions) {
      if (refused.has(partition)) continue
      this.fences.set(partition, epoch)
      open.add(partition)
    }
    return { from: this.self, claims: [...this.claims.values()].filter(claim => open.has(claim.partition)), fenced }
  }

  /** Drops claims past the retention of keys. */
  sweep (now: Milliseconds): void {
    for (const [key, claim] of this.claims) {
      if (claim.at + this.timing.maxDeadlineMs + this.timing.keyRetentionMs > now) return
      this.claims.delete(key)
    }
  }

  private findFenced (partitions: readonly PartitionEpoch[]): PartitionEpoch[] {
    return partitions
      .map(({ partition, epoch }) => ({ partition, epoch, known: Math.max(this.fences.get(partition) ?? 0, this.epochOf(partition)) }))
      .filter(({ epoch, known }) => known > epoch)
      .map(({ partition, known }) => ({ partition, epoch: known }))
  }
}
