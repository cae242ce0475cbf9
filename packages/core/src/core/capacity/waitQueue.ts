import type { Milliseconds } from '../../types/clock.js'
import type { Call } from '../../types/dispatch.js'
import type { RequestKind } from '../../types/requestKind.js'
import type { RoutingPolicy } from '../../types/routingPolicy.js'
import type { CallState } from '../dispatch/callState.js'
import { CustomerQueue } from './customerQueue.js'
import { DepartureRate } from './departureRate.js'
import { classNameOf, ServedShares } from './servedShares.js'

// Largest share of the capacity that the floors of all kinds guarantee together; the rest is served by weight.
const MAX_FLOOR_SHARE = 0.5

/** Expected wait, as a multiple of the time left, above which a waiting call is refused: the estimate is uncertain. */
const HOPELESS_WAIT_FACTOR = 1.1

interface KindQueue {
  kind: RequestKind
  /** Calls that can still meet their targets. */
  readonly inTime: CustomerQueue
  /** Calls that could not meet their targets on arrival; their responses are worth little. */
  readonly late: CustomerQueue
  readonly departures: DepartureRate
  /** Service time that this kind is owed by its floor share. */
  creditMs: Milliseconds
}

/** What the queue knows of the work of calls. */
export interface WorkEstimates {
  /** Mean service time of a kind. */
  serviceMsOf (kind: RequestKind): Milliseconds
  /** Latest time at which a call can start and be in time. */
  latestStartAt? (call: Call): Milliseconds
}

/**
 * Queue of the calls of one service that wait for an upstream. It decides which call goes first and which one a full queue
 * gives up. Kinds are served by weight per expected service time, which serves the most weight per unit of capacity; a
 * floor share of the capacity prevents starvation.
 *
 * Where kinds have different priorities, or calls have customers, three rules precede this order: a kind whose calls are
 * answered far less often than those of the others goes first; calls that can meet their targets go before those that
 * cannot; and a kind of which a smaller share is answered than of a less urgent one goes before that one. Within a kind,
 * customers are served in turn.
 */
export class WaitQueue {
  private readonly queues = new Map<string, KindQueue>()
  private readonly departures = DepartureRate.create()
  private waiting = 0
  private backlogSince: Milliseconds = 0
  private hasCustomers = false
  private now: Milliseconds = 0

