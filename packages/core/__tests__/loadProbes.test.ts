import { expect } from 'chai'
import { Dispatcher } from '../src/core/dispatch/dispatcher.js'
import { ExpectedDelayPicker } from '../src/core/routing/expectedDelayPicker.js'
import { DEFAULT_ROUTING_POLICY, type RoutingPolicy } from '../src/types/routingPolicy.js'
import { FEE, Harness, LOOKUP, upstreams } from './dispatcherHarness.js'
import { SeededRandom } from '../src/types/randomSource.js'

const PROBING = { probeUpstreams: 2, probeReportAgeMs: 50, probeWaitMs: 4, measuringMessagesPerSecond: 1000, measuringMessagesPerUpstreamSecond: 1000, measuringBytesPerSecond: 1e6 }

function createProbing (count: number, policy: Partial<RoutingPolicy> = {}): Harness {
  const numbers = { ...DEFAULT_ROUTING_POLICY, ...PROBING, ...policy }
  return Harness.create(count, numbers, ExpectedDelayPicker.create(numbers))
}

/** Answers every probe that was sent; `timeOf` gives the relative time of an upstream. */
function answerProbes (harness: Harness, timeOf: (id: string) => number = () => 1): void {
  for (const id of harness.probes.splice(0)) {
    harness.dispatcher.onProbeReport(id, harness.report({ slots: 4, relativeTime: timeOf(id) }))
  }
}

