import type { LoadKind, PlannedCall } from '../../types/decisions.js'
import type { FakeUpstream } from './fakeUpstream.js'
import { MEAN_WORK_MS, WORK_SIGMA } from './loadMix.js'
import type { Transport } from './transport.js'
import { slowdownAt } from './upstreamPlans.js'

/** Requests sent to an upstream beyond its slots, so that no slot is idle for a round trip. */
const EXTRA_REQUESTS_PER_UPSTREAM = 1

/** Current state of an upstream as known to the oracle. */
export interface Candidate {
  readonly upstream: FakeUpstream
  readonly slowdown: number
  /** Requests at the upstream or in transit to it. */
  committed: number
}

/** Selects upstreams for the oracle by lowest expected completion time, from a snapshot of all usable upstreams. */
export class OracleSelector {
  /** Calls per millisecond that all candidates complete together. */
  readonly totalRate: number
  readonly minSlowdown: number
  /** Cache of `expectedFullMsOf` by kind and entry VM. */
  private readonly expectedFullMs = new Map<LoadKind, number[]>()
  /** Candidates with spare capacity. */
  private available: readonly Candidate[]

  private constructor (private readonly transport: Transport, private readonly candidates: readonly Candidate[]) {
    this.available = candidates.filter(hasCapacity)
    const slotRate = candidates.reduce((sum, { upstream, slowdown }) => sum + upstream.plan.slots / slowdown, 0)
    this.totalRate = slotRate / MEAN_WORK_MS
    this.minSlowdown = Math.min(...candidates.map(({ slowdown }) => slowdown))
  }

  static create (transport: Transport, inTransit: ReadonlyMap<FakeUpstream, number>): OracleSelector {
    const now = transport.events.now()
    const candidates: Candidate[] = []
    for (const upstream of transport.upstreams) {
      if (upstream.isDown || upstream.isFailing || upstream.isDraining) continue
      const committed = upstream.running + upstream.queued + inTransit.get(upstream)!
      candidates.push({ upstream, slowdown: slowdownAt(upstream.plan, now), committed })
    }
    return new OracleSelector(transport, candidates)
  }

  hasCapacity (): boolean {
    return this.available.length > 0
  }

  /**
   * Returns the best candidate with spare capacity; undefined if there is none, or if waiting behind `callsAhead`
   * queued calls for an upstream at capacity is expected to be faster.
   */
  selectBest (call: PlannedCall, entry: number, callsAhead: number): Candidate | undefined {
    const best = this.selectFastest(this.available, call, entry)
    if (best === undefined) return undefined
    return this.expectedFullMsOf(call, entry) + callsAhead / this.totalRate < this.expectedMs(best, call, entry)
      ? undefined
      : best
  }

  /** Returns the best candidate with a free slot, other than `excluded`. */
  selectFree (call: PlannedCall, entry: number, excluded: FakeUpstream): Candidate | undefined {
    return this.selectFastest(
      this.available.filter(({ upstream, committed }) => upstream !== excluded && committed < upstream.plan.slots),
      call,
      entry
    )
  }

  /** Counts a request that is being sent to the candidate. */
  commit (candidate: Candidate): void {
    candidate.committed += 1
    if (hasCapacity(candidate)) return
    this.available = this.available.filter(other => other !== candidate)
    this.expectedFullMs.clear()
  }

  private selectFastest (candidates: readonly Candidate[], call: PlannedCall, entry: number): Candidate | undefined {
    let best: Candidate | undefined
    let bestMs = Infinity
    for (const candidate of candidates) {
      const ms = this.expectedMs(candidate, call, entry)
      if (ms >= bestMs) continue
      best = candidate
      bestMs = ms
    }
    return best
  }

  /** Lowest expected completion time among the upstreams at capacity. */
  private expectedFullMsOf (call: PlannedCall, entry: number): number {
    const byEntry = this.expectedFullMs.get(call.load) ?? []
    this.expectedFullMs.set(call.load, byEntry)
    const cachedMs = byEntry[entry]
    if (cachedMs !== undefined) return cachedMs
    const fastest = this.selectFastest(this.candidates.filter(candidate => !hasCapacity(candidate)), call, entry)
    return byEntry[entry] = fastest === undefined ? Infinity : this.expectedMs(fastest, call, entry)
  }

  /** Expected completion time: a round trip, the wait for a slot and the mean work at the upstream's speed. */
  private expectedMs ({ upstream, slowdown, committed }: Candidate, call: PlannedCall, entry: number): number {
    const queuedAhead = Math.max(0, committed - upstream.plan.slots + 1)
    const waitMs = queuedAhead * MEAN_WORK_MS * slowdown / upstream.plan.slots
    return 2 * this.transport.delayMs(entry, upstream) + waitMs + call.load.meanWorkMs * slowdown
  }
}

function hasCapacity ({ upstream, committed }: Candidate): boolean {
  return committed < upstream.plan.slots + EXTRA_REQUESTS_PER_UPSTREAM
}

/** Weight per millisecond of work, multiplied by the probability that the work ends before the deadline. */
export function expectedValue (call: PlannedCall, remainingMs: number, slowdown: number): number {
  const { kind, meanWorkMs } = call.load
  return kind.weight / meanWorkMs * probabilityOfWorkBelow(remainingMs / (meanWorkMs * slowdown))
}

/**
 * Probability that the work of a call is below `share` of its kind's mean. Approximates the normal distribution
 * function by a logistic one, scaled by 1.702.
 */
function probabilityOfWorkBelow (share: number): number {
  const normal = (Math.log(Math.max(share, 1e-9)) + WORK_SIGMA * WORK_SIGMA / 2) / WORK_SIGMA
  return 1 / (1 + Math.exp(-1.702 * normal))
}
