import type { Milliseconds } from '../../types/clock.js'
import type { RoutingPolicy } from '../../types/routingPolicy.js'
import type { SuspectMark } from '../../types/suspectMark.js'

interface Suspect {
  readonly upstreamIds: Set<string>
  expiresAt: Milliseconds
}

// Bounds memory when an upstream crashes repeatedly with many requests in flight.
const MAX_SUSPECTS = 10_000

/** How a request may be sent: freely, on trial as the only attempt, or not at all. */
export type SuspectVerdict = 'clear' | 'tryOnce' | 'refuse'

/**
 * Requests suspected of crashing upstreams. Every request in flight on an upstream that crashes is marked. A marked
 * request may be tried again until it has crashed `suspectCrashes` upstreams; a complete response removes the mark.
 */
export class SuspectTable {
  private readonly suspects = new Map<string, Suspect>()

  private constructor (private policy: RoutingPolicy) {}

  static create (policy: RoutingPolicy): SuspectTable {
    return new SuspectTable(policy)
  }

  setPolicy (policy: RoutingPolicy): void {
    this.policy = policy
  }

  verdict (fingerprint: string, now: Milliseconds): SuspectVerdict {
    const suspect = this.find(fingerprint, now)
    if (suspect === undefined) return 'clear'
    return suspect.upstreamIds.size >= this.policy.suspectCrashes ? 'refuse' : 'tryOnce'
  }

  /** Marks a request and returns the mark to be shared with the other VMs. */
  onCrash (fingerprint: string, upstreamId: string, now: Milliseconds): SuspectMark {
    const mark = { fingerprint, upstreamIds: [upstreamId], expiresAt: now + this.policy.suspectMs }
    this.add(mark, now)
    return mark
  }

  /** Removes the mark of a request that got a complete response, which proves it harmless. */
  onResponse (fingerprint: string): void {
    if (this.suspects.size > 0) this.suspects.delete(fingerprint)
  }

  /** Adds marks made by other VMs; they keep their expiry, up to `suspectMs` from now. */
  importMarks (marks: readonly SuspectMark[], now: Milliseconds): void {
    for (const mark of marks) this.add({ ...mark, expiresAt: Math.min(mark.expiresAt, now + this.policy.suspectMs) }, now)
  }

  private add (mark: SuspectMark, now: Milliseconds): void {
    if (mark.expiresAt <= now) return
    const suspect = this.find(mark.fingerprint, now) ?? { upstreamIds: new Set<string>(), expiresAt: 0 }
    for (const id of mark.upstreamIds) suspect.upstreamIds.add(id)
    suspect.expiresAt = Math.max(suspect.expiresAt, mark.expiresAt)
    this.suspects.set(mark.fingerprint, suspect)
    if (this.suspects.size > MAX_SUSPECTS) this.evictSuspects(now)
  }

  private find (fingerprint: string, now: Milliseconds): Suspect | undefined {
    const suspect = this.suspects.get(fingerprint)
    if (suspect === undefined || suspect.expiresAt > now) return suspect
    this.suspects.delete(fingerprint)
    return undefined
  }

  private evictSuspects (now: Milliseconds): void {
    this.removeExpired(now)
    for (const [fingerprint, suspect] of this.suspects) {
      if (this.suspects.size <= MAX_SUSPECTS) return
      if (suspect.upstreamIds.size < this.policy.suspectCrashes) this.suspects.delete(fingerprint)
    }
  }

  private removeExpired (now: Milliseconds): void {
    for (const [fingerprint, suspect] of this.suspects) {
      if (suspect.expiresAt <= now) this.suspects.delete(fingerprint)
    }
  }
}
