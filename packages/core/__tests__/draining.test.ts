import { expect } from 'chai'
import { createUpstreams, Harness } from './dispatcherHarness.js'

const DRAINING_ID = 'u000'

interface Signal {
  readonly name: string
  send (harness: Harness): void
}

const SIGNALS: Signal[] = [
  {
    name: 'the control store',
    send: harness => harness.dispatcher.setUpstreams(createUpstreams(2).map(each => each.id === DRAINING_ID ? { ...each, state: 'leaving' } : each))
  },
  {
    name: 'a report on a response',
    send: harness => harness.end(harness.started.find(each => each.upstreamId === DRAINING_ID)!, 'answered', { report: harness.report({ draining: true }) })
  },
  { name: 'a probe', send: harness => harness.dispatcher.onProbeReport(DRAINING_ID, harness.report({ draining: true })) }
]

describe('draining', () => {
  for (const { name, send } of SIGNALS) {
    // An upstream that drains must get no new attempts, and those in progress there must not be cancelled.
    it(`stops new work at once on notice by ${name}, and lets running attempts end`, () => {
      const harness = Harness.create(2)
      const ids = Array.from({ length: 6 }, () => harness.submit())
      send(harness)
      const startedBefore = harness.started.length
      for (let step = 0; step < 10; step++) harness.submit()
      expect(harness.started.slice(startedBefore).filter(each => each.upstreamId === DRAINING_ID)).to.deep.equal([])
      expect(harness.cancelled).to.deep.equal([])
      const remaining = harness.started.find(each => each.upstreamId === DRAINING_ID && !harness.results.has(each.callId))!
      harness.end(remaining)
      expect(harness.results.get(remaining.callId)?.kind).to.equal('delivered')
      expect(ids).to.include(remaining.callId)
      expect(harness.dispatcher.snapshot().upstreams.find(({ id }) => id === DRAINING_ID)).to.include({ draining: true })
    })
  }

  // Guards against trial calls to an ejected upstream that is leaving the service.
  it('sends no trial calls to an ejected upstream that is leaving', () => {
    const harness = Harness.create(2, { ejectionCapacityShare: 1 })
    harness.warmUp()
    for (let i = 0; i < 8; i++) harness.submit()
    for (const attempt of harness.started.filter(each => !harness.results.has(each.callId))) {
      harness.end(attempt, attempt.upstreamId === DRAINING_ID ? 'failed' : 'answered')
    }
    expect(harness.dispatcher.snapshot().upstreams.find(({ id }) => id === DRAINING_ID)).to.include({ ejected: true })
    harness.dispatcher.setUpstreams(createUpstreams(2).map(each => each.id === DRAINING_ID ? { ...each, state: 'leaving' } : each))
    const startedBefore = harness.started.length
    harness.advance(5_000)
    for (let i = 0; i < 20; i++) {
      harness.submit()
      for (const attempt of [...harness.started]) harness.end(attempt)
      harness.advance(200)
    }
    expect(harness.started.length).to.be.greaterThan(startedBefore + 10)
    expect(harness.started.slice(startedBefore).filter(each => each.upstreamId === DRAINING_ID)).to.deep.equal([])
  })
})
