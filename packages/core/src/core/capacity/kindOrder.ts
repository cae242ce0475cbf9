import type { Milliseconds } from '../../types/clock.js'
import type { WorkEstimates } from '../../types/workEstimates.js'
import type { KindQueue } from './kindQueue.js'
import type { ServedShares } from './servedShares.js'

/** Compares two kinds; negative if the first one is to be served before the other. */
export type KindComparison = (one: KindQueue, other: KindQueue) => number

/**
 * Order in which waiting kinds are served: by weight per expected service time, which serves the most weight per unit of
 * capacity, after the kinds that are owed their floor share.
 *
 * Where kinds have different priorities, or calls have customers, three rules precede this order: a kind whose calls are
 * answered far less often than those of the others goes first; calls that can meet their targets go before those that
 * cannot; and a kind of which a smaller share is answered than of a less urgent one goes before that one.
 */
export class KindOrder {
  /** Whether a call of a customer has been queued. */
  hasCustomers = false

  private constructor (
    private readonly queues: ReadonlyMap<string, KindQueue>,
    private readonly work: WorkEstimates,
    private readonly shares: ServedShares
  ) {}

  static create (queues: ReadonlyMap<string, KindQueue>, work: WorkEstimates, shares: ServedShares): KindOrder {
    return new KindOrder(queues, work, shares)
  }

  /** Whether calls differ in priority or customer, so that shares answered are compared. */
  get isDifferentiated (): boolean {
    return this.hasCustomers || hasSeveralPriorities(this.queues.values())
  }

  /** The comparison that is valid until the queues change. */
  at (now: Milliseconds): KindComparison {
    if (!this.isDifferentiated) return (one, other) => this.compareByValue(one, other, this.valuePerMs(one), this.valuePerMs(other))
    const values = this.valuesAt(now)
    return (one, other) => {
      const byFloor = Number(this.isBelowFloor(other, now)) - Number(this.isBelowFloor(one, now))
      if (byFloor !== 0) return byFloor
      const byLateness = Number(one.hasOnlyLate) - Number(other.hasOnlyLate)
      if (byLateness !== 0) return byLateness
      const byValue = this.compareByValue(one, other, values.get(one) ?? 0, values.get(other) ?? 0)
      return byValue === 0 ? (one.kind.priority ?? 0) - (other.kind.priority ?? 0) : byValue
    }
  }

  /** Whether calls of `queue` are worth less than those of `other`. */
  ranksBelow (queue: KindQueue, other: KindQueue, compare: KindComparison): boolean {
    if (this.isDifferentiated) return compare(queue, other) > 0
    return this.valuePerMs(queue) < this.valuePerMs(other)
  }

  /** Whether too few calls of the kind were answered lately. */
  isBelowFloor (queue: KindQueue, now: Milliseconds): boolean {
    return this.isDifferentiated && this.shares.isKindBelowFloor(queue.kind, now)
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

  /** Whether the kind has saved enough of its floor share to start a call. */
  private isDue (queue: KindQueue): boolean {
    return queue.creditMs >= this.work.serviceMsOf(queue.kind)
  }

  private valuePerMs (queue: KindQueue): number {
    return queue.kind.weight / this.work.serviceMsOf(queue.kind)
  }
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
