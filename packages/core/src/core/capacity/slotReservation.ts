import type { Milliseconds } from '../../types/clock.js'
import type { RequestKind } from '../../types/requestKind.js'
import type { UpstreamState } from '../health/upstreamState.js'
import { preferenceOf } from '../routing/subset.js'
import { classNameOf, FLOOR_SHARE } from './servedShares.js'

/** Time constant of the arriving work: a burst of bulk lasts about 5 s and must be noticed early in it. */
const WINDOW_MS = 2_000
/** Calls of the last window below which urgent calls count as absent. */
const MIN_URGENT_CALLS = 0.5
/** Slots reserved, as a multiple of those that the urgent work takes on average: arrivals vary. */
const HEADROOM = 1.1
/** Wait, as a share of the kind's service time, that counts as a lack of capacity. */
const SHORTAGE_WAIT_SHARE = 0.25
/** How long the reservation stays after the last lack of capacity, which it relieves itself. */
const HOLD_MS = 2_000
/** Name under which upstreams are ordered; the same on all VMs, so that they reserve the same upstreams. */
const ORDER_NAME = 'reserved for urgent kinds'

interface ArrivingWork {
  kind: RequestKind
  calls: number
  workMs: Milliseconds
  /** Work of the calls that were started. */
  startedMs: Milliseconds
  updatedAt: Milliseconds
}

/**
 * Reserves a part of a service's upstreams for its urgent kinds while these arrive and calls have to wait. Answers the load
 * in which a traffic split sends long bulk work to a service with urgent kinds: bulk that has started cannot be put
 * behind an urgent call that comes later. The part follows from the arriving work that is more urgent than the bulk and
 * no longer than it, relative to the work that can be started; the bulk keeps its floor. Upstreams are reserved in an order
 * that is the same on all VMs, so that no messages are needed and the limit holds for all VMs together, also where there
 * are more VMs than slots.
 */
export class SlotReservation {
  private readonly arriving = new Map<string, ArrivingWork>()
  private readonly orders = new Map<string, number>()
  private neededUntil: Milliseconds = -Infinity

  private constructor (private readonly serviceMsOf: (kind: RequestKind) => Milliseconds) {}

  static create (serviceMsOf: (kind: RequestKind) => Milliseconds): SlotReservation {
    return new SlotReservation(serviceMsOf)
  }

  onCall (kind: RequestKind, now: Milliseconds): void {
    if (kind.priority === undefined) return
    const work = this.workOf(kind)
    decay(work, now)
    work.kind = kind
    work.calls += 1
    work.workMs += this.serviceMsOf(kind)
  }

  /** The first attempt of a call starts after a wait. The wait of restricted kinds is not a lack of capacity in itself. */
  onStart (kind: RequestKind, waitedMs: Milliseconds, now: Milliseconds): void {
    if (kind.priority === undefined) return
    const work = this.workOf(kind)
    const serviceMs = this.serviceMsOf(kind)
    decay(work, now)
    work.startedMs += serviceMs
    if (waitedMs > serviceMs * SHORTAGE_WAIT_SHARE && this.reservedShare(kind, now) === 0) this.neededUntil = now + HOLD_MS
  }

  /** A call is refused because it would start too late. */
  onRefusal (now: Milliseconds): void {
    this.neededUntil = now + HOLD_MS
  }

  /** Share of the upstreams that calls of a kind leave to more urgent ones at present, from 0 to 1. */
  reservedShare (kind: RequestKind, now: Milliseconds): number {
    if (kind.priority === undefined || now >= this.neededUntil) return 0
    let urgentMs = 0
    let urgentCalls = 0
    let totalMs = 0
    let startedMs = 0
    for (const work of this.arriving.values()) {
      decay(work, now)
      totalMs += work.workMs
      startedMs += work.startedMs
      if (!this.isServedBefore(work.kind, kind)) continue
      urgentMs += work.workMs
      urgentCalls += work.calls
    }
    if (urgentCalls < MIN_URGENT_CALLS) return 0
    // Only the work that is started fits the slots, so that is what the urgent work is a share of.
    const neededShare = urgentMs / Math.max(startedMs, urgentMs) * HEADROOM
    return Math.min(neededShare, 1 - FLOOR_SHARE * (1 - urgentMs / totalMs))
  }

  /** Largest share that any kind leaves to more urgent ones at present; for logs and metrics. */
  largestShare (now: Milliseconds): number {
    let largest = 0
    for (const { kind } of this.arriving.values()) largest = Math.max(largest, this.reservedShare(kind, now))
    return largest
  }

  /** Those of `candidates` that a call of `kind` may use; `working` lists all upstreams that work at present. */
  openTo (kind: RequestKind, candidates: UpstreamState[], working: () => readonly UpstreamState[], now: Milliseconds): UpstreamState[] {
    const reservedShare = this.reservedShare(kind, now)
    if (reservedShare === 0) return candidates
    const usable = working()
    const reservedCount = Math.floor(reservedShare * usable.length)
    const ids = usable.map(({ upstream }) => upstream.id).sort((one, other) => this.orderOf(one) - this.orderOf(other))
    const reserved = new Set(ids.slice(0, reservedCount))
    return candidates.filter(({ upstream }) => !reserved.has(upstream.id))
  }

  private isServedBefore (urgent: RequestKind, kind: RequestKind): boolean {
    return (urgent.priority ?? 0) < (kind.priority ?? 0) && this.serviceMsOf(urgent) <= this.serviceMsOf(kind)
  }

  private workOf (kind: RequestKind): ArrivingWork {
    const name = classNameOf(kind)
    const known = this.arriving.get(name)
    if (known !== undefined) return known
    const created: ArrivingWork = { kind, calls: 0, workMs: 0, startedMs: 0, updatedAt: 0 }
    this.arriving.set(name, created)
    return created
  }

  private orderOf (upstreamId: string): number {
    const known = this.orders.get(upstreamId)
    if (known !== undefined) return known
    const order = preferenceOf(ORDER_NAME, upstreamId)
    this.orders.set(upstreamId, order)
    return order
  }
}

function decay (work: ArrivingWork, now: Milliseconds): void {
  const remaining = Math.exp(-Math.max(0, now - work.updatedAt) / WINDOW_MS)
  work.calls *= remaining
  work.workMs *= remaining
  work.startedMs *= remaining
  work.updatedAt = now
}
