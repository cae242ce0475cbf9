import type { Milliseconds } from '../../types/clock.js'

/** Effect of an order, or of its absence, on the evacuation of a failure domain. */
export type EvacuationChange = 'started' | 'confirmed' | 'held' | 'ended' | 'unchanged'

/** A failure domain and what has changed about its evacuation. */
export interface DomainChange {
  readonly failureDomain: string
  readonly change: EvacuationChange
}

/**
 * Time after a restore of the store in which operators write orders again that the copy lacks; an evacuation that ends too
 * late costs capacity, one that ends too early sends work to upstreams that are about to be stopped.
 */
const REWRITE_MS: Milliseconds = 15_000

/**
 * The failure domains that operators have evacuated. An order ends with its removal, or with a snapshot of the store that
 * lacks it; in the time after a restore of the store from a copy it is held, because the copy may be older than the order.
 */
export class Evacuations {
  /** The evacuated domains, and whether the store lacks their orders since a restore. */
  private readonly isHeldByDomain = new Map<string, boolean>()
  private holdUntil: Milliseconds = -Infinity

  private constructor () {}

  static create (): Evacuations {
    return new Evacuations()
  }

  /** The evacuated failure domains. */
  domains (): ReadonlySet<string> {
    return new Set(this.isHeldByDomain.keys())
  }

  /** The domains whose orders the store lacks since a restore. */
  heldDomains (): string[] {
    return [...this.isHeldByDomain].filter(([, isHeld]) => isHeld).map(([failureDomain]) => failureDomain)
  }

  /** Handles a written or removed order. */
  onOrder (failureDomain: string, isActive: boolean): EvacuationChange {
    const isHeld = this.isHeldByDomain.get(failureDomain)
    if (!isActive) return this.isHeldByDomain.delete(failureDomain) ? 'ended' : 'unchanged'
    this.isHeldByDomain.set(failureDomain, false)
    if (isHeld === undefined) return 'started'
    return isHeld ? 'confirmed' : 'unchanged'
  }

  /** Starts the time in which orders are held. Called before the first snapshot after a restore. */
  onStoreRestored (now: Milliseconds): void {
    this.holdUntil = now + REWRITE_MS
  }

  /** Takes over orders that another VM holds until `until`. */
  hold (failureDomains: readonly string[], until: Milliseconds): DomainChange[] {
    this.holdUntil = Math.max(this.holdUntil, until)
    const unknown = failureDomains.filter(failureDomain => !this.isHeldByDomain.has(failureDomain))
    for (const failureDomain of unknown) this.isHeldByDomain.set(failureDomain, true)
    return unknown.map(failureDomain => ({ failureDomain, change: 'started' }))
  }

  /** Handles a complete snapshot of the store, in which these domains have orders. */
  replaceAll (ordered: ReadonlySet<string>, now: Milliseconds): DomainChange[] {
    const missing = [...this.isHeldByDomain.keys()].filter(failureDomain => !ordered.has(failureDomain))
    const changes = [...ordered].map(failureDomain => ({ failureDomain, change: this.onOrder(failureDomain, true) }))
    return [...changes, ...missing.map(failureDomain => ({ failureDomain, change: this.onMissing(failureDomain, now) }))]
  }

  /** When held orders end; undefined if there are none. */
  nextExpiryAt (): Milliseconds | undefined {
    return this.heldDomains().length > 0 ? this.holdUntil : undefined
  }

  /** Ends the evacuations whose orders were not written again in time. */
  expire (now: Milliseconds): DomainChange[] {
    if (now < this.holdUntil) return []
    return this.heldDomains().map(failureDomain => ({ failureDomain, change: this.onOrder(failureDomain, false) }))
  }

  private onMissing (failureDomain: string, now: Milliseconds): EvacuationChange {
    if (now >= this.holdUntil) return this.onOrder(failureDomain, false)
    this.isHeldByDomain.set(failureDomain, true)
    return 'held'
  }
}
