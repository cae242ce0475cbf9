import type { Milliseconds } from '../../types/clock.js'
import type { RequestKind } from '../../types/requestKind.js'
import type { RoutingPolicy } from '../../types/routingPolicy.js'
import type { CallState } from '../dispatch/callState.js'
import { DepartureRate } from './departureRate.js'

// Largest share of the capacity that the floors of all kinds guarantee together; the rest is served by weight.
const MAX_FLOOR_SHARE = 0.5

interface KindQueue {
  readonly kind: RequestKind
  calls: Set<CallState>
  readonly departures: DepartureRate
  /** Service time that this kind is owed by its floor share. */
  creditMs: Milliseconds
}

/**
 * Queue of the calls of one service that wait for an upstream. Kinds are served by weight per expected service time,
 * which serves the most weight per unit of capacity; a floor share of the capacity prevents starvation.
 */
export class WaitQueue {
  private readonly queues = new Map<string, KindQueue>()
  private readonly departures = DepartureRate.create()
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
    if (this.waiting === 0) this.onBacklogStart(now)
    if (queue.calls.size === 0) queue.departures.onBacklogStart(now)
    queue.calls.add(state)
    this.waiting += 1
  }

  /** Puts a call at the front of its kind's queue. */
  pushFront (state: CallState, now: Milliseconds): void {
    const queue = this.queueOf(state.call.kind)
    if (this.waiting === 0) this.onBacklogStart(now)
    if (queue.calls.size === 0) queue.departures.onBacklogStart(now)
    queue.calls = new Set([state, ...queue.calls])
    this.waiting += 1
  }

  /** How long the queue has been non-empty without a break. */
  backlogMs (now: Milliseconds): Milliseconds {
    return this.waiting === 0 ? 0 : now - this.backlogSince
  }

  /** The call to start next. */
  next (): CallState | undefined {
    let best: KindQueue | undefined
    for (const queue of this.queues.values()) {
      if (queue.calls.size === 0) continue
      if (best === undefined || this.precedes(queue, best)) best = queue
    }
    return best?.calls.values().next().value
  }

  /** Removes a call that starts now. */
  depart (state: CallState, now: Milliseconds): void {
    if (!this.remove(state)) return
    const kindQueue = this.queueOf(state.call.kind)
    this.departures.onDeparture(now)
    kindQueue.departures.onDeparture(now)
    const usedMs = this.serviceMsOf(kindQueue.kind)
    kindQueue.creditMs = Math.max(0, kindQueue.creditMs - usedMs)
    const floorMs = this.floorShare() * usedMs
    for (const queue of this.queues.values()) {
      if (queue === kindQueue) continue
      queue.creditMs = queue.calls.size === 0 ? 0 : queue.creditMs + floorMs
    }
  }

  /** Removes a call that will not start. Returns whether it was waiting. */
  remove (state: CallState): boolean {
    const removed = this.queues.get(queueKeyOf(state.call.kind))?.calls.delete(state) ?? false
    if (removed) this.waiting -= 1
    return removed
  }

  /** Expected wait of a new call of `kind`; `startIntervalMs` is assumed until enough departures were observed. */
  expectedWaitMs (kind: RequestKind, now: Milliseconds, startIntervalMs: Milliseconds): Milliseconds {
    const kindQueue = this.queueOf(kind)
    const kindIntervalMs = kindQueue.calls.size === 0 ? undefined : kindQueue.departures.meanIntervalMs(now)
    if (kindIntervalMs !== undefined) return (kindQueue.calls.size + 1) * kindIntervalMs
    const intervalMs = this.waiting === 0 ? startIntervalMs : this.departures.meanIntervalMs(now) ?? startIntervalMs
    return (this.countBefore(kind) + 1) * intervalMs
  }

  /** Number of waiting calls that start before a new call of `kind`. */
  countBefore (kind: RequestKind): number {
    const kindQueue = this.queueOf(kind)
    let count = 0
    for (const queue of this.queues.values()) {
      if (queue === kindQueue || this.valuePerMs(queue) >= this.valuePerMs(kindQueue)) count += queue.calls.size
    }
    return count
  }

  /** The call to evict from a full queue for one of `kind`: the newest of the least valuable kind above its floor. */
  findVictim (kind: RequestKind): CallState | undefined {
    const arriving = this.queueOf(kind)
    const protectedCalls = this.floorShare() * this.policy.queueLimitCalls
    let victim: KindQueue | undefined
    for (const queue of this.queues.values()) {
      if (queue.calls.size <= protectedCalls || this.valuePerMs(queue) >= this.valuePerMs(arriving)) continue
      if (victim === undefined || this.valuePerMs(queue) < this.valuePerMs(victim)) victim = queue
    }
    return victim === undefined ? undefined : [...victim.calls].at(-1)
  }

  isFull (): boolean {
    return this.waiting >= this.policy.queueLimitCalls
  }

  private onBacklogStart (now: Milliseconds): void {
    this.backlogSince = now
    this.departures.onBacklogStart(now)
  }

  private precedes (one: KindQueue, other: KindQueue): boolean {
    const oneIsDue = this.isDue(one)
    if (oneIsDue !== this.isDue(other)) return oneIsDue
    if (oneIsDue) return one.creditMs > other.creditMs
    return this.valuePerMs(one) > this.valuePerMs(other)
  }

  private isDue (queue: KindQueue): boolean {
    return queue.creditMs >= this.serviceMsOf(queue.kind)
  }

  private valuePerMs (queue: KindQueue): number {
    return queue.kind.weight / this.serviceMsOf(queue.kind)
  }

  private floorShare (): number {
    return Math.min(this.policy.queueFloorShare, MAX_FLOOR_SHARE / Math.max(1, this.queues.size))
  }

  private queueOf (kind: RequestKind): KindQueue {
    const key = queueKeyOf(kind)
    const known = this.queues.get(key)
    if (known !== undefined && known.kind === kind) return known
    const created: KindQueue = { kind, calls: known?.calls ?? new Set(), departures: known?.departures ?? DepartureRate.create(), creditMs: known?.creditMs ?? 0 }
    this.queues.set(key, created)
    return created
  }
}

/** Kinds of one route that differ in priority wait apart from each other. */
function queueKeyOf ({ name, priority }: RequestKind): string {
  return priority === undefined ? name : `${name} ${priority}`
}