  private constructor (
    private policy: RoutingPolicy,
    private readonly work: WorkEstimates,
    private readonly shares: ServedShares
  ) {}

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
    return this.hasCustomers || hasSeveralPriorities(this.queues.values())
  }

  /** Number of waiting calls by kind; kinds without any are left out. */
  countByKind (): Record<string, number> {
    const counts: Record<string, number> = {}
    for (const queue of this.queues.values()) {
      const count = sizeOf(queue)
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
    const occupied = [...this.queues.values()].filter(queue => sizeOf(queue) > 0)
    if (occupied.length === 0) return []
    const order = this.orderAt(now)
    occupied.sort((one, other) => order(one, other))
    return occupied.map(firstOf).filter(state => state !== undefined)
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
      queue.creditMs = sizeOf(queue) === 0 ? 0 : queue.creditMs + floorMs
    }
  }

  /** Removes a call that will not start. Returns whether it was waiting. */
  remove (state: CallState): boolean {
    return this.take(state, false)
  }

  /** Expected wait of a new call; `startIntervalMs` is assumed until enough departures were observed. */
  expectedWaitMs (call: Pick<Call, 'kind' | 'customer'>, now: Milliseconds, startIntervalMs: Milliseconds): Milliseconds {
    const kindQueue = this.queueOf(call.kind)
    const kindIntervalMs = sizeOf(kindQueue) === 0 ? undefined : kindQueue.departures.meanIntervalMs(now)
    if (kindIntervalMs !== undefined) return (countWithin(kindQueue, call.customer) + 1) * kindIntervalMs
    const intervalMs = this.waiting === 0 ? startIntervalMs : this.departures.meanIntervalMs(now) ?? startIntervalMs
    const waitMs = (this.countBefore(call, now) + 1) * intervalMs
    if (!this.isDifferentiated || sizeOf(kindQueue) === 0) return waitMs
    // Urgent calls that arrive later also start before this one, so the kind's own departures count from the first one on.
    return Math.max(waitMs, (countWithin(kindQueue, call.customer) + 1) * kindQueue.departures.earlyIntervalMs(now))
  }

  /** Number of waiting calls that start before a new call. */
  countBefore ({ kind, customer }: Pick<Call, 'kind' | 'customer'>, now = this.now): number {
    const kindQueue = this.queueOf(kind)
    const order = this.orderAt(now)
    let count = countWithin(kindQueue, customer)
    for (const queue of this.queues.values()) {
      if (queue !== kindQueue && !this.ranksBelow(queue, kindQueue, order)) count += sizeOf(queue)
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
    const order = this.orderAt(now)
    let victim: KindQueue | undefined
    for (const queue of this.queues.values()) {
      if (queue === arriving || sizeOf(queue) <= protectedCalls || this.isBelowFloor(queue, now)) continue
      if (this.ranksBelow(queue, arriving, order) && (victim === undefined || order(queue, victim) > 0)) victim = queue
    }
    if (victim !== undefined) return victim.late.lastOfLargest() ?? victim.inTime.lastOfLargest()
    return arriving.late.lastOfLargest() ?? this.victimAmongCustomers(arriving, customer)
  }

  /**
   * Waiting calls that are not expected to start in time, in the order in which the queue serves them; those that are
   * given up leave their places to later ones. None where calls do not differ: the order of arrival then keeps the wait
   * that was estimated on admission.
   */
  findHopeless (now: Milliseconds): CallState[] {
    if (!this.isDifferentiated || this.work.latestStartAt === undefined) return []
    const hopeless: CallState[] = []
    for (const { departures, inTime, late } of this.queues.values()) {
      const intervalMs = departures.meanIntervalMs(now) ?? departures.earlyIntervalMs(now)
      let before = 0
      for (const state of [...inTime.inOrder(), ...late.inOrder()]) {
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
    if (state.call.customer !== undefined) this.hasCustomers = true
    const queue = this.queueOf(state.call.kind)
    if (this.waiting === 0) this.onBacklogStart(now)
    if (sizeOf(queue) === 0) queue.departures.onBacklogStart(now)
    return this.isLate(state.call, now) ? queue.late : queue.inTime
  }

  /** Whether a call cannot meet its target even if it starts now. */
  private isLate ({ targetAt, kind }: Call, now: Milliseconds): boolean {
    if (targetAt === undefined || kind.priority === undefined) return false
    return now + this.work.serviceMsOf(kind) > targetAt
  }

  private take (state: CallState, isServed: boolean): boolean {
    const queue = this.queues.get(classNameOf(state.call.kind))
    if (queue === undefined || !(queue.inTime.remove(state, isServed) || queue.late.remove(state, isServed))) return false
    this.waiting -= 1
    return true
  }

  private onBacklogStart (now: Milliseconds): void {
    this.backlogSince = now
    this.departures.onBacklogStart(now)
  }

  private victimAmongCustomers (queue: KindQueue, customer: string | undefined): CallState | undefined {
    if (customer === undefined) return undefined
    return queue.inTime.lastOfLargest(queue.inTime.countOf(customer) + 1)
  }

  /** Whether calls of `queue` are worth less than those of `other`. */
  private ranksBelow (queue: KindQueue, other: KindQueue, order: (one: KindQueue, other: KindQueue) => number): boolean {
    if (this.isDifferentiated) return order(queue, other) > 0
    return this.valuePerMs(queue) < this.valuePerMs(other)
  }

  /** Compares kinds by which is to be served first; negative if `one` is. */
  private orderAt (now: Milliseconds): (one: KindQueue, other: KindQueue) => number {
    this.now = now
    if (!this.isDifferentiated) return (one, other) => this.compareByValue(one, other, this.valuePerMs(one), this.valuePerMs(other))
    const values = this.valuesAt(now)
    return (one, other) => {
      const byFloor = Number(this.isBelowFloor(other, now)) - Number(this.isBelowFloor(one, now))
      if (byFloor !== 0) return byFloor
      const byLateness = Number(hasOnlyLate(one)) - Number(hasOnlyLate(other))
      if (byLateness !== 0) return byLateness
      const byValue = this.compareByValue(one, other, values.get(one) ?? 0, values.get(other) ?? 0)
      return byValue === 0 ? (one.kind.priority ?? 0) - (other.kind.priority ?? 0) : byValue
    }
  }

  private compareByValue (one: KindQueue, other: KindQueue, value: number, otherValue: number): number {
    const oneIsDue = this.isDue(one)
    if (oneIsDue !== this.isDue(other)) return oneIsDue ? -1 : 1
    if (oneIsDue) return other.creditMs - one.creditMs
    return otherValue - value
  }

  /**
   * Value per service time of each kind. A kind of which a smaller share is answered than of a less urgent one has at least
   * the value of that one, so that it is never served worse.
   */
  private valuesAt (now: Milliseconds): Map<KindQueue, number> {
    const queues = [...this.queues.values()]
    const values = new Map(queues.map(queue => [queue, this.valuePerMs(queue)]))
    for (const queue of queues) {
      const share = this.shares.ofKind(queue.kind, now)
      for (const other of queues) {
        const isMoreUrgent = (queue.kind.priority ?? 0) < (other.kind.priority ?? 0)
        if (!isMoreUrgent || share > this.shares.ofKind(other.kind, now)) continue
        values.set(queue, Math.max(values.get(queue) ?? 0, this.valuePerMs(other)))
      }
    }
    return values
  }

  private isBelowFloor (queue: KindQueue, now: Milliseconds): boolean {
    return this.isDifferentiated && this.shares.isKindBelowFloor(queue.kind, now)
  }

  private isDue (queue: KindQueue): boolean {
    return queue.creditMs >= this.work.serviceMsOf(queue.kind)
  }

  private valuePerMs (queue: KindQueue): number {
    return queue.kind.weight / this.work.serviceMsOf(queue.kind)
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
    const created: KindQueue = {
      kind,
      inTime: CustomerQueue.create(isBelowFloor),
      late: CustomerQueue.create(isBelowFloor),
      departures: DepartureRate.create(),
      creditMs: 0
    }
    this.queues.set(name, created)
    return created
  }
}

function sizeOf ({ inTime, late }: KindQueue): number {
  return inTime.size + late.size
}

function hasOnlyLate ({ inTime, late }: KindQueue): boolean {
  return inTime.size === 0 && late.size > 0
}

function firstOf ({ inTime, late }: KindQueue): CallState | undefined {
  return inTime.first() ?? late.first()
}

function countWithin ({ inTime, late }: KindQueue, customer: string | undefined): number {
  return customer === undefined ? inTime.size + late.size : inTime.countBefore(customer)
}

function hasSeveralPriorities (queues: Iterable<KindQueue>): boolean {
  let first: number | undefined
  for (const { kind: { priority } } of queues) {
    if (priority === undefined) continue
    if (first !== undefined && priority !== first) return true
    first = priority
  }
  return false
}
