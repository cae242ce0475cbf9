import type { FleetMember } from '../../types/fleetMember.js'
import type { Upstream } from '../../types/upstream.js'
import type { FleetMembers } from '../membership/fleetMembers.js'
import { preferenceOf } from '../routing/subset.js'
import { equalShare } from './fleetShare.js'

/** Holders of a low rate: more than one, so that the loss of a VM leaves part of the rate in use. */
const MIN_HOLDERS = 2

/** Part of a rate that the VMs without a share use together, to learn of its end. */
const TRIAL_SHARE = 0.2

/** Number of VMs that a VM assumes before it knows the fleet. */
const UNKNOWN_FLEET_VMS = 12

/** Lowest rate that is divided: an upstream that is never called cannot withdraw its limit. */
const MIN_REQUESTS_PER_SECOND = 0.1

/** Part of an upstream's request rate that one VM may use. */
export interface RateShare {
  readonly requestsPerSecond: number
  /**
   * Whether this VM sends only occasional requests, to learn whether the limit still applies. There are many such VMs, so
   * their requests are spread at random.
   */
  readonly isTrial: boolean
}

/** Divides the rate of requests that an upstream takes from all VMs together. */
export interface RateDivision {
  /** Changes whenever shares may have changed. */
  readonly version: number
  shareOf (upstream: Upstream, requestsPerSecond: number): RateShare
}

/** Division for a VM without a fleet, which may use the whole rate. */
export const UNDIVIDED_RATES: RateDivision = {
  version: 0,
  shareOf: (_upstream, requestsPerSecond) => ({ requestsPerSecond: Math.max(requestsPerSecond, MIN_REQUESTS_PER_SECOND), isTrial: false })
}

/**
 * Divides a rate among a few VMs of the fleet, its holders. Equal parts of all VMs would be below one request in many
 * seconds where the fleet is large or the rate low, and a burst of them would exceed the rate, since each VM can send its
 * first request at any time. The holders follow from hashed ids, those in the upstream's failure domain first: VMs that
 * know the same members agree without communication, and a VM that joins or leaves replaces one holder at most.
 */
export class FleetRateDivision implements RateDivision {
  private constructor (private readonly members: FleetMembers, private readonly ownId: string) {}

  static create (members: FleetMembers, ownId: string): FleetRateDivision {
    return new FleetRateDivision(members, ownId)
  }

  get version (): number {
    return this.members.version
  }

  shareOf (upstream: Upstream, requestsPerSecond: number): RateShare {
    const rate = Math.max(requestsPerSecond, MIN_REQUESTS_PER_SECOND)
    const members = this.members.list()
    if (this.members.get(this.ownId) === undefined) return trialShare(rate, Math.max(members.length, UNKNOWN_FLEET_VMS))
    const holders = Math.min(members.length, Math.max(MIN_HOLDERS, Math.ceil(rate)))
    const rank = this.rankFor(upstream, members)
    if (holders === members.length) return { requestsPerSecond: equalShare(rate, holders), isTrial: false }
    if (rank >= holders) return trialShare(rate, members.length - holders)
    return { requestsPerSecond: equalShare(rate * (1 - TRIAL_SHARE), holders), isTrial: false }
  }

  /** Number of members that precede this VM as holders. */
  private rankFor ({ id, failureDomain }: Upstream, members: readonly FleetMember[]): number {
    const own = members.find(({ vmId }) => vmId === this.ownId) as FleetMember
    const isNear = (member: FleetMember): boolean => member.failureDomain === failureDomain
    const ownPreference = preferenceOf(this.ownId, id)
    return members.filter(member => {
      if (member === own) return false
      if (isNear(member) !== isNear(own)) return isNear(member)
      return preferenceOf(member.vmId, id) < ownPreference
    }).length
  }
}

function trialShare (rate: number, vms: number): RateShare {
  return { requestsPerSecond: equalShare(rate * TRIAL_SHARE, vms), isTrial: true }
}
