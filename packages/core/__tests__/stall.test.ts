import { expect } from 'chai'
import type { Call } from '../src/types/dispatch.js'
import { FEE, Harness, LOOKUP } from './dispatcherHarness.js'

/** Time limit of 2 s. */
const LONG = { ...LOOKUP, hedgeable: false, deadlineMs: 2_000 }

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

  /** Submits a call whose response begins at once. */
  function respond (harness: Harness, fields: Partial<Call> = {}): { readonly id: number, readonly attemptId: number } {
    const id = harness.submit(LONG, fields)
    const attemptId = harness.attemptOf(id).id
    harness.dispatcher.onAttemptResponding(attemptId)
    return { id, attemptId }
  }

  // Guards against a caller that is kept waiting beyond the time limit by an upstream that falls silent in the middle.
  it('ends a response at the time limit, and not before, if its upstream is silent', () => {
    const harness = Harness.create(4)
    const { id, attemptId } = respond(harness)
    harness.advance(LONG.deadlineMs - 1)
    expect(harness.results.has(id)).to.equal(false)
    harness.advance(1)
    expect(harness.cancelled).to.deep.equal([{ id: attemptId, reason: 'deadline' }])
    expect(harness.results.get(id)).to.deep.equal({ kind: 'outcomeUnknown', code: 'deadlineExceeded' })
  })

  // Guards against a response that is broken off while its last bytes arrive, and against one that goes on for ever.
  it('lets a response that makes progress end shortly after the time limit', () => {
    const harness = Harness.create(4)
    const flowing = respond(harness)
    const ending = respond(harness)
    for (let elapsedMs = 50; elapsedMs <= LONG.deadlineMs + 150; elapsedMs += 50) {
      harness.advance(50)
      for (const { attemptId } of [flowing, ending]) harness.dispatcher.onAttemptProgress(attemptId)
    }
    harness.end(harness.attemptOf(ending.id))
    expect(harness.results.get(ending.id)).to.deep.equal({ kind: 'delivered', attemptId: ending.attemptId })
    expect(harness.results.has(flowing.id)).to.equal(false)
    harness.advance(50)
    expect(harness.results.get(flowing.id)).to.deep.equal({ kind: 'outcomeUnknown', code: 'deadlineExceeded' })
  })

  // Guards against ending a response sooner than the operator has set because its caller has said that it waits less long.
  it('does not end a response at the deadline of its caller', () => {
    const harness = Harness.create(4)
    const { id } = respond(harness, { deadlineAt: harness.clock.now() + LONG.deadlineMs / 2 })
    harness.advance(LONG.deadlineMs - 1)
    expect(harness.results.has(id)).to.equal(false)
    harness.advance(1)
    expect(harness.results.has(id)).to.equal(true)
  })

  // Guards against a response that is ended within its time limit although bytes arrive, or never, once they do not.
  it('ends a stalled response where the time limit is longer than the stall timeout', () => {
    const harness = Harness.create(4)
    const id = harness.submit({ ...LONG, deadlineMs: 60_000 })
    harness.dispatcher.onAttemptResponding(harness.attemptOf(id).id)
    for (let step = 0; step < 30; step++) {
      harness.advance(1_000)
      harness.dispatcher.onAttemptProgress(harness.attemptOf(id).id)
    }
    expect(harness.results.has(id)).to.equal(false)
    harness.advance(10_000)
    expect(harness.results.get(id)).to.deep.equal({ kind: 'outcomeUnknown', code: 'answerTruncated' })
  })
})
