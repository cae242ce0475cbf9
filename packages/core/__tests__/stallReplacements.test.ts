import { expect } from 'chai'
import type { Attempt } from '../src/types/dispatch.js'
import type { RoutingPolicy } from '../src/types/routingPolicy.js'
import { Harness, LOOKUP } from './dispatcherHarness.js'

const UNHEDGED = { ...LOOKUP, hedgeable: false }

/** Longer than the stall interval after a warm-up with responses of 5 ms. */
const STALLED_AFTER_MS = 70

/** When the first attempt has stalled and a hedge that started beside it has not. */
const FIRST_STALLED_AFTER_MS = 52

/** A call whose first attempt has stalled and was replaced. */
class StalledCall {
  readonly id: number
  readonly first: Attempt

  private constructor (readonly harness: Harness) {
    this.id = harness.submit(UNHEDGED)
    this.first = harness.attemptOf(this.id)
    harness.advance(STALLED_AFTER_MS)
  }

  static create (policy: Partial<RoutingPolicy> = {}): StalledCall {
    const harness = Harness.create(4, policy)
    harness.warmUp()
    return new StalledCall(harness)
  }

  get latest (): Attempt {
    return this.harness.attemptOf(this.id)
  }

  get attempts (): number {
    return this.harness.started.filter(({ callId }) => callId === this.id).length
  }

  get result (): unknown {
    return this.harness.results.get(this.id)
  }
}

