import { expect } from 'chai'
import { FEE, Harness, LOOKUP } from './dispatcherHarness.js'

const POISON = { fingerprint: 'GET /poison' }

describe('suspect requests', () => {
  // Guards against one request that crashes one upstream after another.
  it('tries a request that crashed an upstream on one more upstream, then refuses it for a minute', () => {
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

  // Guards against a caller that repeats a non-idempotent request which crashes each upstream.
  it('does not retry a non-idempotent suspect request, and refuses it after its caller has sent it twice', () => {
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

  // A crash marks every request in flight at the upstream, so harmless ones must be cleared again.
  it('clears a request whose trial gets a response, and releases the calls parked for it', () => {
    const harness = Harness.create(6)
    harness.warmUp()
    const first = harness.submit(LOOKUP, POISON)
    harness.end(harness.attemptOf(first), 'crashed')
    const parked = harness.submit(LOOKUP, POISON)
    expect(harness.started.some(each => each.callId === parked)).to.equal(false)
    harness.end(harness.attemptOf(first))
    expect(harness.started.some(each => each.callId === parked)).to.equal(true)
    // If the mark were still there, this call would be parked while the previous one is in progress.
    const another = harness.submit(LOOKUP, POISON)
    expect(harness.started.some(each => each.callId === another)).to.equal(true)
  })

  // Guards against a count of fingerprints in place of calls, which hid the calls that wait for one trial.
  it('counts each call parked for a trial as waiting', () => {
    const harness = Harness.create(6)
    harness.warmUp()
    harness.end(harness.attemptOf(harness.submit(LOOKUP, POISON)), 'crashed')
    for (let count = 0; count < 3; count++) harness.submit(LOOKUP, POISON)
    expect(harness.dispatcher.waitingCalls).to.equal(3)
  })

  // Guards against a caller that repeats the request through VMs that learn of the mark late.
  it('passes each mark to the host at once', () => {
    const [one, other] = [Harness.create(6), Harness.create(6)]
    one.warmUp()
    const id = one.submit(LOOKUP, POISON)
    one.end(one.attemptOf(id), 'crashed')
    expect(one.sharedMarks).to.have.length(1)
    one.end(one.attemptOf(id), 'crashed')
    expect(one.sharedMarks).to.have.length(2)
    other.dispatcher.importSuspects(one.sharedMarks)
    expect(other.results.get(other.submit(LOOKUP, POISON))).to.deep.equal({ kind: 'notRun', code: 'suspectRequest' })
  })

  // Guards against refusing requests that were merely in flight beside the trial of a suspect, in either order of ends.
  for (const order of ['suspect first', 'other first']) {
    it(`does not mark a request in flight beside a known suspect: ${order}`, () => {
      const harness = Harness.create(1)
      harness.warmUp()
      harness.dispatcher.importSuspects([{ fingerprint: POISON.fingerprint, upstreamIds: ['elsewhere'], expiresAt: harness.clock.now() + 1_000 }])
      const attempts = [POISON, { fingerprint: 'GET /harmless' }].map(call => harness.attemptOf(harness.submit(LOOKUP, call)))
      if (order === 'other first') attempts.reverse()
      for (const attempt of attempts) harness.end(attempt, 'crashed')
      expect(harness.sharedMarks.map(mark => mark.fingerprint)).to.deep.equal([POISON.fingerprint])
    })
  }

  // Guards against ejections that cost a small service capacity for seconds after one restart of an upstream.
  it('counts a crash with many attempts in flight, and the refused connections after it, as one failure', () => {
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

  // Guards against one request that crashes two upstreams through each VM, and against marks that never expire.
  it('counts crashes observed by other VMs until their marks expire at the origin', () => {
    const [one, other] = [Harness.create(6), Harness.create(6)]
    for (const harness of [one, other]) {
      harness.warmUp()
      const id = harness.submit(FEE, POISON)
      harness.end(harness.attemptOf(id), 'crashed')
    }
    const mark = one.sharedMarks[0]!
    other.dispatcher.importSuspects([{ ...mark, upstreamIds: ['elsewhere'] }])
    expect(other.results.get(other.submit(FEE, POISON))).to.deep.equal({ kind: 'notRun', code: 'suspectRequest' })
    other.advance(60_000)
    other.dispatcher.importSuspects([mark])
    const again = other.submit(FEE, POISON)
    expect(other.started.some(({ callId }) => callId === again)).to.equal(true)
  })
})
