import type { Milliseconds } from '../../types/clock.js'
import type { RequestKind } from '../../types/requestKind.js'
import type { RoutingPolicy } from '../../types/routingPolicy.js'
import type { CallState } from '../dispatch/callState.js'
import { DepartureRate } from './departureRate.js'

// The floors of all kinds together never take more than this share from the order by weight.
const LARGEST_FLOOR_SHARE = 0.5

interface KindQueue {
  readonly kind: RequestKind
  calls: Set<CallState>
  readonly rate: DepartureRate
  /** Service time that the floor owes to this kind. */
  creditMs: Milliseconds
}

/**
 * Calls of one service that wait for an upstream. Kinds are served by weight per expected service time,
 * which yields most weight per unit of capacity; a floor share of the capacity keeps every kind moving.
 */
export class WaitQueue {
  private readonly kinds = new Map<string, KindQueue>()
  private readonly rate = DepartureRate.create()
  private waiting = 0
  private backlogSince: Milliseconds = 0

  private constructor (
    private policy: RoutingPolicy,
    private readonly serviceMsOf: (kind: RequestKind) => Milliseconds
  ) {}

  static create (policy: RoutingPolicy, serviceMsOf: (kind: RequestKind) => Milliseconds): WaitQueue {
    return new WaitQueue(policy, serviceMsOf)
  }

  setPolicy (policy: RoutingPolicy): void {
    this.policy = policy
  }

  get size (): number {
    return this.waiting
  }

  push (state: CallState, now: Milliseconds): void {
    const queue = this.queueOf(state.call.kind)
    if (this.waiting === 0) this.onBacklog(now)
    if (queue.calls.size === 0) queue.rate.onBacklog(now)
    queue.calls.add(state)
    this.waiting += 1
  }

  /** Puts a call back in front of its kind's others. */
  restore (state: CallState, now: Milliseconds): void {
    const queue = this.queueOf(state.call.kind)
    if (this.waiting === 0) this.onBacklog(now)
    if (queue.calls.size === 0) queue.rate.onBacklog(now)
    queue.calls = new Set([state, ...queue.calls])
    this.waiting += 1
  }

  /** How long the queue has not been empty. */
  backlogMs (now: Milliseconds): Milliseconds {
    return this.waiting === 0 ? 0 : now - this.backlogSince
  }

  /** The call that is to start next. */
  next (): CallState | undefined {
    let chosen: KindQueue | undefined
    for (const queue of this.kinds.values()) {
      if (queue.calls.size === 0) continue
      if (chosen === undefined || this.precedes(queue, chosen)) chosen = queue
    }
    return chosen?.calls.values().next().value
  }

  /** Takes out a call that starts now. */
  depart (state: CallState, now: Milliseconds): void {
    if (!this.remove(state)) return
    const own = this.queueOf(state.call.kind)
    this.rate.onDeparture(now)
    own.rate.onDeparture(now)
    const usedMs = this.serviceMsOf(own.kind)
    own.creditMs = Math.max(0, own.creditMs - usedMs)
    const floorMs = this.floorShare() * usedMs
    for (const queue of this.kinds.values()) {
      if (queue === own) continue
      queue.creditMs = queue.calls.size === 0 ? 0 : queue.creditMs + floorMs
    }
  }

  /** Takes out a call that will not start. Returns whether it was waiting. */
  remove (state: CallState): boolean {
    const removed = this.kinds.get(state.call.kind.name)?.calls.delete(state) ?? false
    if (removed) this.waiting -= 1
    return removed
  }

  /** Expected wait of a new call of `kind`; `startsEveryMs` is used while no departures were seen. */
  expectedWaitMs (kind: RequestKind, now: Milliseconds, startsEveryMs: Milliseconds): Milliseconds {
    const own = this.queueOf(kind)
    const ownEveryMs = own.calls.size === 0 ? undefined : own.rate.everyMs(now)
    if (ownEveryMs !== undefined) return (own.calls.size + 1) * ownEveryMs
    const everyMs = this.waiting === 0 ? startsEveryMs : this.rate.everyMs(now) ?? startsEveryMs
    return (this.aheadOf(own) + 1) * everyMs
  }

  /** The call to give up when the queue is full and `kind` wants a place: the newest of the least valuable kind above its floor. */
  victimFor (kind: RequestKind): CallState | undefined {
    const arriving = this.queueOf(kind)
    const protectedCalls = this.floorShare() * this.policy.queueLimitCalls
    let victim: KindQueue | undefined
    for (const queue of this.kinds.values()) {
      if (queue.calls.size <= protectedCalls || this.value(queue) >= this.value(arriving)) continue
      if (victim === undefined || this.value(queue) < this.value(victim)) victim = queue
    }
    return victim === undefined ? undefined : [...victim.calls].at(-1)
  }

  isFull (): boolean {
    return this.waiting >= this.policy.queueLimitCalls
  }

  private onBacklog (now: Milliseconds): void {
    this.backlogSince = now
    this.rate.onBacklog(now)
  }

  private precedes (one: KindQueue, other: KindQueue): boolean {
    const oneIsDue = this.isDue(one)
    if (oneIsDue !== this.isDue(other)) return oneIsDue
    if (oneIsDue) return one.creditMs > other.creditMs
    return this.value(one) > this.value(other)
  }

  private isDue (queue: KindQueue): boolean {
    return queue.creditMs >= this.serviceMsOf(queue.kind)
  }

  private value (queue: KindQueue): number {
    return queue.kind.weight / this.serviceMsOf(queue.kind)
  }

  private aheadOf (own: KindQueue): number {
    let ahead = 0
    for (const queue of this.kinds.values()) {
      if (queue === own || this.value(queue) >= this.value(own)) ahead += queue.calls.size
    }
    return ahead
  }

  private floorShare (): number {
    return Math.min(this.policy.queueFloorShare, LARGEST_FLOOR_SHARE / Math.max(1, this.kinds.size))
  }

  private queueOf (kind: RequestKind): KindQueue {
    const known = this.kinds.get(kind.name)
    if (known !== undefined && known.kind === kind) return known
    const created: KindQueue = { kind, calls: known?.calls ?? new Set(), rate: known?.rate ?? DepartureRate.create(), creditMs: known?.creditMs ?? 0 }
    this.kinds.set(kind.name, created)
    return created
  }
}
