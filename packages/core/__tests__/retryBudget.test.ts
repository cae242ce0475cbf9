import { expect } from 'chai'
import { SeededRandom } from '../src/types/randomSource.js'
import { FEE, Harness, LOOKUP } from './dispatcherHarness.js'

describe('retries and hedges', () => {
  for (const end of ['notRun', 'failed', 'crashed', 'truncated'] as const) {
    // Guards against a retry storm: the bound must hold at every moment of a run in which nothing works.
    it(`stay within a tenth of the calls while every attempt ends ${end}`, () => {
      const harness = Harness.create(6)
      const random = SeededRandom.create(11)
      for (let step = 0; step < 2_000; step++) {
        harness.submit(random.next() < 0.5 ? LOOKUP : FEE)
        harness.advance(random.next() * 5)
        for (const attempt of harness.started.splice(0)) {
          if (random.next() < 0.9) harness.end(attempt, end)
        }
        const { calls, retries, hedges } = harness.dispatcher.snapshot().counters
        expect(retries + hedges).to.be.at.most(calls * 0.1)
      }
      const { retries, hedges } = harness.dispatcher.snapshot().counters
      expect(retries + hedges).to.be.above(50)
    })
  }

  // Guards against a slow upstream that holds an idempotent call although another is idle.
  it('hedges a slow idempotent call elsewhere and cancels the loser', () => {
    const harness = Harness.create(4)
    harness.warmUp()
    const id = harness.submit()
    const first = harness.attemptOf(id)
    harness.advance(10)
    const hedge = harness.attemptOf(id)
    expect(hedge).to.include({ purpose: 'hedge' })
    expect(hedge.upstreamId).to.not.equal(first.upstreamId)
    expect(harness.dispatcher.onAttemptResponding(hedge.id)).to.equal('deliver')
    expect(harness.dispatcher.onAttemptResponding(first.id)).to.equal('discard')
    expect(harness.cancelled).to.deep.equal([{ id: first.id, reason: 'lostHedge' }])
    harness.end(hedge)
    expect(harness.results.get(id)).to.deep.equal({ kind: 'delivered', attemptId: hedge.id })
  })

  // Guards P4: a hedge of a non-idempotent call could run it twice.
  it('never hedges a non-idempotent call', () => {
    const harness = Harness.create(4)
    harness.warmUp()
    const id = harness.submit({ ...FEE, hedgeable: true })
    harness.advance(FEE.deadlineMs)
    expect(harness.started.filter(attempt => attempt.callId === id)).to.have.length(1)
  })

  // Guards against a body that cannot be sent again but is.
  it('neither hedges nor retries a call that is not replayable', () => {
    const harness = Harness.create(4)
    harness.warmUp()
    const id = harness.submit(LOOKUP, { replayable: false })
    harness.advance(20)
    harness.end(harness.attemptOf(id), 'notRun')
    expect(harness.started.filter(attempt => attempt.callId === id)).to.have.length(1)
    expect(harness.results.get(id)).to.deep.equal({ kind: 'notRun', code: 'shed', retryAfterMs: 60 })
  })

  // Guards against a server error that reaches the caller although another upstream can answer, and against one that is lost.
  it('withholds a server error while another attempt is possible and delivers it otherwise', () => {
    const harness = Harness.create(4, { attemptsPerCall: 2 })
    harness.warmUp()
    const id = harness.submit()
    const first = harness.attemptOf(id)
    expect(harness.dispatcher.onAttemptResponding(first.id, { serverError: true })).to.equal('discard')
    harness.end(first, 'answered', { serverError: true })
    const second = harness.attemptOf(id)
    expect(harness.dispatcher.onAttemptResponding(second.id, { serverError: true })).to.equal('deliver')
    harness.end(second, 'answered', { serverError: true })
    expect(harness.results.get(id)).to.deep.equal({ kind: 'delivered', attemptId: second.id })
  })
})
