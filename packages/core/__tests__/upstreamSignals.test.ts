import { expect } from 'chai'
import { createUpstreams, Harness } from './dispatcherHarness.js'
import { deliveredShare, PAUSE_MS, PausingService, refuse, SLOTS, UPSTREAMS } from './pausingService.js'

const LEAVING = { isLeaving: true, retryAfterMs: undefined }
const PAUSE = { isLeaving: false, retryAfterMs: 1000 }
const STARTED_AT = 1_700_000_000_000

function withIncarnation (count: number, incarnation: number): ReturnType<typeof createUpstreams> {
  return createUpstreams(count).map(upstream => ({ ...upstream, incarnation }))
}

describe('an upstream that says that it is leaving', () => {
  function leavingHarness (): Harness {
    const harness = Harness.create(0)
    harness.dispatcher.setUpstreams(withIncarnation(2, STARTED_AT))
    harness.warmUp()
    for (let index = 0; index < 4; index++) harness.submit()
    const attempt = harness.started.findLast(({ upstreamId }) => upstreamId === 'u000')!
    harness.dispatcher.onAttemptSignals(attempt.id, LEAVING)
    harness.end(attempt)
    harness.started.length = 0
    return harness
  }

  function sendCalls (harness: Harness): Set<string> {
    for (let index = 0; index < 6; index++) harness.submit()
    return new Set(harness.started.map(({ upstreamId }) => upstreamId))
  }

  // Guards against a drain that ends after a fixed time, or with an entry that a restored store still holds.
  it('gets no new work any more, not after a long time nor after its entry was missing', () => {
    const harness = leavingHarness()
    harness.advance(120_000)
    expect([...sendCalls(harness)]).to.deep.equal(['u001'])
    harness.dispatcher.setUpstreams(withIncarnation(2, STARTED_AT).slice(1))
    harness.dispatcher.setUpstreams(withIncarnation(2, STARTED_AT))
    harness.advance(1000)
    expect([...sendCalls(harness)]).to.deep.equal(['u001'])
  })

  it('gets work again once it has started anew', () => {
    const harness = leavingHarness()
    harness.advance(1000)
    harness.dispatcher.setUpstreams(withIncarnation(2, STARTED_AT + 1))
    expect(sendCalls(harness)).to.include('u000')
  })

  // Guards against a late response of the process before that takes the one now registered out of use.
  it('does not take out of use the process that started in its place', () => {
    const harness = Harness.create(0)
    harness.dispatcher.setUpstreams(withIncarnation(1, STARTED_AT))
    const id = harness.submit()
    harness.dispatcher.setUpstreams(withIncarnation(1, STARTED_AT + 1))
    harness.dispatcher.onAttemptSignals(harness.attemptOf(id).id, LEAVING)
    expect(harness.dispatcher.snapshot().upstreams[0]).to.include({ draining: false, leaving: false })
  })
})

