import { expect } from 'chai'
import { upstreams, Harness } from './dispatcherHarness.js'

const LEAVER = 'u000'

interface Signal {
  readonly name: string
  give (harness: Harness): void
}

const SIGNALS: Signal[] = [
  {
    name: 'the registry',
    give: harness => harness.dispatcher.setUpstreams(upstreams(2).map(each => each.id === LEAVER ? { ...each, state: 'leaving' } : each))
  },
  {
    name: 'a report on a response',
    give: harness => harness.end(harness.started.find(each => each.upstreamId === LEAVER)!, 'answered', { report: harness.report({ draining: true }) })
  },
  { name: 'a probe', give: harness => harness.dispatcher.onProbeReport(LEAVER, harness.report({ draining: true })) }
]

describe('draining', () => {
  for (const { name, give } of SIGNALS) {
    // Guards P5 and P6.
    it(`stops new work at once when told by ${name}, and lets attempts end`, () => {
      const harness = Harness.create(2)
      const ids = Array.from({ length: 6 }, () => harness.submit())
      give(harness)
      const before = harness.started.length
      for (let step = 0; step < 10; step++) harness.submit()
      expect(harness.started.slice(before).filter(each => each.upstreamId === LEAVER)).to.deep.equal([])
      expect(harness.cancelled).to.deep.equal([])
      const rest = harness.started.find(each => each.upstreamId === LEAVER && !harness.results.has(each.callId))!
      harness.end(rest)
      expect(harness.results.get(rest.callId)?.kind).to.equal('delivered')
      expect(ids).to.include(rest.callId)
      expect(harness.dispatcher.snapshot().upstreams.find(({ id }) => id === LEAVER)).to.include({ draining: true })
    })
  }

  // Guards P5: trial calls went to an ejected upstream that was leaving (DRAIN in a hunt, trouble-1 --seed 1015723599747).
  it('sends no trial calls to an ejected upstream that leaves', () => {
    const harness = Harness.create(2, { ejectionCapacityShare: 1 })
    harness.warmUp()
    for (let i = 0; i < 8; i++) harness.submit()
    for (const attempt of harness.started.filter(each => !harness.results.has(each.callId))) {
      harness.end(attempt, attempt.upstreamId === LEAVER ? 'failed' : 'answered')
    }
    expect(harness.dispatcher.snapshot().upstreams.find(({ id }) => id === LEAVER)).to.include({ ejected: true })
    harness.dispatcher.setUpstreams(upstreams(2).map(each => each.id === LEAVER ? { ...each, state: 'leaving' } : each))
    const before = harness.started.length
    harness.advance(5_000)
    for (let i = 0; i < 20; i++) {
      harness.submit()
      for (const attempt of [...harness.started]) harness.end(attempt)
      harness.advance(200)
    }
    expect(harness.started.length).to.be.greaterThan(before + 10)
    expect(harness.started.slice(before).filter(each => each.upstreamId === LEAVER)).to.deep.equal([])
  })
})
