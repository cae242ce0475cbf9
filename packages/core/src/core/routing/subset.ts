import murmurhash from 'murmurhash'
import type { Upstream } from '../../types/upstream.js'

/** Share of a subset that may come from the VM's own failure domain; the rest is there for when that domain has no room. */
const OWN_DOMAIN_SHARE = 0.75

/** An upstream with its place in the order in which one VM prefers upstreams. */
export interface RankedUpstream {
  readonly upstream: Upstream
  /** As returned by `preferenceOf`; lower comes first. */
  readonly preference: number
}

/**
 * Place of an upstream in the order in which a VM prefers upstreams. The orders of different VMs are independent, so
 * that VMs that know nothing of each other cover all upstreams, and one that joins or leaves changes nothing for the
 * others (rendezvous hashing).
 */
export function preferenceOf (vmId: string, upstreamId: string): number {
  return murmurhash.v3(`${vmId} ${upstreamId}`)
}

/** The `limit` upstreams that a VM in `ownDomain` uses: preferred ones, those of its own failure domain first. */
export function chooseSubset<Item extends RankedUpstream> (all: readonly Item[], limit: number, ownDomain: string | undefined): Item[] {
  if (all.length <= limit) return [...all]
  const ordered = [...all].sort((one, other) => one.preference - other.preference)
  const isOwn = ({ upstream }: Item): boolean => upstream.failureDomain === ownDomain
  const own = ordered.filter(isOwn)
  const nearest = own.slice(0, Math.ceil(limit * OWN_DOMAIN_SHARE))
  const others = ordered.filter(item => !isOwn(item))
  return [...nearest, ...others, ...own.slice(nearest.length)].slice(0, limit)
}
