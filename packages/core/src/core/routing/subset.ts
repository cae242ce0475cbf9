import murmurhash from 'murmurhash'
import type { Upstream } from '../../types/upstream.js'

/** Largest share of a subset from the VM's own failure domain; the rest is a reserve for when that domain is full. */
const OWN_DOMAIN_SHARE = 0.75

/** An upstream and its rank in one VM's order of preference. */
export interface RankedUpstream {
  readonly upstream: Upstream
  /** As returned by `preferenceOf`; lower comes first. */
  readonly preference: number
}

/**
 * Rank of an upstream in a VM's order of preference (rendezvous hashing). The orders of different VMs are independent, so
 * that VMs cover all upstreams without coordination, and a VM that joins or leaves does not change the subsets of the
 * others.
 */
export function preferenceOf (vmId: string, upstreamId: string): number {
  return murmurhash.v3(`${vmId} ${upstreamId}`)
}

/** Chooses the `limit` upstreams that a VM in `ownDomain` uses, in order of preference and its own failure domain first. */
export function chooseSubset<Item extends RankedUpstream> (all: readonly Item[], limit: number, ownDomain: string | undefined): Item[] {
  if (all.length <= limit) return [...all]
  const ordered = [...all].sort((one, other) => one.preference - other.preference)
  const isSameDomain = ({ upstream }: Item): boolean => upstream.failureDomain === ownDomain
  const sameDomain = ordered.filter(isSameDomain)
  const preferred = sameDomain.slice(0, Math.ceil(limit * OWN_DOMAIN_SHARE))
  const otherDomains = ordered.filter(item => !isSameDomain(item))
  return [...preferred, ...otherDomains, ...sameDomain.slice(preferred.length)].slice(0, limit)
}
