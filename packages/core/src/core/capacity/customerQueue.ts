import type { CallState } from '../dispatch/callState.js'

/** Calls without a customer share one queue. */
const NO_CUSTOMER = ''

interface CustomerCalls {
  calls: Set<CallState>
  /** Virtual time of the start of its first call. */
  startTag: number
}

/**
 * Waiting calls of one kind, shared fairly among customers by start-time fair queueing (Goyal, Vin and Cheng, 1996): each
 * call takes one unit of its customer's virtual time, as calls of one kind are expected to need the same work, and the
 * customer with the lowest virtual time is served next. Answers the load in which a customer with one request per second
 * arrives behind a hundred calls of another. Without customers the order is that of arrival.
 */
export class CustomerQueue {
  private readonly customers = new Map<string, CustomerCalls>()
  private virtualTime = 0
  private count = 0

  private constructor (private readonly isBelowFloor: (customer: string) => boolean) {}

  /** `isBelowFloor` tells which customers go first, because too few of their calls were answered lately. */
  static create (isBelowFloor: (customer: string) => boolean): CustomerQueue {
    return new CustomerQueue(isBelowFloor)
  }

  get size (): number {
    return this.count
  }

  push (state: CallState): void {
    this.joinedCustomer(state).calls.add(state)
    this.count += 1
  }

  /** Puts a call before the other calls of its customer. */
  pushFront (state: CallState): void {
    const customer = this.joinedCustomer(state)
    customer.calls = new Set([state, ...customer.calls])
    this.count += 1
  }

  /** The call to start next. */
  first (): CallState | undefined {
    let best: CustomerCalls | undefined
    let bestTag = Infinity
    for (const [name, customer] of this.customers) {
      if (customer.calls.size === 0) continue
      const tag = this.tagOf(name, customer)
      if (tag >= bestTag) continue
      best = customer
      bestTag = tag
    }
    return best?.calls.values().next().value
  }

  /** Removes a call; `isServed` if it starts, which uses up virtual time of its customer. Returns whether it waited here. */
  remove (state: CallState, isServed: boolean): boolean {
    const name = nameOf(state)
    const customer = this.customers.get(name)
    if (customer?.calls.delete(state) !== true) return false
    this.count -= 1
    if (isServed) {
      this.virtualTime = Math.max(this.virtualTime, customer.startTag)
      customer.startTag += 1
    }
    if (this.count === 0) this.reset()
    else if (customer.calls.size === 0 && customer.startTag <= this.virtualTime) this.customers.delete(name)
    return true
  }

  /** Number of calls that start before a new call of a customer. */
  countBefore (customer: string | undefined): number {
    const name = customer ?? NO_CUSTOMER
    const own = this.customers.get(name)
    const ownCount = own?.calls.size ?? 0
    const tag = ownCount + this.tagOf(name, own)
    let before = ownCount
    for (const [otherName, other] of this.customers) {
      if (other === own) continue
      before += Math.min(other.calls.size, Math.max(0, Math.ceil(tag - this.tagOf(otherName, other))))
    }
    return before
  }

  /** The newest call of the customer with the most waiting calls, if it has more than `moreThan`. */
  lastOfLargest (moreThan = 0): CallState | undefined {
    let largest: CustomerCalls | undefined
    for (const customer of this.customers.values()) {
      if (customer.calls.size > Math.max(moreThan, largest?.calls.size ?? 0)) largest = customer
    }
    return largest === undefined ? undefined : [...largest.calls].at(-1)
  }

  countOf (customer: string | undefined): number {
    return this.customers.get(customer ?? NO_CUSTOMER)?.calls.size ?? 0
  }

  /** All calls in the order in which they are expected to start. */
  inOrder (): CallState[] {
    const tagged: Array<{ readonly tag: number, readonly state: CallState }> = []
    for (const [name, customer] of this.customers) {
      let tag = this.tagOf(name, customer)
      for (const state of customer.calls) tagged.push({ tag: tag++, state })
    }
    return tagged.sort((one, other) => one.tag - other.tag).map(({ state }) => state)
  }

  private tagOf (name: string, customer: CustomerCalls | undefined): number {
    if (name !== NO_CUSTOMER && this.isBelowFloor(name)) return this.virtualTime - 1
    return Math.max(customer?.startTag ?? 0, this.virtualTime)
  }

  /** The calls of the state's customer. A customer that had none waiting starts at the present virtual time. */
  private joinedCustomer (state: CallState): CustomerCalls {
    const name = nameOf(state)
    const known = this.customers.get(name)
    if (known !== undefined) {
      if (known.calls.size === 0) known.startTag = Math.max(known.startTag, this.virtualTime)
      return known
    }
    const created: CustomerCalls = { calls: new Set(), startTag: this.virtualTime }
    this.customers.set(name, created)
    return created
  }

  private reset (): void {
    this.customers.clear()
    this.virtualTime = 0
  }
}

function nameOf (state: CallState): string {
  return state.call.customer ?? NO_CUSTOMER
}