describe('the replacement of a stalled attempt', () => {
  // Guards against a call that fails although its first attempt is at work, because the replacement was refused.
  it('does not end the stalled attempt if it is refused', () => {
    const call = StalledCall.create({ attemptsPerCall: 2 })
    expect(call.attempts).to.equal(2)
    call.harness.end(call.latest, 'notRun', { report: call.harness.report() })
    expect(call.result).to.equal(undefined)
    expect(call.harness.cancelled).to.deep.equal([])
    call.harness.end(call.first)
    expect(call.result).to.deep.equal({ kind: 'delivered', attemptId: call.first.id })
  })

  for (const kind of ['notRun', 'failed', 'crashed', 'truncated'] as const) {
    it(`leaves the stalled attempt running if it ends as ${kind}`, () => {
      const call = StalledCall.create({ attemptsPerCall: 2 })
      call.harness.end(call.latest, kind)
      call.harness.advance(10)
      call.harness.end(call.first)
      expect(call.result).to.deep.equal({ kind: 'delivered', attemptId: call.first.id })
    })
  }

  it('is followed by another one if it is refused', () => {
    const call = StalledCall.create({ attemptsPerCall: 3 })
    call.harness.end(call.latest, 'notRun', { report: call.harness.report() })
    call.harness.advance(5)
    expect(call.attempts).to.equal(3)
    expect(call.latest).to.include({ purpose: 'retry', provenConnection: true })
    call.harness.end(call.latest, 'notRun', { report: call.harness.report() })
    call.harness.advance(5)
    expect(call.attempts).to.equal(3)
    expect(call.result).to.equal(undefined)
  })

  it('takes the place of the stalled attempt once it is answered', () => {
    const call = StalledCall.create()
    call.harness.end(call.latest)
    expect(call.harness.cancelled).to.deep.equal([{ id: call.first.id, reason: 'stalled' }])
    expect(call.result).to.deep.equal({ kind: 'delivered', attemptId: call.latest.id })
  })

  it('takes the place of the stalled attempt once its response begins', () => {
    const call = StalledCall.create()
    expect(call.harness.dispatcher.onAttemptResponding(call.latest.id)).to.equal('deliver')
    expect(call.harness.cancelled).to.deep.equal([{ id: call.first.id, reason: 'stalled' }])
    expect(call.harness.dispatcher.onAttemptResponding(call.first.id)).to.equal('discard')
  })

  it('is cancelled if the stalled attempt is answered first', () => {
    const call = StalledCall.create()
    call.harness.end(call.first)
    expect(call.harness.cancelled).to.deep.equal([{ id: call.latest.id, reason: 'lostHedge' }])
    expect(call.result).to.deep.equal({ kind: 'delivered', attemptId: call.first.id })
  })

  it('is replaced in turn once it has stalled as well, within the attempts of a call', () => {
    const call = StalledCall.create({ attemptsPerCall: 3 })
    call.harness.advance(STALLED_AFTER_MS)
    expect(call.attempts).to.equal(3)
    call.harness.advance(LOOKUP.deadlineMs)
    expect(call.attempts).to.equal(3)
    expect(call.result).to.deep.equal({ kind: 'outcomeUnknown', code: 'deadlineExceeded' })
    expect(call.harness.cancelled).to.have.length(3)
  })

  it('spends the retry budget once for each replacement', () => {
    const call = StalledCall.create()
    call.harness.end(call.latest)
    expect(call.harness.dispatcher.snapshot().counters).to.include({ retries: 1, hedges: 0, stalls: 1 })
  })

  it('waits for the retry budget', () => {
    const harness = Harness.create(4, { retryBudgetShare: 0 })
    harness.warmUp()
    const id = harness.submit(UNHEDGED)
    harness.advance(STALLED_AFTER_MS)
    harness.end(harness.attemptOf(id))
    expect(harness.results.get(id)).to.deep.equal({ kind: 'delivered', attemptId: harness.attemptOf(id).id })
    expect(harness.dispatcher.snapshot().counters).to.include({ retries: 0, stalls: 0 })
  })

  // Guards against a server error that is withheld for an attempt that will probably never be answered.
  it('has its server error delivered if only the stalled attempt is left', () => {
    const call = StalledCall.create({ attemptsPerCall: 2 })
    call.harness.end(call.latest, 'answered', { serverError: true })
    expect(call.result).to.deep.equal({ kind: 'delivered', attemptId: call.latest.id })
  })

  // Guards against a dead upstream that goes on to get calls while each of them waits for the answer of its replacement.
  it('counts the stall as a failure of the upstream at once, and once', () => {
    const call = StalledCall.create()
    const errorShare = (): number => call.harness.dispatcher.snapshot().upstreams.find(({ id }) => id === call.first.upstreamId)?.errorShare ?? 0
    expect(errorShare()).to.be.within(0.15, 0.2)
    call.harness.end(call.latest)
    expect(errorShare()).to.be.within(0.15, 0.2)
  })

  // Guards against further calls on connections that the network has dropped, until the replacement is answered.
  it('reports the stall to the host as soon as it starts, and once', () => {
    const call = StalledCall.create()
    expect(call.harness.stalled).to.deep.equal([call.first.id])
    call.harness.end(call.latest)
    expect(call.harness.stalled).to.deep.equal([call.first.id])
  })

  it('frees the slot of a stalled attempt at a dead upstream', () => {
    const call = StalledCall.create()
    call.harness.end(call.latest)
    const [upstream] = call.harness.dispatcher.snapshot().upstreams.filter(({ id }) => id === call.first.upstreamId)
    expect(upstream?.inFlight).to.equal(0)
  })

  it('is started at once if a hedge beside the stalled attempt is refused', () => {
    const harness = Harness.create(4)
    harness.warmUp()
    const id = harness.submit()
    const first = harness.attemptOf(id)
    harness.advance(FIRST_STALLED_AFTER_MS)
    expect(harness.attemptOf(id).purpose).to.equal('hedge')
    harness.end(harness.attemptOf(id), 'notRun', { report: harness.report() })
    harness.advance(5)
    expect(harness.attemptOf(id).purpose).to.equal('retry')
    expect(harness.cancelled).to.deep.equal([])
    harness.end(first)
    expect(harness.results.get(id)).to.deep.equal({ kind: 'delivered', attemptId: first.id })
  })
})
