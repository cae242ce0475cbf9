import { expect } from 'chai'
import { createCallState, type CallState } from '../src/core/dispatch/callState.js'
import { WaitQueue } from '../src/core/capacity/waitQueue.js'
import type { RequestKind } from '../src/types/requestKind.js'
import { DEFAULT_ROUTING_POLICY } from '../src/types/routingPolicy.js'
import { FEE, Harness, LOOKUP } from './dispatcherHarness.js'

const DUMP: RequestKind = { ...LOOKUP, name: 'dump', weight: 0.5 }

function waiting (kind: RequestKind, id = 1): CallState {
  return createCallState({ id, kind, arrivedAt: 0, deadlineAt: 100, fingerprint: '', replayable: true })
}

describe('WaitQueue', () => {
  // Guards against starvation: by weight alone, low-weight kinds would never leave the queue.
  it('serves by weight and gives every kind its floor share', () => {
    const queue = WaitQueue.create(DEFAULT_ROUTING_POLICY, { serviceMsOf: () => 5 })
    for (let id = 0; id < 400; id++) {
      for (const kind of [DUMP, LOOKUP, FEE]) queue.push(waiting(kind, id), 0)
    }
    const served = new Map<string, number>()
    for (let step = 0; step < 200; step++) {
      const next = queue.next()!
      queue.depart(next, step)
      served.set(next.call.kind.name, (served.get(next.call.kind.name) ?? 0) + 1)
    }
    expect(served.get('fee')).to.be.within(178, 182)
    expect(served.get('lookup')).to.be.within(9, 11)
    expect(served.get('dump')).to.be.within(9, 11)
  })

  // Guards against one customer's priority that applies to the waiting calls of another one on the same route.
  it('keeps kinds of one route that differ in priority apart', () => {
    const queue = WaitQueue.create(DEFAULT_ROUTING_POLICY, { serviceMsOf: () => 5 })
    const [urgent, ordinary] = [{ ...LOOKUP, priority: 0, weight: 1 }, { ...LOOKUP, priority: 4, weight: 1 / 16 }]
    const [first, second] = [waiting(ordinary, 1), waiting(urgent, 2)]
    for (const state of [first, second]) queue.push(state, 0)
    expect(queue.countBefore({ kind: urgent }, 0)).to.equal(1)
    expect(queue.next()).to.equal(second)
    expect([queue.remove(second), queue.next(), queue.remove(first), queue.size]).to.deep.equal([true, first, true, 0])
  })

  // Guards against reordering calls of the same kind.
  it('keeps the order of arrival within a kind', () => {
    const queue = WaitQueue.create(DEFAULT_ROUTING_POLICY, { serviceMsOf: () => 5 })
    for (const id of [1, 2, 3]) queue.push(waiting(LOOKUP, id), 0)
    const order = [1, 2, 3].map(now => {
      const next = queue.next()!
      queue.depart(next, now)
      return next.call.id
    })
    expect(order).to.deep.equal([1, 2, 3])
  })

  // Guards against a queue full of low-weight calls that shuts out high-weight ones.
  it('evicts the newest call of a lower-weight kind above its floor when full', () => {
    const queue = WaitQueue.create({ ...DEFAULT_ROUTING_POLICY, queueLimitCalls: 40 }, { serviceMsOf: () => 5 })
    const light = Array.from({ length: 40 }, (_, id) => waiting(LOOKUP, id))
    for (const state of light) queue.push(state, 0)
    expect(queue.findVictim({ kind: FEE })).to.equal(light.at(-1))
    expect(queue.findVictim({ kind: LOOKUP })).to.equal(undefined)
    for (const state of light.slice(2)) queue.remove(state)
    expect(queue.findVictim({ kind: FEE })).to.equal(undefined)
  })
})

describe('admission', () => {
  // Guards against queueing calls that cannot be on time: they must be refused on arrival, not at the deadline.
  it('refuses calls on arrival that the queue cannot serve in time', () => {
    const harness = Harness.create(1)
    harness.warmUp(50, 20)
    for (let step = 0; step < 100; step++) harness.submit()
    const { queued, counters } = harness.dispatcher.snapshot()
    expect(counters.notRun.deadlineUnreachable).to.be.above(50)
    expect(queued).to.be.within(5, 45)
  })

  // Guards against losing high-weight calls under overload although the capacity for them exists.
  it('keeps high-weight calls on time at twice the capacity', () => {
    const harness = Harness.create(2)
    const running: { id: number, endsAt: number }[] = []
    let nextIndex = 0
    for (let step = 0; step < 4_000; step++) {
      harness.submit(step % 4 === 0 ? FEE : LOOKUP)
      for (; nextIndex < harness.started.length; nextIndex++) running.push({ id: harness.started[nextIndex]!.id, endsAt: harness.clock.now() + 8 })
      harness.advance(0.5)
      while (running[0] !== undefined && running[0].endsAt <= harness.clock.now()) {
        const { id } = running.shift()!
        harness.dispatcher.onAttemptEnd(id, { kind: 'answered' })
      }
    }
    const delivered = [...harness.results].filter(([, result]) => result.kind === 'delivered').map(([id]) => id)
    const fees = delivered.filter(id => (id - 1) % 4 === 0).length
    expect(fees).to.be.above(960)
    // Lookups get the other half of the capacity.
    expect(delivered.length - fees).to.be.above(900)
  })

  // Guards against a call that waits although no upstream accepts new work.
  it('refuses with noUpstream when no upstream accepts new work', () => {
    const harness = Harness.create(0)
    const id = harness.submit()
    expect(harness.results.get(id)).to.deep.equal({ kind: 'notRun', code: 'noUpstream', retryAfterMs: 200 * (1 / 3) })
  })
})
