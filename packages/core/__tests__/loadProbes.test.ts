import { expect } from 'chai'
import { Dispatcher } from '../src/core/dispatch/dispatcher.js'
import { ExpectedDelayPicker } from '../src/core/routing/expectedDelayPicker.js'
import { DEFAULT_ROUTING_POLICY, type RoutingPolicy } from '../src/types/routingPolicy.js'
import { FEE, Harness, LOOKUP, createUpstreams } from './dispatcherHarness.js'
import { SeededRandom } from '../src/types/randomSource.js'

const PROBING = { probeUpstreams: 2, probeReportAgeMs: 50, probeWaitMs: 4, measuringMessagesPerSecond: 1000, measuringMessagesPerUpstreamSecond: 1000, measuringBytesPerSecond: 1e6 }

function createProbing (count: number, policy: Partial<RoutingPolicy> = {}): Harness {
  const fullPolicy = { ...DEFAULT_ROUTING_POLICY, ...PROBING, ...policy }
  return Harness.create(count, fullPolicy, ExpectedDelayPicker.create(fullPolicy))
}

/** Completes every outstanding probe; `timeOf` gives the relative time that an upstream reports. */
function completeProbes (harness: Harness, timeOf: (id: string) => number = () => 1): void {
  for (const id of harness.probes.splice(0)) {
    harness.dispatcher.onProbeReport(id, harness.report({ slots: 4, relativeTime: timeOf(id) }))
  }
}

describe('load probes before a call is sent', () => {
  // Guards against ignoring a probe's report that an upstream has just become slow.
  it('uses the relative time that a probe reports', () => {
    const harness = createProbing(2)
    const id = harness.submit(FEE)
    expect(harness.started).to.deep.equal([])
    expect(harness.probes).to.have.length(1)
    completeProbes(harness, () => 4)
    expect(harness.attemptOf(id).selection.relativeTime).to.be.greaterThan(1)
  })

  it('sends the call to the faster of two upstreams of one failure domain', () => {
    const harness = createProbing(4)
    const id = harness.submit(FEE)
    const slow = harness.probes[0]
    completeProbes(harness, upstream => upstream === slow ? 4 : 1)
    expect(harness.attemptOf(id).upstreamId).not.to.equal(slow)
  })

  // Guards against waiting for, or sending to, an upstream that has become unreachable.
  it('avoids an upstream that does not respond to its probe in time', () => {
    const harness = createProbing(4)
    const id = harness.submit(FEE)
    const [silent, other] = harness.probes.splice(0) as [string, string]
    harness.dispatcher.onProbeReport(other, harness.report({ slots: 4, relativeTime: 2 }))
    expect(harness.started).to.have.length(0)
    harness.advance(PROBING.probeWaitMs + 1)
    expect(harness.attemptOf(id).upstreamId).not.to.equal(silent)
  })

  it('sends no probe while reports are fresh or the budget is exhausted', () => {
    const harness = createProbing(2)
    harness.submit()
    completeProbes(harness)
    harness.submit()
    expect(harness.probes).to.deep.equal([])
    const withoutBudget = createProbing(2, { measuringMessagesPerSecond: 0 })
    const id = withoutBudget.submit()
    expect(withoutBudget.probes).to.deep.equal([])
    expect(withoutBudget.attemptOf(id).purpose).to.equal('first')
  })

  // Guards against many VMs that overload a few upstreams with probes.
  it('limits the probes per upstream and second', () => {
    const harness = createProbing(2, { measuringMessagesPerUpstreamSecond: 3 })
    for (let calls = 0; calls < 40; calls++) {
      harness.submit()
      completeProbes(harness)
      harness.advance(60)
    }
    const seconds = 40 * 60 / 1000
    const { counters } = harness.dispatcher.snapshot()
    expect(counters.probes).to.be.within(6, 2 * 3 * (seconds + 1))
  })

  // Guards against a call that waits although an upstream that was not probed yet has a free slot.
  it('probes further upstreams while those probed so far are full', () => {
    const harness = createProbing(12, { usableSlotShare: 0.8, queueAllowanceCalls: 0, holdShare: 0, holdExcessPerSlot: 0.15 })
    const first = harness.submit(FEE)
    completeProbes(harness)
    expect(harness.attemptOf(first).purpose).to.equal('first')
    harness.advance(60)
    const id = harness.submit(FEE)
    const free = 'u010'
    for (let rounds = 0; rounds < 6 && harness.started.length < 2; rounds++) {
      for (const upstream of harness.probes.splice(0)) {
        harness.dispatcher.onProbeReport(upstream, harness.report({ slots: 4, inFlight: upstream === free ? 0 : 4, queued: upstream === free ? 0 : 4 }))
      }
    }
    expect(harness.attemptOf(id).upstreamId).to.equal(free)
  })

  // Guards against sending a call whose caller disconnected while the call waited for its probes.
  it('drops a call whose caller disconnects while the probes are under way', () => {
    const harness = createProbing(2)
    const id = harness.submit()
    harness.dispatcher.cancelCall(id)
    completeProbes(harness)
    harness.advance(10)
    expect(harness.started).to.deep.equal([])
  })

  // Guards against an upstream that stays in use after a probe could not reach it.
  it('backs off from an upstream that a probe cannot reach', () => {
    const harness = createProbing(2)
    const id = harness.submit()
    harness.dispatcher.onProbeFailed(harness.probes[0] as string)
    expect(harness.attemptOf(id).upstreamId).not.to.equal(harness.probes[0])
  })
})

