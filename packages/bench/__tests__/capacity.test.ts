import { expect } from 'chai'
import { itOrKnownRed } from '@cowsliplead/daemon/testing/knownRed.js'
import type { RequestKind } from '@cowsliplead/core/types/requestKind.js'
import { simulateOverload, type Stream, type StreamResult } from './capacitySimulation.js'

const READ: RequestKind = {
  name: 'read', weight: 1, priority: 0, idempotent: true, deadlineMs: 2_000, targetMs: 400, cancellable: true, hedgeable: true, maxAttempts: 3
}
const BULK: RequestKind = { ...READ, name: 'bulk', weight: 0.25, priority: 2, deadlineMs: 6_000, targetMs: 1_500 }
const ORDER: RequestKind = { ...READ, name: 'order', weight: 0.5, priority: 1, idempotent: false, hedgeable: false, targetMs: 600 }

/** Percentage points by which a more urgent kind may be served worse than a less urgent one. */
const SERVICE_TOLERANCE = 0.05
const ON_TIME_TOLERANCE = 0.15

function shareOfAll (results: readonly StreamResult[]): number {
  const calls = results.reduce((sum, result) => sum + result.calls, 0)
  return results.reduce((sum, { answered, calls }) => sum + answered * calls, 0) / calls
}

function expectFloor (results: readonly StreamResult[]): void {
  for (const { answered } of results) expect(answered).to.be.above(shareOfAll(results) / 4)
}

/** `results` in order of urgency. */
function expectUrgentFirst (results: readonly StreamResult[]): void {
  for (let index = 1; index < results.length; index++) {
    expect(results[index - 1]!.answered).to.be.above(results[index]!.answered - SERVICE_TOLERANCE)
    expect(results[index - 1]!.onTime).to.be.above(results[index]!.onTime - ON_TIME_TOLERANCE)
  }
}

const isBurst = (now: number) => now >= 5_000 && now < 10_000

/** A quarter of the upstreams at a time is four times slower for 300 ms. */
const slowQuarter = (upstream: number, now: number) => (Math.floor(now / 300) + upstream) % 4 === 0 ? 4 : 1

function simulateBurst (): readonly StreamResult[] {
  const streams: Stream[] = [
    { kind: READ, workMs: 110, rateAt: now => isBurst(now) ? 13 * 1.8 : 13 },
    { kind: BULK, workMs: 500, rateAt: now => isBurst(now) ? 2.3 * 2.4 : 2.3 }
  ]
  return simulateOverload({ vms: 6, slots: Array.from({ length: 10 }, () => 3), streams, durationMs: 10_000, measuredFromMs: 5_000 })
}

function simulateCustomers (): readonly StreamResult[] {
  const streams: Stream[] = [
    { kind: READ, customer: 'large', workMs: 150, rateAt: () => 100 / 4 },
    { kind: READ, customer: 'small', workMs: 150, rateAt: () => 1 / 4 },
    { kind: READ, customer: 'medium', workMs: 150, rateAt: () => 10 / 4 }
  ]
  return simulateOverload({ vms: 4, slots: [3, 3, 3, 3, 3, 3], streams, durationMs: 60_000, measuredFromMs: 3_000 })
}

describe('calls under insufficient capacity', function () {
  // Each takes up to five seconds on an idle machine; the timeout only ends a run that hangs.
  this.timeout(120_000)

  // Guards against bulk of a traffic split that takes the slots in which urgent reads were to run.
  it('serves urgent reads before a burst of long bulk', () => {
    const results = simulateBurst()
    expectUrgentFirst(results)
    expectFloor(results)
  })

  // Guards against reads that start in time but wait for most of it.
  itOrKnownRed('has nine tenths of urgent reads on time beside a burst of long bulk', async () => {
    expect(simulateBurst()[0]!.onTime).to.be.above(0.9)
  })

  // Guards against kinds of which the less urgent one is served better, because its requests take less work.
  it('does not serve short requests of a less urgent kind better than urgent ones', () => {
    const streams: Stream[] = [
      { kind: READ, workMs: 150, rateAt: () => 20 },
      { kind: { ...ORDER, weight: 0.5 }, workMs: 50, rateAt: () => 45 }
    ]
    const results = simulateOverload({ vms: 6, slots: Array.from({ length: 10 }, () => 3), streams, durationMs: 15_000, measuredFromMs: 3_000 })
    expectUrgentFirst(results)
    expectFloor(results)
  })

  // Guards against a kind that starves in the failure domain to which demand has moved.
  it('serves kinds by urgency while demand moves between failure domains', () => {
    const wave = (now: number, vm: number) => 1 + 0.55 * Math.sin(2 * Math.PI * (now / 15_000 + vm / 3))
    const streams: Stream[] = [
      { kind: READ, workMs: 90, rateAt: (now, vm) => 5 * wave(now, vm) },
      { kind: ORDER, workMs: 90, rateAt: (now, vm) => 5 * wave(now, vm) },
      { kind: BULK, workMs: 119, rateAt: (now, vm) => 8 * wave(now, vm) }
    ]
    const results = simulateOverload({ vms: 12, slots: Array.from({ length: 12 }, () => 2), streams, durationMs: 18_000, measuredFromMs: 3_000 })
    expectUrgentFirst(results)
    expectFloor(results)
  })

  // Guards against estimates that a quarter of slow upstreams or rare long requests make useless.
  it('serves kinds by urgency on upstreams of two and three slots that slow down in turn', () => {
    const streams: Stream[] = [
      { kind: READ, workMs: 80, rateAt: () => 7 },
      { kind: ORDER, workMs: 80, rateAt: () => 7 },
      { kind: BULK, workMs: 110, rateAt: () => 7 }
    ]
    const slots = Array.from({ length: 12 }, (_, index) => 2 + index % 2)
    const results = simulateOverload({ vms: 8, slots, streams, durationMs: 20_000, measuredFromMs: 3_000, slowdownAt: slowQuarter, longShare: 0.03 })
    expectUrgentFirst(results)
    expectFloor(results)
  })

  // Guards against retries of shed calls that are spent on kinds of little urgency.
  it('serves kinds by urgency while all upstreams shed half of their requests', () => {
    const streams: Stream[] = [
      { kind: READ, workMs: 100, rateAt: () => 10 },
      { kind: ORDER, workMs: 100, rateAt: () => 10 },
      { kind: BULK, workMs: 100, rateAt: () => 10 }
    ]
    const results = simulateOverload({ vms: 6, slots: Array.from({ length: 10 }, () => 3), streams, durationMs: 15_000, measuredFromMs: 3_000, shedShare: 0.5 })
    expectUrgentFirst(results)
    expectFloor(results)
  })

  // Guards against a customer of one request per second that waits behind one of a hundred.
  it('serves small customers at least as well as a large one, and the large one too', () => {
    const results = simulateCustomers()
    expect(results[1]!.answered).to.be.above(results[0]!.answered - SERVICE_TOLERANCE)
    expect(results[2]!.answered).to.be.above(results[0]!.answered - SERVICE_TOLERANCE)
    expectFloor(results)
  })

  // Guards against a large customer whose excess costs a small one its service.
  itOrKnownRed('serves nine tenths of the requests of a small customer beside a large one', async () => {
    expect(simulateCustomers()[1]!.answered).to.be.above(0.9)
  })
})
