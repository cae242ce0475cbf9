import type { Milliseconds } from '../../types/clock.js'
import type { Call, CallResult } from '../../types/dispatch.js'
import type { RequestKind } from '../../types/requestKind.js'

/** Time constant of the averages: the load bursts to answer last about 5 s. */
const WINDOW_MS = 5_000
/**
 * No kind and no customer should get less than a quarter of the share of the others. The threshold is higher, because a
 * call that is preferred now is answered only after its service time.
 */
export const FLOOR_SHARE = 0.35
/** Calls at the share of all that are added to each average, so that a few refusals do not count as starvation. */
const PRIOR_CALLS = 2
/** Entries beyond this number are removed once they have faded. */
const MAX_FADED_ENTRIES = 256
const FADED_CALLS = 0.05

interface Share {
  calls: number
  answered: number
  updatedAt: Milliseconds
}

/**
 * Shares of calls that were answered lately, by kind, by customer and over all. Answers the load in which bulk or one
 * large customer takes all slots. A call counts as answered from its start until it ends otherwise.
 */
export class ServedShares {
  private readonly kinds = new Map<string, Share>()
  private readonly customers = new Map<string, Share>()
  private readonly all = createShare()

  private constructor () {}

  static create (): ServedShares {
    return new ServedShares()
  }

  /** The first attempt of a call started. */
  onStart (call: Call, now: Milliseconds): void {
    for (const share of this.sharesOf(call, now)) {
      share.calls += 1
      share.answered += 1
    }
  }

  /** A call ended; `isStarted` if `onStart` was called for it. */
  onEnd (call: Call, result: CallResult, isStarted: boolean, now: Milliseconds): void {
    if (result.kind === 'delivered' || result.kind === 'cancelled') return
    for (const share of this.sharesOf(call, now)) {
      if (isStarted) share.answered = Math.max(0, share.answered - 1)
      else share.calls += 1
    }
  }

  /** Share of the kind's calls that were answered, from 0 to 1. */
  ofKind (kind: RequestKind, now: Milliseconds): number {
    return this.ratioOf(this.kinds.get(classNameOf(kind)), now)
  }

  isKindBelowFloor (kind: RequestKind, now: Milliseconds): boolean {
    return this.ofKind(kind, now) < FLOOR_SHARE * this.overall()
  }

  isCustomerBelowFloor (customer: string, now: Milliseconds): boolean {
    return this.ratioOf(this.customers.get(customer), now) < FLOOR_SHARE * this.overall()
  }

  private overall (): number {
    return this.all.calls === 0 ? 1 : this.all.answered / this.all.calls
  }

  private ratioOf (share: Share | undefined, now: Milliseconds): number {
    if (share === undefined) return this.overall()
    decay(share, now)
    return (share.answered + PRIOR_CALLS * this.overall()) / (share.calls + PRIOR_CALLS)
  }

  private sharesOf ({ kind, customer }: Call, now: Milliseconds): Share[] {
    const shares = [this.all, entryOf(this.kinds, classNameOf(kind), now)]
    if (customer !== undefined) shares.push(entryOf(this.customers, customer, now))
    for (const share of shares) decay(share, now)
    return shares
  }
}

/** Name of the calls that are treated alike: those of one kind and priority, which may depend on the customer. */
export function classNameOf ({ name, priority }: RequestKind): string {
  return priority === undefined ? name : `${name} ${priority}`
}

function createShare (): Share {
  return { calls: 0, answered: 0, updatedAt: 0 }
}

function entryOf (shares: Map<string, Share>, name: string, now: Milliseconds): Share {
  const known = shares.get(name)
  if (known !== undefined) return known
  if (shares.size > MAX_FADED_ENTRIES) removeFaded(shares, now)
  const created = createShare()
  shares.set(name, created)
  return created
}

function removeFaded (shares: Map<string, Share>, now: Milliseconds): void {
  for (const [name, share] of shares) {
    decay(share, now)
    if (share.calls < FADED_CALLS) shares.delete(name)
  }
}

function decay (share: Share, now: Milliseconds): void {
  const remaining = Math.exp(-Math.max(0, now - share.updatedAt) / WINDOW_MS)
  share.calls *= remaining
  share.answered *= remaining
  share.updatedAt = now
}