describe('use of an upstream\'s slots', () => {
  // Guards against filling an upstream until all its requests slow down, and against queueing at the upstream.
  it('fills the configured share and queues further calls in the VM', () => {
    const policy = { usableSlotShare: 0.8, queueAllowanceCalls: 0, holdShare: 0, holdExcessPerSlot: 0.15 }
    const harness = Harness.create(1, policy, ExpectedDelayPicker.create({ ...DEFAULT_ROUTING_POLICY, ...policy }))
    for (let i = 0; i < 5; i++) harness.submit()
    expect(harness.started).to.have.length(3)
    expect(harness.dispatcher.snapshot().queued).to.equal(2)
  })

  // Guards against calls that queue at full upstreams, where they are late, because the VM's own attempts fill the rest.
  it('holds calls back from full upstreams that run none of its attempts', () => {
    const policy = { usableSlotShare: 0.8, queueAllowanceCalls: 0, holdShare: 0, holdExcessPerSlot: 0.15 }
    const harness = Harness.create(3, policy, ExpectedDelayPicker.create({ ...DEFAULT_ROUTING_POLICY, ...policy }))
    for (const { id } of createUpstreams(3)) harness.dispatcher.onProbeReport(id, harness.report({ slots: 2, inFlight: 0 }))
    harness.submit()
    const [running] = harness.started
    for (const { id } of createUpstreams(3).filter(({ id }) => id !== running?.upstreamId)) {
      harness.dispatcher.onProbeReport(id, harness.report({ slots: 2, inFlight: 2, queued: 2 }))
    }
    harness.submit()
    expect(harness.started).to.have.length(1)
    expect(harness.dispatcher.snapshot().queued).to.equal(1)
  })
})

describe('failure domains', () => {
  function pickedUpstreams (responseBytes: number): string {
    const policy = { ...DEFAULT_ROUTING_POLICY, crossDomainCostMs: 15, crossDomainCostPerKilobyteMs: 3 }
    const started: string[] = []
    const dispatcher = Dispatcher.create({
      service: 's', vmId: 'vm0', clock: { now: () => 0 }, random: SeededRandom.create(1), picker: ExpectedDelayPicker.create(policy), policy, failureDomain: 'domain1',
      port: { startAttempt: ({ upstreamId }) => started.push(upstreamId), cancelAttempt: () => {}, finishCall: () => {} }
    })
    dispatcher.setUpstreams(createUpstreams(2))
    for (let id = 1; id <= 6; id++) {
      dispatcher.submit({ id, kind: LOOKUP, arrivedAt: 0, deadlineAt: 1000, fingerprint: `f${id}`, replayable: true })
      if (id === 1) dispatcher.onAttemptEnd(1, { kind: 'answered', bytes: responseBytes })
    }
    return started.join(' ')
  }

  // Guards against avoidable traffic between failure domains; large responses make crossing more expensive.
  it('keeps calls with large responses in the own failure domain although its upstream queues', () => {
    expect(pickedUpstreams(90_000)).to.equal('u001 u001 u001 u001 u001 u001')
  })
})

describe('calls with a target', () => {
  // Guards against calls that keep waiting when they can no longer meet their target and so delay calls that can.
  it('are refused with a retry-after time once they would miss it', () => {
    const harness = Harness.create(1, { queueAllowanceCalls: 0, holdShare: 0 })
    harness.warmUp(100, 20)
    for (let i = 0; i < 4; i++) harness.submit()
    const id = harness.submit(LOOKUP, { targetAt: harness.clock.now() + 60 })
    harness.advance(60)
    expect(harness.results.get(id)).to.include({ kind: 'notRun', code: 'deadlineUnreachable' })
    expect(harness.results.get(id)).to.have.property('retryAfterMs').that.is.within(20, 70)
  })

  it('are not refused for a target that is out of reach even without waiting', () => {
    const harness = Harness.create(1, { queueAllowanceCalls: 0, holdShare: 0 })
    harness.warmUp(100, 20)
    for (let i = 0; i < 4; i++) harness.submit()
    const id = harness.submit(LOOKUP, { targetAt: harness.clock.now() + 10 })
    harness.advance(60)
    expect(harness.results.has(id)).to.equal(false)
  })
})
