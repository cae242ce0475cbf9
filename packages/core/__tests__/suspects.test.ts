import { expect } from 'chai'
import { FEE, Harness, LOOKUP } from './dispatcherHarness.js'

const POISON = { fingerprint: 'GET /poison' }

describe('suspect requests', () => {
  // Guards against one request that takes down one upstream after the other.
  it('tries a request that crashed an upstream on one more and then refuses it for a minute', () => {
    const harness = Harness.create(6)
    harness.warmUp()
    const first = harness.submit(LOOKUP, POISON)
    harness.end(harness.attemptOf(first), 'crashed')
    const second = harness.attemptOf(first)
    expect(second.purpose).to.equal('retry')
    const parked = harness.submit(LOOKUP, POISON)
    harness.end(second, 'crashed')
    expect(harness.results.get(first)).to.deep.equal({ kind: 'outcomeUnknown', code: 'upstreamFailed' })
    expect(harness.results.get(parked)).to.deep.equal({ kind: 'notRun', code: 'suspectRequest' })
    harness.advance(59_000)
    expect(harness.results.get(harness.submit(LOOKUP, POISON))).to.deep.equal({ kind: 'notRun', code: 'suspectRequest' })
    harness.advance(2_000)
    expect(harness.started).to.include(harness.attemptOf(harness.submit(LOOKUP, POISON)))
    expect(harness.started.filter(each => harness.results.get(each.callId) === undefined)).to.have.length(1)
  })

  // Guards against a caller that repeats a non-idempotent request which crashes every upstream.
  it('does not repeat a non-idempotent one, and refuses it after its caller sent it twice', () => {
    const harness = Harness.create(6)
    harness.warmUp()
    const codes = [1, 2, 3].map(() => {
      const id = harness.submit(FEE, POISON)
      const attempt = harness.started.find(each => each.callId === id)
      if (attempt !== undefined) harness.end(attempt, 'crashed')
      return harness.results.get(id)
    })
    expect(codes).to.deep.equal([
      { kind: 'outcomeUnknown', code: 'upstreamFailed' },
      { kind: 'outcomeUnknown', code: 'upstreamFailed' },
      { kind: 'notRun', code: 'suspectRequest' }
    ])
  })

  // Guards against refusing the innocent: everything in flight on a crashed upstream is marked.
  it('clears a request whose trial is answered and lets its likes go on', () => {
    const harness = Harness.create(6)
    harness.warmUp()
    const first = harness.submit(LOOKUP, POISON)
    harness.end(harness.attemptOf(first), 'crashed')
    const parked = harness.submit(LOOKUP, POISON)
    expect(harness.started.some(each => each.callId === parked)).to.equal(false)
    harness.end(harness.attemptOf(first))
    expect(harness.started.some(each => each.callId === parked)).to.equal(true)
    // With a mark left, it would wait for the one under way.
    const another = harness.submit(LOOKUP, POISON)
    expect(harness.started.some(each => each.callId === another)).to.equal(true)
  })

  // Guards against a caller that repeats the request at VMs that learn of the mark late.
  it('hands every mark to the host at once', () => {
    const [one, other] = [Harness.create(6), Harness.create(6)]
    one.warmUp()
    const id = one.submit(LOOKUP, POISON)
    one.end(one.attemptOf(id), 'crashed')
    expect(one.shared).to.have.length(1)
    one.end(one.attemptOf(id), 'crashed')
    expect(one.shared).to.have.length(2)
    other.dispatcher.importSuspects(one.shared)
    expect(other.results.get(other.submit(LOOKUP, POISON))).to.deep.equal({ kind: 'notRun', code: 'suspectRequest' })
  })

  // Guards against refusing requests that only shared an upstream with the trial of a suspect, whichever end comes first.
  for (const order of ['suspect first', 'other first']) {
    it(`does not mark a request beside a known suspect: ${order}`, () => {
      const harness = Harness.create(1)
      harness.warmUp()
      harness.dispatcher.importSuspects([{ fingerprint: POISON.fingerprint, upstreamIds: ['elsewhere'], expiresAt: harness.clock.now() + 1_000 }])
      const attempts = [POISON, { fingerprint: 'GET /harmless' }].map(call => harness.attemptOf(harness.submit(LOOKUP, call)))
      if (order === 'other first') attempts.reverse()
      for (const attempt of attempts) harness.end(attempt, 'crashed')
      expect(harness.shared.map(mark => mark.fingerprint)).to.deep.equal([POISON.fingerprint])
    })
  }

  // Guards against losing a small service's capacity for seconds to one restart of an upstream.
  it('takes a crash with many attempts in flight and the refusals after it for one failure', () => {
    const harness = Harness.create(6)
    harness.warmUp()
    const ids = Array.from({ length: 24 }, () => harness.submit(FEE))
    const lost = ids.map(id => harness.attemptOf(id)).filter(attempt => attempt.upstreamId === 'u000')
    expect(lost.length).to.be.greaterThan(2)
    for (const attempt of lost) harness.end(attempt, 'crashed')
    harness.advance(20)
    const refused = harness.started.length
    for (let count = 0; count < 12; count++) harness.submit(FEE)
    for (const attempt of harness.started.slice(refused)) {
      if (attempt.upstreamId === 'u000') harness.end(attempt, 'notRun')
    }
    expect(harness.dispatcher.snapshot().counters.ejections).to.equal(0)
  })

  // Guards against each VM losing two upstreams to the same request, and against marks that never expire.
  it('counts crashes that other VMs saw, until they expire at the origin', () => {
    const [one, other] = [Harness.create(6), Harness.create(6)]
    for (const harness of [one, other]) {
      harness.warmUp()
      const id = harness.submit(FEE, POISON)
      harness.end(harness.attemptOf(id), 'crashed')
    }
    const mark = one.shared[0]!
    other.dispatcher.importSuspects([{ ...mark, upstreamIds: ['elsewhere'] }])
    expect(other.results.get(other.submit(FEE, POISON))).to.deep.equal({ kind: 'notRun', code: 'suspectRequest' })
    other.advance(60_000)
    other.dispatcher.importSuspects([mark])
    const again = other.submit(FEE, POISON)
    expect(other.started.some(({ callId }) => callId === again)).to.equal(true)
  })
})
