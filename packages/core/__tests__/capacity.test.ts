import { expect } from 'chai'
import { SlotReservation } from '../src/core/capacity/slotReservation.js'
import { ServedShares } from '../src/core/capacity/servedShares.js'
import { WaitQueue } from '../src/core/capacity/waitQueue.js'
import { createCallState, type CallState } from '../src/core/dispatch/callState.js'
import type { RequestKind } from '../src/types/requestKind.js'
import { DEFAULT_ROUTING_POLICY } from '../src/types/routingPolicy.js'
import { Harness, LOOKUP } from './dispatcherHarness.js'

const READ: RequestKind = { ...LOOKUP, name: 'read', priority: 0, weight: 1 }
const BULK: RequestKind = { ...LOOKUP, name: 'bulk', priority: 2, weight: 0.25 }

let nextId = 1

function waiting (kind: RequestKind, customer?: string, targetAt?: number): CallState {
  return createCallState({ id: nextId++, kind, customer, arrivedAt: 0, deadlineAt: 1_000, targetAt, fingerprint: '', replayable: true })
}

function createQueue (shares?: ServedShares, queueLimitCalls = 1_000): WaitQueue {
  const work = { serviceMsOf: ({ name }: RequestKind) => name === 'bulk' ? 2 : 50, latestStartAt: () => 500 }
  return WaitQueue.create({ ...DEFAULT_ROUTING_POLICY, queueLimitCalls }, work, shares)
}

describe('order of waiting calls', () => {
  // Guards against a small customer that waits behind all calls of a large one, and against its estimate doing so.
  it('serves customers in turn', () => {
    const queue = createQueue()
    for (let count = 0; count < 100; count++) queue.push(waiting(READ, 'large'), 0)
    queue.depart(queue.next(0)!, 1)
    expect(queue.countBefore({ kind: READ, customer: 'small' }, 1)).to.equal(0)
    const small = waiting(READ, 'small')
    queue.push(small, 1)
    expect(queue.next(1)).to.equal(small)
  })

  // Guards against an order by value per work alone, in which short bulk displaces urgent calls for as long as it lasts.
  it('prefers an urgent kind that is served worse than a less urgent one', () => {
    const shares = ServedShares.create()
    const queue = createQueue(shares)
    for (const kind of [READ, BULK]) queue.push(waiting(kind), 0)
    for (let count = 0; count < 20; count++) shares.onStart(waiting(BULK).call, 0)
    for (let count = 0; count < 20; count++) shares.onEnd(waiting(READ).call, { kind: 'notRun', code: 'queueFull' }, count % 2 === 0, 0)
    expect(queue.next(0)!.call.kind).to.equal(READ)
  })

  // Guards against starvation of a kind or customer that is refused far more often than the others.
  it('prefers a kind of which far too few calls were answered', () => {
    const shares = ServedShares.create()
    const queue = createQueue(shares)
    for (const kind of [READ, BULK]) queue.push(waiting(kind), 0)
    for (let count = 0; count < 30; count++) {
      shares.onStart(waiting(READ).call, 0)
      shares.onEnd(waiting(BULK).call, { kind: 'notRun', code: 'queueFull' }, false, 0)
    }
    expect(queue.next(0)!.call.kind).to.equal(BULK)
  })

  // Guards against slots for calls whose responses are worth little while others could still be in time.
  it('serves calls that can meet their targets first', () => {
    const queue = createQueue()
    const [late, inTime] = [waiting(READ, undefined, 20), waiting(READ, undefined, 400)]
    for (const state of [late, inTime]) queue.push(state, 0)
    expect(queue.next(0)).to.equal(inTime)
  })

  // Guards against a full queue in which a large customer shuts out the others.
  it('evicts the newest call of the largest customer when full', () => {
    const queue = createQueue(undefined, 10)
    const large = Array.from({ length: 10 }, () => waiting(READ, 'large'))
    for (const state of large) queue.push(state, 0)
    expect(queue.findVictim({ kind: READ, customer: 'small' }, 0)).to.equal(large.at(-1))
    expect(queue.findVictim({ kind: READ, customer: 'large' }, 0)).to.equal(undefined)
  })

  // Guards against callers that are kept waiting although no start in time is to be expected.
  it('finds waiting calls that will not start in time', () => {
    const queue = createQueue()
    for (const kind of [READ, BULK]) {
      for (let count = 0; count < 12; count++) queue.push(waiting(kind), 0)
    }
    for (let now = 100; now <= 400; now += 100) queue.depart(queue.next(now)!, now)
    expect(queue.findHopeless(400).length).to.be.above(15)
  })
})

describe('reserved upstreams', () => {
  // Guards against bulk that is held back without need: no urgent calls arrive, or none lacks capacity.
  it('are reserved only while urgent calls arrive and capacity is lacking', () => {
    const reservation = SlotReservation.create(({ name }) => name === 'bulk' ? 400 : 100)
    const arrive = (kind: RequestKind, now: number) => {
      reservation.onCall(kind, now)
      reservation.onStart(kind, 0, now)
    }
    for (let now = 0; now < 1_000; now += 10) arrive(READ, now)
    for (let now = 0; now < 1_000; now += 40) arrive(BULK, now)
    expect(reservation.reservedShare(BULK, 1_000)).to.equal(0)
    reservation.onRefusal(1_000)
    expect(reservation.reservedShare(BULK, 1_000)).to.be.within(0.5, 0.6)
    expect(reservation.reservedShare(READ, 1_000)).to.equal(0)
    reservation.onRefusal(15_000)
    expect(reservation.reservedShare(BULK, 15_000)).to.equal(0)
  })
})

describe('start estimate', () => {
  // Guards against calls that wait in vain while all upstreams pause, and against a Retry-After before the pause ends.
  it('refuses a call at once that no upstream can take in time because all pause', () => {
    const harness = Harness.create(1, { refusedBackOffMs: 400, refusedBackOffMaxMs: 400 })
    harness.warmUp()
    harness.end(harness.attemptOf(harness.submit(LOOKUP, { replayable: false })), 'notRun')
    const id = harness.submit(LOOKUP, { deadlineAt: harness.clock.now() + 200 })
    expect(harness.results.get(id)).to.deep.equal({ kind: 'notRun', code: 'deadlineUnreachable', retryAfterMs: 400 })
  })
})
