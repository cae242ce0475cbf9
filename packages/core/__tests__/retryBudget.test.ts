import { expect } from 'chai'
import type { AttemptEnd } from '../src/types/dispatch.js'
import { RetryBudget } from '../src/core/limits/retryBudget.js'
import { SeededRandom } from '../src/types/randomSource.js'
import { DEFAULT_ROUTING_POLICY } from '../src/types/routingPolicy.js'
import { FEE, Harness, LOOKUP } from './dispatcherHarness.js'

describe('retries and hedges', () => {
  interface StormCase {
    readonly end: AttemptEnd['kind']
    /** Whether a load report comes with the end: with a refused request it does, with a refused connection it does not. */
    readonly isReported: boolean
    /** Retries and hedges that the run must exceed to exercise the budget; lower for refusals, which backoff limits too. */
    readonly minExtraAttempts: number
  }

  const STORMS: readonly StormCase[] = [
    { end: 'notRun', isReported: true, minExtraAttempts: 30 },
    { end: 'notRun', isReported: false, minExtraAttempts: 30 },
    { end: 'failed', isReported: false, minExtraAttempts: 50 },
    { end: 'crashed', isReported: false, minExtraAttempts: 50 },
    { end: 'truncated', isReported: false, minExtraAttempts: 50 }
  ]

  for (const { end, isReported, minExtraAttempts } of STORMS) {
    // Guards against a retry storm: the bound must hold at every moment of a run in which every attempt fails.
    it(`stay within a tenth of the calls while every attempt ends ${end}${isReported ? ' with a report' : ''}`, () => {
      const harness = Harness.create(6)
      const random = SeededRandom.create(11)
      for (let step = 0; step < 2_000; step++) {
        harness.submit(random.next() < 0.5 ? LOOKUP : FEE)
        harness.advance(random.next() * 5)
        for (const attempt of harness.started.splice(0)) {
          if (random.next() < 0.9) harness.end(attempt, end, isReported ? { report: harness.report() } : {})
        }
        const { calls, retries, hedges } = harness.dispatcher.snapshot().counters
        expect(retries + hedges).to.be.at.most(calls * 0.1)
      }
      const { retries, hedges } = harness.dispatcher.snapshot().counters
      expect(retries + hedges).to.be.above(minExtraAttempts)
    })
  }

  // Guards against an idempotent call that waits for a slow upstream although another one is idle.
  it('hedges a slow idempotent call at another upstream and cancels the loser', () => {
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

  // A hedge could run a non-idempotent call twice.
  it('never hedges a non-idempotent call', () => {
    const harness = Harness.create(4)
    harness.warmUp()
    const id = harness.submit({ ...FEE, hedgeable: true })
    harness.advance(FEE.deadlineMs)
    expect(harness.started.filter(attempt => attempt.callId === id)).to.have.length(1)
  })

  // Guards against a second attempt whose body is no longer available.
  it('neither hedges nor retries a call that is not replayable', () => {
    const harness = Harness.create(4)
    harness.warmUp()
    const id = harness.submit(LOOKUP, { replayable: false })
    harness.advance(20)
    harness.end(harness.attemptOf(id), 'notRun')
    expect(harness.started.filter(attempt => attempt.callId === id)).to.have.length(1)
    expect(harness.results.get(id)).to.deep.equal({ kind: 'notRun', code: 'shed', retryAfterMs: 60 })
  })

  // Guards against a call that waits until its deadline for a budget that other calls use up.
  it('ends a call at once if the budget does not cover its retry', () => {
    const harness = Harness.create(6)
    const shed = harness.submit(FEE)
    harness.end(harness.attemptOf(shed), 'notRun', { report: harness.report() })
    expect(harness.results.get(shed)).to.include({ kind: 'notRun', code: 'shed' })
    const failed = harness.submit(LOOKUP)
    harness.end(harness.attemptOf(failed), 'failed')
    expect(harness.results.get(failed)).to.deep.equal({ kind: 'outcomeUnknown', code: 'upstreamFailed' })
  })

  // Guards against retries that keep waiting for a free slot after others have used up the budget.
  it('ends calls that wait to be retried once the budget is used up', () => {
    const harness = Harness.create(1, { retryBudgetCalls: 2 })
    harness.warmUp(40)
    const calls = Array.from({ length: 4 }, () => harness.submit(FEE))
    for (const id of calls) harness.end(harness.attemptOf(id), 'notRun', { report: harness.report() })
    expect(calls.filter(id => harness.results.has(id))).to.deep.equal([])
    harness.advance(60)
    expect(harness.started.filter(({ purpose }) => purpose === 'retry')).to.have.length(2)
    expect(calls.filter(id => harness.results.has(id))).to.have.length(2)
  })

  // Guards against giving up a call although the next calls earn its retry within milliseconds.
  it('predicts how soon the next retry is earned', () => {
    const budget = RetryBudget.create(DEFAULT_ROUTING_POLICY)
    for (let call = 0; call < 15; call++) budget.onCall(call)
    expect(budget.canRetry()).to.equal(true)
    budget.spend()
    expect(budget.expectedWaitMs()).to.be.closeTo(5, 0.1)
  })

  // Guards against a server error that is delivered although another upstream can respond, and against one that is never
  // delivered.
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
