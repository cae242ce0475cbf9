import type { Milliseconds } from '../../types/clock.js'
import type { Quota, QuotaSlack } from '../../types/quota.js'

/** Part of the tolerance that all VMs together may use without a holder's tokens. */
const ALLOWANCE_SHARE = 0.3

const MS_PER_SECOND = 1000

/**
 * Requests that a VM without contact to any holder may run: a few in each window, out of the tolerance. Where there are fewer
 * of them than VMs, the VMs that come first for the customer have one each, since parts of requests cannot be counted.
 */
export class OwnAllowance {
  /** When the requests of the last window were admitted. */
  private readonly usedAt: Milliseconds[] = []

  private constructor (private readonly slack: QuotaSlack | undefined) {}

  static create (slack: QuotaSlack | undefined): OwnAllowance {
    return new OwnAllowance(slack)
  }

  /** Takes one request of the allowance, if there is one left. `rank` is that of this VM among `vms`; undefined if unknown. */
  take (quota: Quota, rank: number | undefined, vms: number, now: Milliseconds): boolean {
    if (this.slack === undefined) return false
    while (this.usedAt.length > 0 && now - (this.usedAt[0] as Milliseconds) >= this.slack.windowMs) this.usedAt.shift()
    if (this.usedAt.length >= ownRequests(quota, this.slack, rank, vms)) return false
    this.usedAt.push(now)
    return true
  }
}

function ownRequests ({ requestsPerSecond, burstRequests }: Quota, { windowMs, share, requests }: QuotaSlack, rank: number | undefined, vms: number): number {
  const inWindow = requestsPerSecond * windowMs / MS_PER_SECOND + burstRequests
  const total = Math.floor(ALLOWANCE_SHARE * (share * inWindow + requests))
  const each = Math.floor(total / vms)
  return rank !== undefined && rank < total - each * vms ? each + 1 : each
}
