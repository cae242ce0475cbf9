import type { Milliseconds } from '../../types/clock.js'
import type { LeaseAnswer, LeaseRequest, Quota, QuotaSlack } from '../../types/quota.js'
import type { HeldPart } from './quotaHolders.js'

const MS_PER_SECOND = 1000

/** Part of the tolerated requests by which the holders together may save up more than the burst. */
const SAVED_SLACK_SHARE = 0.3

/** Requests that can be saved up at least, as those of the rate in this time: VMs take a few tens of milliseconds to ask. */
const MIN_SAVED_SECONDS = 0.1

/** Time after its last request for which a VM counts as one that asks. */
const ASKER_MS: Milliseconds = 500

/** Longest time for which a VM is told not to ask again: its demand and the other VMs' may end. */
const MAX_PAUSE_MS: Milliseconds = 300

/** Largest number of VMs that are counted for one customer. */
const MAX_ASKERS = 1000

/**
 * Token bucket for one holder's part of a customer's quota. It has no tokens at the start of its term as holder, so that a
 * restart or a change of holders does not grant the burst twice.
 */
export class HolderBucket {
  private tokens = 0
  private refilledAt: Milliseconds
  private quota: Quota | undefined
  private part: HeldPart | undefined
  private readonly askers = new Map<string, Milliseconds>()

  private constructor (heldSince: Milliseconds, private readonly slack: QuotaSlack | undefined) {
    this.refilledAt = heldSince
  }

  static create (heldSince: Milliseconds, slack: QuotaSlack | undefined): HolderBucket {
    return new HolderBucket(heldSince, slack)
  }

  /** When tokens were last asked for. */
  get usedAt (): Milliseconds {
    return this.refilledAt
  }

  /** Tokens at the last request. */
  get balance (): number {
    return this.tokens
  }

  /** Grants tokens of this VM's `part` of a `quota`. */
  grant ({ vmId, tokens: wanted }: LeaseRequest, quota: Quota, part: HeldPart, now: Milliseconds): LeaseAnswer {
    this.refill(quota, part, now)
    const tokens = Math.min(wanted, Math.floor(this.tokens))
    this.tokens -= tokens
    if (tokens === wanted) return { kind: 'granted', tokens, nextTokenMs: 0 }
    return { kind: 'granted', tokens, nextTokenMs: this.pauseFor(vmId, quota.requestsPerSecond * part.share, now) }
  }

  /** A VM waits until the other VMs that ask have had a turn, so that messages follow the rate and not the number of VMs. */
  private pauseFor (vmId: string, requestsPerSecond: number, now: Milliseconds): Milliseconds {
    for (const [asker, at] of this.askers) if (now - at > ASKER_MS) this.askers.delete(asker)
    if (this.askers.size < MAX_ASKERS) this.askers.set(vmId, now)
    const untilNext = (1 - this.tokens) / requestsPerSecond * MS_PER_SECOND
    const turn = this.askers.size / requestsPerSecond * MS_PER_SECOND
    return Math.max(untilNext, Math.min(turn, MAX_PAUSE_MS))
  }

  private refill (quota: Quota, part: HeldPart, now: Milliseconds): void {
    const earned = Math.max(0, now - this.refilledAt) / MS_PER_SECOND
    // What was earned before a change of the limit counts by the lower of both rates.
    const rateBefore = this.quota === undefined || this.part === undefined ? Infinity : this.quota.requestsPerSecond * this.part.share
    const rate = quota.requestsPerSecond * part.share
    this.tokens = Math.min(this.capacityOf(quota, part), this.tokens + earned * Math.min(rate, rateBefore))
    this.refilledAt = Math.max(this.refilledAt, now)
    this.quota = quota
    this.part = part
  }

  private capacityOf ({ requestsPerSecond, burstRequests }: Quota, { share }: HeldPart): number {
    const saved = Math.max(burstRequests, requestsPerSecond * MIN_SAVED_SECONDS)
    return Math.max(1, (saved + SAVED_SLACK_SHARE * (this.slack?.requests ?? 0)) * share)
  }
}
