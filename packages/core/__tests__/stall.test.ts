import { expect } from 'chai'
import { FEE, Harness, LOOKUP } from './dispatcherHarness.js'

const UNHEDGED = { ...LOOKUP, hedgeable: false }

describe('stalls', () => {
  // Guards against a call that waits until its deadline on a connection whose state a network device has dropped.
  it('retries a stalled idempotent call on a proven connection before its deadline', () => {
    const harness = Harness.create(4)
    harness.warmUp()
    const id = harness.submit(UNHEDGED)
    const first = harness.attemptOf(id)
    harness.advance(70)
    const replacement = harness.attemptOf(id)
    expect(replacement).to.include({ purpose: 'retry', provenConnection: true })
    expect(harness.cancelled).to.deep.equal([])
    harness.end(replacement)
    expect(harness.cancelled).to.deep.equal([{ id: first.id, reason: 'stalled' }])
    expect(harness.results.get(id)).to.deep.equal({ kind: 'delivered', attemptId: replacement.id })
  })

  // Guards against interrupting a response that arrives slowly but steadily.
  it('does not treat an attempt that makes progress as stalled', () => {
    const harness = Harness.create(4)
    harness.warmUp()
    const id = harness.submit(UNHEDGED)
    for (let step = 0; step < 6; step++) {
      harness.advance(25)
      harness.dispatcher.onAttemptProgress(harness.attemptOf(id).id)
    }
    expect(harness.cancelled).to.deep.equal([])
  })

  // A stalled connection may have carried the request, so a non-idempotent call must not be sent again.
  it('does not retry a stalled non-idempotent call', () => {
    const harness = Harness.create(4)
    harness.warmUp()
    const id = harness.submit(FEE)
    expect(harness.attemptOf(id).provenConnection).to.equal(true)
    harness.advance(FEE.deadlineMs)
    expect(harness.started.filter(attempt => attempt.callId === id)).to.have.length(1)
    expect(harness.results.get(id)).to.deep.equal({ kind: 'outcomeUnknown', code: 'deadlineExceeded' })
  })

  // Guards against a long download that is cut off at its deadline, and against one that hangs forever.
  it('lets a response in progress exceed its deadline but ends it once it stalls', () => {
    const harness = Harness.create(4)
    const id = harness.submit()
    harness.dispatcher.onAttemptResponding(harness.attemptOf(id).id)
    harness.advance(LOOKUP.deadlineMs + 1_000)
    expect(harness.results.has(id)).to.equal(false)
    harness.advance(10_000)
    expect(harness.results.get(id)).to.deep.equal({ kind: 'outcomeUnknown', code: 'answerTruncated' })
  })
})
