import { expect } from 'chai'
import { createUpstreams, Harness, LOOKUP } from './dispatcherHarness.js'
import type { RequestKind } from '../src/types/requestKind.js'

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

  it('is known by a response to a probe or by another VM as well', () => {
    for (const signal of ['probe', 'notice']) {
      const harness = Harness.create(0)
      harness.dispatcher.setUpstreams(withIncarnation(2, STARTED_AT))
      if (signal === 'probe') harness.dispatcher.onProbeSignals('u000', LEAVING)
      else harness.dispatcher.markLeaving('u000', STARTED_AT)
      expect([...sendCalls(harness)]).to.deep.equal(['u001'])
    }
  })
})

describe('an upstream that asks for a pause', () => {
  /** Ends an attempt by a refusal that asks for a pause, as the daemon does. */
  function refuse (harness: Harness, attempt: Harness['started'][number], pauseMs = 1000): void {
    harness.dispatcher.onAttemptSignals(attempt.id, { isLeaving: false, retryAfterMs: pauseMs })
    harness.end(attempt, 'notRun', { report: harness.report(), retryAfterMs: pauseMs })
  }

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
    for (const attempt of inFlight) refuse(harness, attempt)
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

  it('has calls wait that can still be in time after it', () => {
    const harness = Harness.create(1)
    harness.warmUp()
    harness.dispatcher.onProbeSignals('u000', { isLeaving: false, retryAfterMs: 50 })
    const id = harness.submit()
    expect(harness.results.has(id)).to.equal(false)
    harness.advance(60)
    harness.end(harness.attemptOf(id))
    expect(harness.results.get(id)?.kind).to.equal('delivered')
  })
})

const UPSTREAMS = 12
const SLOTS = 3
const WORK_MS = 30
const PAUSE_MS = 1000
/** Requests that were sent before the response may still arrive within this time. */
const GRACE_MS = 500
const READ: RequestKind = { ...LOOKUP, name: 'read', deadlineMs: 600 }

/** A service whose upstreams refuse requests while they pause, called at a fixed rate. */
class PausingService {
  readonly harness = Harness.create(0)
  /** Requests that arrived in each pause, later than the grace time. */
  readonly late: number[] = []
  readonly mostInFlight = new Map<string, number>()
  private readonly pausedUntil = new Map<string, number>()
  private readonly announcedAt = new Map<string, number>()
  private readonly lateByUpstream = new Map<string, number>()
  private handled = 0

  constructor () {
    this.harness.dispatcher.setUpstreams(createUpstreams(UPSTREAMS, SLOTS))
  }

  pause (upstreamId: string): void {
    this.pausedUntil.set(upstreamId, this.harness.clock.now() + PAUSE_MS)
    this.announcedAt.delete(upstreamId)
    this.lateByUpstream.set(upstreamId, 0)
  }

  /** Sends a call every `intervalMs` for `durationMs`; `onStep` runs before each. */
  run (durationMs: number, intervalMs: number, onStep: (atMs: number) => void = () => {}): void {
    for (let atMs = 0; atMs < durationMs; atMs += intervalMs) {
      onStep(atMs)
      this.harness.submit(READ)
      for (let ms = 0; ms < intervalMs; ms++) {
        this.handleArrivals()
        this.harness.advance(1)
        this.handleArrivals()
      }
    }
  }

  mostLate (): number {
    return Math.max(0, ...this.late)
  }

  private readonly endings: Array<{ at: number, attempt: Harness['started'][number] }> = []

  private handleArrivals (): void {
    const now = this.harness.clock.now()
    for (; this.handled < this.harness.started.length; this.handled++) this.onArrival(this.harness.started[this.handled]!, now)
    for (const ending of this.endings.filter(({ at }) => at <= now)) {
      this.endings.splice(this.endings.indexOf(ending), 1)
      this.harness.end(ending.attempt, 'answered', { report: this.harness.report({ slots: SLOTS }) })
    }
    for (const { id, inFlight } of this.harness.dispatcher.snapshot().upstreams) this.mostInFlight.set(id, Math.max(inFlight, this.mostInFlight.get(id) ?? 0))
  }

  private onArrival (attempt: Harness['started'][number], now: number): void {
    const { upstreamId } = attempt
    const until = this.pausedUntil.get(upstreamId) ?? 0
    if (now >= until) return void this.endings.push({ at: now + WORK_MS, attempt })
    const announcedAt = this.announcedAt.get(upstreamId) ?? now
    this.announcedAt.set(upstreamId, announcedAt)
    if (now > announcedAt + GRACE_MS) this.lateByUpstream.set(upstreamId, (this.lateByUpstream.get(upstreamId) ?? 0) + 1)
    this.late.push(this.lateByUpstream.get(upstreamId) ?? 0)
    this.harness.dispatcher.onAttemptSignals(attempt.id, { isLeaving: false, retryAfterMs: until - now })
    this.harness.end(attempt, 'notRun', { report: this.harness.report({ slots: SLOTS }), retryAfterMs: until - now })
  }
}

describe('a service whose upstreams ask for pauses under load', () => {
  /** Half of the requests that the upstreams can run in a second, and nine tenths of them. */
  const LOADS = [{ share: 0.5, intervalMs: 2 }, { share: 0.83, intervalMs: 1 }]

  for (const { share, intervalMs } of LOADS) {
    // Guards against a pause that moves more to the other upstreams than they have slots for.
    it(`keeps the pauses and the slots of the others while they pause by turns, at ${share} of the slots`, () => {
      const service = new PausingService()
      service.run(1000, intervalMs)
      let next = 0
      service.run(6000, intervalMs, atMs => {
        if (atMs % 500 === 0) service.pause(`u${String(next++ % UPSTREAMS).padStart(3, '0')}`)
      })
      const results = [...service.harness.results.values()]
      const delivered = results.filter(({ kind }) => kind === 'delivered').length
      expect(service.mostLate()).to.be.at.most(2)
      expect(Math.max(...service.mostInFlight.values())).to.be.at.most(SLOTS + 1)
      expect(delivered / results.length).to.be.at.least(share < 0.8 ? 0.99 : 0.9)
    })
  }

  // Guards against a flood of requests when the pauses of all upstreams end, and against calls that wait in vain.
  it('refuses calls with a Retry-After while all pause at once, and serves them afterwards', () => {
    const service = new PausingService()
    service.run(1000, 2)
    for (const { id } of createUpstreams(UPSTREAMS)) service.pause(id)
    const before = new Set(service.harness.results.keys())
    service.run(PAUSE_MS, 2)
    const inPause = [...service.harness.results].filter(([id]) => !before.has(id)).map(([, result]) => result)
    const refused = inPause.filter(result => result.kind === 'notRun')
    expect(refused).to.have.length.at.least(100)
    expect(refused.filter(result => result.retryAfterMs === undefined)).to.deep.equal([])
    expect(service.mostLate()).to.be.at.most(2)
    const ended = service.harness.results.size
    service.run(3000, 2)
    const after = [...service.harness.results.values()].slice(ended)
    expect(after.filter(({ kind }) => kind === 'delivered').length / after.length).to.be.at.least(0.95)
    expect(Math.max(...service.mostInFlight.values())).to.be.at.most(SLOTS + 1)
  })
})
