import type { Milliseconds } from '../../types/clock.js'
import type { RequestKind } from '../../types/requestKind.js'
import type { CallState } from '../dispatch/callState.js'
import { CustomerQueue } from './customerQueue.js'
import { DepartureRate } from './departureRate.js'

/** Waiting calls of one kind. Those that could not meet their targets on arrival follow the others. */
export class KindQueue {
  /** Calls that can still meet their targets. */
  readonly inTime: CustomerQueue
  /** Calls that could not meet their targets on arrival; their responses are worth little. */
  readonly late: CustomerQueue
  readonly departures = DepartureRate.create()
  /** Service time that this kind is owed by its floor share. */
  creditMs: Milliseconds = 0

  private constructor (public kind: RequestKind, isBelowFloor: (customer: string) => boolean) {
    this.inTime = CustomerQueue.create(isBelowFloor)
    this.late = CustomerQueue.create(isBelowFloor)
  }

  /** `isBelowFloor` tells which customers go first, because too few of their calls were answered lately. */
  static create (kind: RequestKind, isBelowFloor: (customer: string) => boolean): KindQueue {
    return new KindQueue(kind, isBelowFloor)
  }

  get size (): number {
    return this.inTime.size + this.late.size
  }

  get hasOnlyLate (): boolean {
    return this.inTime.size === 0 && this.late.size > 0
  }

  /** The call to start next. */
  first (): CallState | undefined {
    return this.inTime.first() ?? this.late.first()
  }

  /** All calls in the order in which they are expected to start. */
  inOrder (): CallState[] {
    return [...this.inTime.inOrder(), ...this.late.inOrder()]
  }

  /** Number of calls that start before a new call of a customer. */
  countBefore (customer: string | undefined): number {
    return customer === undefined ? this.size : this.inTime.countBefore(customer)
  }

  /** The call to give up first: the newest of the customer with the most waiting calls, late ones before others. */
  victim (): CallState | undefined {
    return this.late.lastOfLargest() ?? this.inTime.lastOfLargest()
  }

  /** The call to give up for an arriving one of the same kind: a late one, or one of a customer with more calls waiting. */
  victimFor (customer: string | undefined): CallState | undefined {
    const late = this.late.lastOfLargest()
    if (late !== undefined || customer === undefined) return late
    return this.inTime.lastOfLargest(this.inTime.countOf(customer) + 1)
  }

  /** Removes a call; `isServed` if it starts. Returns whether it waited here. */
  remove (state: CallState, isServed: boolean): boolean {
    return this.inTime.remove(state, isServed) || this.late.remove(state, isServed)
  }
}
