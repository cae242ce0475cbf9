import { expect } from 'chai'
import { AdaptiveLimit } from '../src/core/limits/adaptiveLimit.js'
import { ProbeBudget } from '../src/core/limits/probeBudget.js'
import { ExpectedDelayPicker } from '../src/core/routing/expectedDelayPicker.js'
import type { Picker } from '../src/types/picker.js'
import { DEFAULT_ROUTING_POLICY } from '../src/types/routingPolicy.js'
import { expectedExcess } from '../src/utils/expectedExcess.js'
import { LatencyHistogram } from '../src/utils/latencyHistogram.js'
import { TimerQueue, type Timer } from '../src/utils/timerQueue.js'
import { SeededRandom } from '../src/types/randomSource.js'
import { Harness, createUpstreams } from './dispatcherHarness.js'

describe('limits', () => {
  // Guards against overloading or starving an upstream that does not report how many requests it runs at once.
  it('converge to the capacity of an upstream that does not report its slots', () => {
    for (const capacity of [2, 8, 24]) {
      const limit = AdaptiveLimit.create(DEFAULT_ROUTING_POLICY)
      const random = SeededRandom.create(capacity)
      for (let step = 0; step < 3_000; step++) {
        const noise = 0.2 + 1.6 * random.next()
        limit.onLatency(5 * noise * Math.max(1, limit.calls / capacity), limit.calls, DEFAULT_ROUTING_POLICY)
      }
      expect(limit.calls).to.be.within(capacity, capacity * 3 + 4, `capacity ${capacity}`)
    }
  })

  // Guards against a VM that opens more than its share of an upstream's connections.
  it('divide the connections of an upstream among the entry VMs', () => {
    const harness = Harness.create(0)
    harness.dispatcher.setUpstreams(createUpstreams(1, 200))
    harness.dispatcher.setEntryPosition(0, 6)
    expect(harness.dispatcher.snapshot().upstreams[0]?.limit).to.equal(41)
  })

  // Probes must stay within the budget even if a picker asks for one to every upstream on every call.
  it('bound load probes in messages and bytes', () => {
    const eager: Picker = {
      pick: (candidates, context) => ExpectedDelayPicker.create().pick(candidates, context),
      selectProbeTargets: candidates => candidates.map(each => each.upstream.id)
    }
    const harness = Harness.create(10, {}, eager)
    for (let step = 0; step < 1_000; step++) {
      harness.warmUp(1, 10)
    }
    const seconds = 10
    expect(harness.probes.length).to.be.within(seconds * 10, (seconds + 1) * 10)
    const budget = ProbeBudget.create(DEFAULT_ROUTING_POLICY, 0)
    budget.setUpstreamCount(10)
    const large = Array.from({ length: 10 }, () => budget.trySpend(1_500, 0)).filter(Boolean)
    expect(large).to.have.length(2)
  })
})

describe('TimerQueue', () => {
  // Guards against timers that run out of order, more than once or after cancellation.
  it('runs due timers in order and skips cancelled ones', () => {
    const random = SeededRandom.create(5)
    const queue = TimerQueue.create()
    const ran: number[] = []
    const timers: Timer[] = []
    for (let index = 0; index < 500; index++) {
      const at = Math.floor(random.next() * 1_000)
      timers.push(queue.schedule(at, () => ran.push(at)))
    }
    const cancelled = timers.filter((_, index) => index % 3 === 0)
    for (const timer of cancelled) queue.cancel(timer)
    queue.runDue(600)
    const expected = timers.filter((timer, index) => index % 3 !== 0 && timer.at <= 600).map(timer => timer.at).sort((one, other) => one - other)
    expect(ran).to.deep.equal(expected)
    expect(queue.size).to.equal(timers.length - cancelled.length - expected.length)
  })

  // Guards against a deadline timer that fires although an earlier timer of the same tick finished the call.
  it('does not run a timer cancelled by an earlier timer of the same tick', () => {
    const queue = TimerQueue.create()
    let ran = 0
    queue.schedule(1, () => queue.cancel(later))
    const later = queue.schedule(2, () => ran++)
    queue.runDue(5)
    expect(ran).to.equal(0)
  })
})

describe('statistics', () => {
  // Guards against hedging at a wrong quantile and against a histogram that never discards old samples.
  it('give quantiles to the precision of a bucket and follow a change', () => {
    const histogram = LatencyHistogram.create(1_000)
    for (let value = 1; value <= 900; value++) histogram.add(value / 10)
    expect(histogram.quantile(0.95)).to.be.within(85.5, 85.5 * 1.08)
    for (let index = 0; index < 10_000; index++) histogram.add(5)
    expect(histogram.quantile(0.95)).to.be.within(5, 5.4)
  })

  // Guards against an inaccurate approximation; the exact values are 0.3989, 1.0833 and 0.0833.
  it('give the expected excess of a normally distributed load', () => {
    expect(expectedExcess(0, 1)).to.be.closeTo(0.3989, 0.01)
    expect(expectedExcess(1, 1)).to.be.closeTo(1.0833, 0.02)
    expect(expectedExcess(-1, 1)).to.be.closeTo(0.0833, 0.02)
    expect(expectedExcess(2, 0)).to.equal(2)
  })
})