describe('an upstream that asks for a pause', () => {
  // Guards against a pause that the short backoff after a refusal, or a later and shorter request, replaces.
  it('gets no requests until the longest pause ends', () => {
    const harness = Harness.create(2)
    harness.warmUp()
    for (let index = 0; index < 4; index++) harness.submit()
    const [first, second] = harness.started.filter(({ upstreamId, callId }) => upstreamId === 'u000' && !harness.results.has(callId))
    refuse(harness, first!, 2000)
    refuse(harness, second!, 100)
    const from = harness.started.length
    harness.advance(1900)
    for (let index = 0; index < 6; index++) harness.submit()
    expect(harness.started.slice(from).filter(({ upstreamId }) => upstreamId === 'u000')).to.deep.equal([])
    harness.advance(200)
    for (let index = 0; index < 6; index++) harness.submit()
    expect(harness.started.slice(from).filter(({ upstreamId }) => upstreamId === 'u000')).not.to.have.length(0)
  })

  // Guards against trial calls to an ejected upstream in its pause.
  it('gets no trial calls', () => {
    const harness = Harness.create(2, { ejectionCapacityShare: 1 })
    harness.warmUp()
    for (let index = 0; index < 8; index++) harness.submit()
    for (const attempt of harness.started.filter(({ callId }) => !harness.results.has(callId))) harness.end(attempt, attempt.upstreamId === 'u000' ? 'failed' : 'answered')
    expect(harness.dispatcher.snapshot().upstreams[0]).to.include({ ejected: true })
    harness.dispatcher.onProbeSignals('u000', { isLeaving: false, retryAfterMs: 5000 })
    const from = harness.started.length
    for (let index = 0; index < 45; index++) {
      harness.submit()
      for (const attempt of [...harness.started]) harness.end(attempt)
      harness.advance(100)
    }
    expect(harness.started.length).to.be.greaterThan(from + 20)
    expect(harness.started.slice(from).filter(({ upstreamId }) => upstreamId === 'u000')).to.deep.equal([])
  })

  // Guards against an ejection by the refusals of requests that were in flight when the pause began.
  it('is not ejected for the refusals of one pause', () => {
    const harness = Harness.create(4)
    harness.warmUp()
    for (let index = 0; index < 16; index++) harness.submit()
    const inFlight = harness.started.filter(({ upstreamId, callId }) => upstreamId === 'u000' && !harness.results.has(callId))
    expect(inFlight).to.have.length.at.least(3)
    for (const attempt of inFlight) refuse(harness, attempt, 1000)
    expect(harness.dispatcher.snapshot().upstreams[0]).to.include({ ejected: false, failures: 0 })
  })

  // Guards against calls that wait until their deadlines for upstreams that are all paused.
  it('has waiting and new calls refused at once, with the time until the first pause ends, if all do', () => {
    const harness = Harness.create(2, { queueAllowanceCalls: 0 })
    harness.warmUp()
    for (let index = 0; index < 12; index++) harness.submit()
    harness.dispatcher.onProbeSignals('u000', PAUSE)
    harness.advance(10)
    harness.dispatcher.onProbeSignals('u001', PAUSE)
    const refused = [...harness.results.values()].filter(({ kind }) => kind === 'notRun')
    expect(refused).to.have.length(4)
    expect(refused.at(-1)).to.deep.equal({ kind: 'notRun', code: 'rateLimited', retryAfterMs: 990 })
    expect(harness.results.get(harness.submit())).to.deep.equal({ kind: 'notRun', code: 'rateLimited', retryAfterMs: 990 })
  })
})

describe('a service whose upstreams ask for pauses under load', () => {
  // Guards against a pause that moves more to the other upstreams than they have slots for.
  it('keeps the pauses and the slots of the others while they pause by turns', () => {
    const service = new PausingService()
    service.run(1000, 2)
    let next = 0
    const results = service.run(6000, 2, atMs => {
      if (atMs % 500 === 0) service.pause(`u${String(next++ % UPSTREAMS).padStart(3, '0')}`)
    })
    expect(service.mostLate).to.be.at.most(2)
    expect(service.mostInFlight).to.be.at.most(SLOTS + 1)
    expect(deliveredShare(results)).to.be.at.least(0.99)
  })

  // Guards against a flood of requests when the pauses of all upstreams end, and against calls that wait in vain.
  it('refuses calls with a Retry-After while all pause at once, and serves them afterwards', () => {
    const service = new PausingService()
    service.run(1000, 2)
    for (const { id } of createUpstreams(UPSTREAMS)) service.pause(id)
    const refused = service.run(PAUSE_MS, 2).filter(result => result.kind === 'notRun')
    expect(refused).to.have.length.at.least(100)
    expect(refused.filter(result => result.retryAfterMs === undefined)).to.deep.equal([])
    expect(service.mostLate).to.be.at.most(2)
    expect(deliveredShare(service.run(3000, 2))).to.be.at.least(0.95)
    expect(service.mostInFlight).to.be.at.most(SLOTS + 1)
  })
})
