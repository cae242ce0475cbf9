import { expect } from 'chai'
import { ExpectedDelayPicker } from '../src/core/routing/expectedDelayPicker.js'
import { crowdingFactor, uncrowdedSlots, usableSlots } from '../src/core/routing/slotUse.js'
import { DEFAULT_ROUTING_POLICY, type RoutingPolicy } from '../src/types/routingPolicy.js'
import { createUpstreams, Harness, LOOKUP } from './dispatcherHarness.js'

const POLICY: RoutingPolicy = {
  ...DEFAULT_ROUTING_POLICY,
  usableSlotShare: 0.8,
  crowdedTimeFactor: 1.7,
  queueAllowanceCalls: 0,
  holdShare: 0,
  holdExcessPerSlot: 0.15,
  spreadShare: 0
}

const SERVICE_MS = 20
const TARGET_MS = 60

function createFleetOfTwoSlots (count: number): Harness {
  const harness = Harness.create(count, POLICY, ExpectedDelayPicker.create(POLICY))
  harness.warmUp(100, SERVICE_MS)
  for (const { id } of createUpstreams(count)) harness.dispatcher.onProbeReport(id, harness.report({ slots: 2 }))
  return harness
}

describe('the slots used of an upstream that slows down when nearly full', () => {
  it('are all of them where that completes more requests', () => {
    const used = [1, 2, 3, 4, 5, 8].map(slots => usableSlots(slots, POLICY))
    expect(used).to.deep.equal([1, 2, 2, 3, 4, 6])
  })

  it('leave the upstream at full speed up to the policy\'s share', () => {
    expect([1, 2, 3, 4, 5].map(slots => uncrowdedSlots(slots, POLICY))).to.deep.equal([1, 1, 2, 3, 4])
    expect([0, 1, 2].map(running => crowdingFactor(2, running, POLICY))).to.deep.equal([1, 1.7, 1.7])
  })

  // Guards against calls that avoid upstreams as crowded although the VM would let them wait instead.
  it('count as a slowdown only where they are used', () => {
    expect([1, 2, 3].map(running => crowdingFactor(3, running, POLICY))).to.deep.equal([1, 1, 1])
  })

  it('are all of them, at full speed, by default', () => {
    expect(usableSlots(4, DEFAULT_ROUTING_POLICY)).to.equal(4)
    expect(crowdingFactor(4, 5, DEFAULT_ROUTING_POLICY)).to.equal(1)
  })
})

describe('calls at upstreams of two slots', () => {
  // Guards against refusing calls that the second slots would serve in time.
  it('use the second slots of busy upstreams rather than be refused', () => {
    const harness = createFleetOfTwoSlots(3)
    const attemptsBefore = harness.started.length
    for (let calls = 0; calls < 6; calls++) harness.submit(LOOKUP, { targetAt: harness.clock.now() + TARGET_MS })
    expect(harness.started.slice(attemptsBefore)).to.have.length(6)
  })

  // Guards against slowing two calls down while another upstream would run one of them at full speed.
  it('go to idle upstreams first', () => {
    const harness = createFleetOfTwoSlots(3)
    const attemptsBefore = harness.started.length
    for (let calls = 0; calls < 3; calls++) harness.submit()
    const upstreams = harness.started.slice(attemptsBefore).map(({ upstreamId }) => upstreamId)
    expect(new Set(upstreams).size).to.equal(3)
  })
})
