import type { Milliseconds } from '../../types/clock.js'
import type { Call } from '../../types/dispatch.js'
import type { RequestKind } from '../../types/requestKind.js'
import type { RoutingPolicy } from '../../types/routingPolicy.js'
import type { WorkEstimates } from '../../types/workEstimates.js'
import type { CallState } from '../dispatch/callState.js'
import type { CustomerQueue } from './customerQueue.js'
import { DepartureRate } from './departureRate.js'
import { KindOrder, type KindComparison } from './kindOrder.js'
import { KindQueue } from './kindQueue.js'
import { classNameOf, ServedShares } from './servedShares.js'

// Largest share of the capacity that the floors of all kinds guarantee together; the rest is served by weight.
const MAX_FLOOR_SHARE = 0.5

/** Expected wait, as a multiple of the time left, above which a waiting call is refused: the estimate is uncertain. */
const HOPELESS_WAIT_FACTOR = 1.1

/**
 * Queue of the calls of one service that wait for an upstream. It decides which call goes first and which one a full queue
 * gives up. Kinds are served in the order of `KindOrder`; a floor share of the capacity prevents starvation. Within a kind,
 * customers are served in turn.
 */
export class WaitQueue {
  private readonly queues = new Map<string, KindQueue>()
  private readonly order: KindOrder
  private readonly departures = DepartureRate.create()
  private waiting = 0
  private backlogSince: Milliseconds = 0
  private now: Milliseconds = 0

  private constructor (
    private policy: RoutingPolicy,
    private readonly work: WorkEstimates,
    private readonly shares: ServedShares
  ) {
    this.order = KindOrder.create(this.queues, work, shares)
  }

  static create (policy: RoutingPolicy, work: WorkEstimates, shares = ServedShares.create()): WaitQueue {
    return new WaitQueue(policy, work, shares)
  }

  setPolicy (policy: RoutingPolicy): void {
    this.policy = policy
  }

  get size (): number {
    return this.waiting
  }

  /** Whether calls differ in priority or customer, so that shares answered are compared. */
  get isDifferentiated (): boolean {
    return this.order.isDifferentiated
  }

  /** Number of waiting calls by kind; kinds without any are left out. */
  countByKind (): Record<string, number> {
    const counts: Record<string, number> = {}
    for (const queue of this.queues.values()) {
      const count = queue.size
      if (count > 0) counts[queue.kind.name] = (counts[queue.kind.name] ?? 0) + count
    }
    return counts
  }

  push (state: CallState, now: Milliseconds): void {
    this.joinedQueue(state, now).push(state)
    this.waiting += 1
  }

  /** Puts a call before the other calls of its kind and customer. */
  pushFront (state: CallState, now: Milliseconds): void {
    this.joinedQueue(state, now).pushFront(state)
    this.waiting += 1
  }

  /** How long the queue has been non-empty without a break. */
  backlogMs (now: Milliseconds): Milliseconds {
    return this.waiting === 0 ? 0 : now - this.backlogSince
  }

  /** The call to start next. */
  next (now = this.now): CallState | undefined {
    return this.heads(now)[0]
  }

  /** The first call of each kind, in the order in which they are to start. */
  heads (now = this.now): CallState[] {
    const occupied = [...this.queues.values()].filter(queue => queue.size > 0)
    if (occupied.length === 0) return []
    occupied.sort(this.comparisonAt(now))
    return occupied.map(queue => queue.first()).filter(state => state !== undefined)
  }

  /** Removes a call that starts now. */
  depart (state: CallState, now: Milliseconds): void {
    if (!this.take(state, true)) return
    const kindQueue = this.queueOf(state.call.kind)
    this.departures.onDeparture(now)
    kindQueue.departures.onDeparture(now)
    const usedMs = this.work.serviceMsOf(kindQueue.kind)
    kindQueue.creditMs = Math.max(0, kindQueue.creditMs - usedMs)
    const floorMs = this.floorShare() * usedMs
    for (const queue of this.queues.values()) {
      if (queue === kindQueue) continue
      queue.creditMs = queue.size === 0 ? 0 : queue.creditMs + floorMs
    }
  }

  /** Removes a call that will not start. Returns whether it was waiting. */
  remove (state: CallState): boolean {
    return this.take(state, false)
  }

