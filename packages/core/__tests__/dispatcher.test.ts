import { expect } from 'chai'
import type { AttemptEnd, CallResult } from '../src/types/dispatch.js'
import type { RequestKind } from '../src/types/requestKind.js'
import { FEE, Harness, LOOKUP } from './dispatcherHarness.js'

interface EndCase {
  readonly kind: RequestKind
  readonly end: AttemptEnd['kind']
  readonly retried: boolean
  /** Result once no retry is left. */
  readonly result: CallResult['kind']
}

const END_CASES: EndCase[] = [
  { kind: LOOKUP, end: 'notRun', retried: true, result: 'notRun' },
  { kind: LOOKUP, end: 'failed', retried: true, result: 'outcomeUnknown' },
  { kind: LOOKUP, end: 'crossed', retried: true, result: 'outcomeUnknown' },
  { kind: LOOKUP, end: 'truncated', retried: true, result: 'outcomeUnknown' },
  { kind: LOOKUP, end: 'unsigned', retried: true, result: 'outcomeUnknown' },
  { kind: LOOKUP, end: 'crashed', retried: true, result: 'outcomeUnknown' },
  { kind: FEE, end: 'notRun', retried: true, result: 'notRun' },
  { kind: FEE, end: 'failed', retried: false, result: 'outcomeUnknown' },
  { kind: FEE, end: 'crossed', retried: false, result: 'outcomeUnknown' },
  { kind: FEE, end: 'truncated', retried: false, result: 'outcomeUnknown' },
  { kind: FEE, end: 'unsigned', retried: false, result: 'outcomeUnknown' },
  { kind: FEE, end: 'crashed', retried: false, result: 'outcomeUnknown' }
]

describe('Dispatcher', () => {
  // Guards against a call that is submitted but never gets a result.
  it('delivers the response of the first attempt', () => {
    const harness = Harness.create(3)
    const id = harness.submit()
    const attempt = harness.attemptOf(id)
    expect(harness.dispatcher.onAttemptResponding(attempt.id)).to.equal('deliver')
    harness.end(attempt)
    expect(harness.results.get(id)).to.deep.equal({ kind: 'delivered', attemptId: attempt.id })
    expect(harness.dispatcher.snapshot().running).to.equal(0)
  })

  for (const { kind, end, retried, result } of END_CASES) {
    // A call that may have run must not be reported as not run, nor be retried if it is not idempotent.
    it(`${retried ? 'retries' : 'does not retry'} a ${kind.name} call whose attempt ended as ${end}`, () => {
      const harness = Harness.create(4)
      harness.warmUp()
      const id = harness.submit(kind)
      const first = harness.attemptOf(id)
      harness.end(first, end)
      const second = harness.attemptOf(id)
      expect(second.id !== first.id).to.equal(retried)
      if (!retried) return expect(harness.results.get(id)?.kind).to.equal(result)
      expect(second.upstreamId).to.not.equal(first.upstreamId)
      harness.end(second, end)
      harness.end(harness.attemptOf(id), end)
      expect(harness.results.get(id)?.kind).to.equal(result)
    })
  }

  // Guards against the result "not run" for a call of which an earlier attempt may have run.
  it('reports an unknown outcome if a failed attempt is followed by one that did not run', () => {
    const harness = Harness.create(4, { attemptsPerCall: 2 })
    harness.warmUp()
    const id = harness.submit()
    harness.end(harness.attemptOf(id), 'failed')
    harness.end(harness.attemptOf(id), 'notRun')
    expect(harness.results.get(id)).to.deep.equal({ kind: 'outcomeUnknown', code: 'upstreamFailed' })
  })

  // Guards against calls that continue after their deadline, and against the result "not run" for one that was sent.
  it('finishes calls at their deadline', () => {
    const harness = Harness.create(1, { queueAllowanceCalls: 0 })
    const ids = Array.from({ length: 5 }, () => harness.submit(FEE))
    harness.advance(FEE.deadlineMs)
    const kinds = ids.map(id => harness.results.get(id)?.kind)
    expect(kinds).to.deep.equal(['outcomeUnknown', 'outcomeUnknown', 'outcomeUnknown', 'outcomeUnknown', 'notRun'])
    expect(harness.cancelled.map(each => each.reason)).to.deep.equal(Array(4).fill('deadline'))
  })

  // Guards against attempts that continue after their caller has disconnected.
  it('cancels the attempts of a caller that disconnected', () => {
    const harness = Harness.create(2)
    const id = harness.submit()
    harness.dispatcher.cancelCall(id)
    expect(harness.cancelled).to.deep.equal([{ id: harness.attemptOf(id).id, reason: 'callerLeft' }])
    expect(harness.results.get(id)).to.deep.equal({ kind: 'cancelled' })
  })

  // Guards against exceeding an upstream's slots, and against queued calls that are never started.
  it('queues calls beyond the limits and starts them when a slot becomes free', () => {
    const harness = Harness.create(1)
    const ids = Array.from({ length: 8 }, () => harness.submit())
    expect(harness.started.length).to.be.within(4, 5)
    const before = harness.started.length
    harness.clock.advance(5)
    harness.end(harness.started[0]!)
    expect(harness.started.length).to.equal(before + 1)
    expect(harness.results.get(ids[0]!)?.kind).to.equal('delivered')
  })
})