describe('load probes before a call is sent', () => {
  // Guards against a call that is sent to an upstream whose machine has just become slow.
  it('sends the call to the upstream that is fast now', () => {
    const harness = createProbing(2)
    const id = harness.submit(FEE)
    expect(harness.started).to.deep.equal([])
    expect(harness.probes).to.have.length(1)
    answerProbes(harness, () => 4)
    expect(harness.attemptOf(id).basis.relativeTime).to.be.greaterThan(1)
  })

  it('compares the upstreams of one failure domain', () => {
    const harness = createProbing(4)
    const id = harness.submit(FEE)
    const slow = harness.probes[0]
    answerProbes(harness, upstream => upstream === slow ? 4 : 1)
    expect(harness.attemptOf(id).upstreamId).not.to.equal(slow)
  })

  // Guards against calls that wait for an upstream that has vanished, and against sending them there.
  it('goes on without the answer of an upstream that is silent, and elsewhere', () => {
    const harness = createProbing(4)
    const id = harness.submit(FEE)
    const [silent, other] = harness.probes.splice(0) as [string, string]
    harness.dispatcher.onProbeReport(other, harness.report({ slots: 4, relativeTime: 2 }))
    expect(harness.started).to.have.length(0)
    harness.advance(PROBING.probeWaitMs + 1)
    expect(harness.attemptOf(id).upstreamId).not.to.equal(silent)
  })

  it('sends no probe while reports are fresh, and none beyond the budget', () => {
    const harness = createProbing(2)
    harness.submit()
    answerProbes(harness)
    harness.submit()
    expect(harness.probes).to.deep.equal([])
    const poor = createProbing(2, { measuringMessagesPerSecond: 0 })
    const id = poor.submit()
    expect(poor.probes).to.deep.equal([])
    expect(poor.attemptOf(id).purpose).to.equal('first')
  })

  // Guards against many VMs that ask few upstreams so often that they do little else.
  it('sends each upstream no more probes than its share', () => {
    const harness = createProbing(2, { measuringMessagesPerUpstreamSecond: 3 })
    for (let calls = 0; calls < 40; calls++) {
      harness.submit()
      answerProbes(harness)
      harness.advance(60)
    }
    const seconds = 40 * 60 / 1000
    const { counters } = harness.dispatcher.snapshot()
    expect(counters.probes).to.be.within(6, 2 * 3 * (seconds + 1))
  })

  // Guards against a call that waits although an upstream that was not asked yet has a free slot.
  it('asks further upstreams while those that were asked are full', () => {
    const harness = createProbing(12, { usableSlotShare: 0.8, queueAllowanceCalls: 0, holdShare: 0, holdExcessPerSlot: 0.15 })
    const first = harness.submit(FEE)
    answerProbes(harness)
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

  // Guards against a call that is sent although its caller has left while it waited for probes.
  it('drops a call whose caller leaves meanwhile', () => {
    const harness = createProbing(2)
    const id = harness.submit()
    harness.dispatcher.cancelCall(id)
    answerProbes(harness)
    harness.advance(10)
    expect(harness.started).to.deep.equal([])
  })

  // Guards against a probe that finds nobody and leaves its upstream in use.
  it('backs off from an upstream that a probe does not reach', () => {
    const harness = createProbing(2)
    const id = harness.submit()
    harness.dispatcher.onProbeLost(harness.probes[0] as string)
    expect(harness.attemptOf(id).upstreamId).not.to.equal(harness.probes[0])
  })
})

describe('use of an upstream\'s slots', () => {
  // Guards against filling upstreams up to the point where all their work becomes slow, and against queueing there.
  it('uses the configured share and keeps further calls in the VM', () => {
    const policy = { usableSlotShare: 0.8, queueAllowanceCalls: 0, holdShare: 0, holdExcessPerSlot: 0.15 }
    const harness = Harness.create(1, policy, ExpectedDelayPicker.create({ ...DEFAULT_ROUTING_POLICY, ...policy }))
    for (let i = 0; i < 5; i++) harness.submit()
    expect(harness.started).to.have.length(3)
    expect(harness.dispatcher.snapshot().queued).to.equal(2)
  })
})

describe('failure domains', () => {
  function chosen (answerBytes: number): string {
    const policy = { ...DEFAULT_ROUTING_POLICY, crossDomainCostMs: 15, crossDomainCostPerKilobyteMs: 3 }
    const started: string[] = []
    const dispatcher = Dispatcher.create({
      service: 's', vmId: 'vm0', clock: { now: () => 0 }, random: SeededRandom.create(1), picker: ExpectedDelayPicker.create(policy), policy, failureDomain: 'domain1',
      port: { startAttempt: ({ upstreamId }) => started.push(upstreamId), cancelAttempt: () => {}, finishCall: () => {} }
    })
    dispatcher.setUpstreams(upstreams(2))
    for (let id = 1; id <= 6; id++) {
      dispatcher.submit({ id, kind: LOOKUP, arrivedAt: 0, deadlineAt: 1000, fingerprint: `f${id}`, replayable: true })
      if (id === 1) dispatcher.onAttemptEnd(1, { kind: 'answered', bytes: answerBytes })
    }
    return started.join(' ')
  }

  // Guards against answers, large ones above all, that cross between failure domains without need.
  it('stay in the own one while it has room, the longer the larger the answers are', () => {
    expect(chosen(90_000)).to.equal('u001 u001 u001 u001 u001 u001')
  })
})

describe('calls with a target', () => {
  // Guards against calls that wait until they can only be answered late, in place of others that could be on time.
  it('are refused once they would miss it, with the time after which to come back', () => {
    const harness = Harness.create(1, { queueAllowanceCalls: 0, holdShare: 0 })
    harness.warmUp(100, 20)
    for (let i = 0; i < 4; i++) harness.submit()
    const id = harness.submit(LOOKUP, { targetAt: harness.clock.now() + 60 })
    harness.advance(60)
    expect(harness.results.get(id)).to.include({ kind: 'notRun', code: 'deadlineUnreachable' })
    expect(harness.results.get(id)).to.have.property('retryAfterMs').that.is.within(20, 70)
  })

  it('are not refused for a target that no upstream can meet', () => {
    const harness = Harness.create(1, { queueAllowanceCalls: 0, holdShare: 0 })
    harness.warmUp(100, 20)
    for (let i = 0; i < 4; i++) harness.submit()
    const id = harness.submit(LOOKUP, { targetAt: harness.clock.now() + 10 })
    harness.advance(60)
    expect(harness.results.has(id)).to.equal(false)
  })
})