  /** Expected wait of a new call; `startIntervalMs` is assumed until enough departures were observed. */
  expectedWaitMs (call: Pick<Call, 'kind' | 'customer'>, now: Milliseconds, startIntervalMs: Milliseconds): Milliseconds {
    const kindQueue = this.queueOf(call.kind)
    const kindIntervalMs = kindQueue.size === 0 ? undefined : kindQueue.departures.meanIntervalMs(now)
    if (kindIntervalMs !== undefined) return (kindQueue.countBefore(call.customer) + 1) * kindIntervalMs
    const intervalMs = this.waiting === 0 ? startIntervalMs : this.departures.meanIntervalMs(now) ?? startIntervalMs
    const waitMs = (this.countBefore(call, now) + 1) * intervalMs
    if (!this.isDifferentiated || kindQueue.size === 0) return waitMs
    // Urgent calls that arrive later also start before this one, so the kind's own departures count from the first one on.
    return Math.max(waitMs, (kindQueue.countBefore(call.customer) + 1) * kindQueue.departures.earlyIntervalMs(now))
  }

  /** Number of waiting calls that start before a new call. */
  countBefore ({ kind, customer }: Pick<Call, 'kind' | 'customer'>, now = this.now): number {
    const kindQueue = this.queueOf(kind)
    const compare = this.comparisonAt(now)
    let count = kindQueue.countBefore(customer)
    for (const queue of this.queues.values()) {
      if (queue !== kindQueue && !this.order.ranksBelow(queue, kindQueue, compare)) count += queue.size
    }
    return count
  }

  /**
   * The call that a full queue gives up for an arriving one: the newest of the least valuable kind above its floor, or of
   * the customer of the same kind that has more calls waiting than the arriving call's. Undefined if the arriving call
   * is the least valuable.
   */
  findVictim ({ kind, customer }: Pick<Call, 'kind' | 'customer'>, now = this.now): CallState | undefined {
    const arriving = this.queueOf(kind)
    const protectedCalls = this.floorShare() * this.policy.queueLimitCalls
    const compare = this.comparisonAt(now)
    let victim: KindQueue | undefined
    for (const queue of this.queues.values()) {
      if (queue === arriving || queue.size <= protectedCalls || this.order.isBelowFloor(queue, now)) continue
      if (this.order.ranksBelow(queue, arriving, compare) && (victim === undefined || compare(queue, victim) > 0)) victim = queue
    }
    return victim === undefined ? arriving.victimFor(customer) : victim.victim()
  }

  /**
   * Waiting calls that are not expected to start in time, in the order in which the queue serves them; those that are
   * given up leave their places to later ones. None where calls do not differ: the order of arrival then keeps the wait
   * that was estimated on admission.
   */
  findHopeless (now: Milliseconds): CallState[] {
    if (!this.isDifferentiated || this.work.latestStartAt === undefined) return []
    const hopeless: CallState[] = []
    for (const queue of this.queues.values()) {
      const { departures } = queue
      const intervalMs = departures.meanIntervalMs(now) ?? departures.earlyIntervalMs(now)
      let before = 0
      for (const state of queue.inOrder()) {
        const leftMs = this.work.latestStartAt(state.call) - now
        if ((before + 1) * intervalMs > leftMs * HOPELESS_WAIT_FACTOR) hopeless.push(state)
        else before += 1
      }
    }
    return hopeless
  }

  isFull (): boolean {
    return this.waiting >= this.policy.queueLimitCalls
  }

  private joinedQueue (state: CallState, now: Milliseconds): CustomerQueue {
    this.now = now
    if (state.call.customer !== undefined) this.order.hasCustomers = true
    const queue = this.queueOf(state.call.kind)
    if (this.waiting === 0) this.onBacklogStart(now)
    if (queue.size === 0) queue.departures.onBacklogStart(now)
    return this.isLate(state.call, now) ? queue.late : queue.inTime
  }

  /** Whether a call cannot meet its target even if it starts now. */
  private isLate ({ targetAt, kind }: Call, now: Milliseconds): boolean {
    if (targetAt === undefined || kind.priority === undefined) return false
    return now + this.work.serviceMsOf(kind) > targetAt
  }

  private take (state: CallState, isServed: boolean): boolean {
    const queue = this.queues.get(classNameOf(state.call.kind))
    if (queue?.remove(state, isServed) !== true) return false
    this.waiting -= 1
    return true
  }

  private onBacklogStart (now: Milliseconds): void {
    this.backlogSince = now
    this.departures.onBacklogStart(now)
  }

  /** Customers' shares are compared as of the same time. */
  private comparisonAt (now: Milliseconds): KindComparison {
    this.now = now
    return this.order.at(now)
  }

  private floorShare (): number {
    return Math.min(this.policy.queueFloorShare, MAX_FLOOR_SHARE / Math.max(1, this.queues.size))
  }

  private queueOf (kind: RequestKind): KindQueue {
    const name = classNameOf(kind)
    const known = this.queues.get(name)
    if (known !== undefined) {
      known.kind = kind
      return known
    }
    const isBelowFloor = (customer: string) => this.shares.isCustomerBelowFloor(customer, this.now)
    const created = KindQueue.create(kind, isBelowFloor)
    this.queues.set(name, created)
    return created
  }
}
