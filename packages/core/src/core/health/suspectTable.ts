import type { Milliseconds } from '../../types/clock.js'
import type { RoutingPolicy } from '../../types/routingPolicy.js'
import type { SuspectMark } from '../../types/suspectMark.js'

interface Suspect {
  readonly upstreamIds: Set<string>
  expiresAt: Milliseconds
}

// Bounds memory when an upstream with many requests in flight crashes again and again.
const LARGEST_TABLE = 10_000

/** What a suspect request may do. */
export type SuspectVerdict = 'clear' | 'tryOnce' | 'refuse'

/**
 * Requests whose attempts crashed upstreams. The first crash marks a request; it may then be tried on one more
 * upstream. Every request in flight on a crashed upstream is marked, so a complete response removes the mark.
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

  /** Marks a request and returns the mark for the other VMs. */
  onCrash (fingerprint: string, upstreamId: string, now: Milliseconds): SuspectMark {
    const mark = { fingerprint, upstreamIds: [upstreamId], expiresAt: now + this.policy.suspectMs }
    this.add(mark, now)
    return mark
  }

  /** A complete response proves that the request is harmless. */
  onAnswer (fingerprint: string): void {
    if (this.suspects.size > 0) this.suspects.delete(fingerprint)
  }

  /** Takes other VMs' marks, with the expiry of their origin. */
  importMarks (marks: readonly SuspectMark[], now: Milliseconds): void {
    for (const mark of marks) this.add({ ...mark, expiresAt: Math.min(mark.expiresAt, now + this.policy.suspectMs) }, now)
  }

  private add (mark: SuspectMark, now: Milliseconds): void {
    if (mark.expiresAt <= now) return
    const suspect = this.find(mark.fingerprint, now) ?? { upstreamIds: new Set<string>(), expiresAt: 0 }
    for (const id of mark.upstreamIds) suspect.upstreamIds.add(id)
    suspect.expiresAt = Math.max(suspect.expiresAt, mark.expiresAt)
    this.suspects.set(mark.fingerprint, suspect)
    if (this.suspects.size > LARGEST_TABLE) this.shrink(now)
  }

  private find (fingerprint: string, now: Milliseconds): Suspect | undefined {
    const suspect = this.suspects.get(fingerprint)
    if (suspect === undefined || suspect.expiresAt > now) return suspect
    this.suspects.delete(fingerprint)
    return undefined
  }

  private shrink (now: Milliseconds): void {
    this.removeExpired(now)
    for (const [fingerprint, suspect] of this.suspects) {
      if (this.suspects.size <= LARGEST_TABLE) return
      if (suspect.upstreamIds.size < this.policy.suspectCrashes) this.suspects.delete(fingerprint)
    }
  }

  private removeExpired (now: Milliseconds): void {
    for (const [fingerprint, suspect] of this.suspects) {
      if (suspect.expiresAt <= now) this.suspects.delete(fingerprint)
    }
  }
}
