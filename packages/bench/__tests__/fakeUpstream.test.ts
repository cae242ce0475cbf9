import type { AttemptEnd } from '@cowsliplead/core/types/dispatch.js'
import { expect } from 'chai'
import { FakeUpstream, type Job } from '../src/core/decisions/fakeUpstream.js'
import { LOAD_MIX, SHAPES } from '../src/core/decisions/loadMix.js'
import { planUpstreams } from '../src/core/decisions/upstreamPlans.js'
import type { PlannedCall, UpstreamPlan } from '../src/types/decisions.js'
import { EventQueue } from '../src/utils/eventQueue.js'

const LOOKUP = LOAD_MIX[0]!
const ISSUE = LOAD_MIX[2]!

function createUpstream (overrides: Partial<UpstreamPlan> = {}) {
  const events = EventQueue.create()
  events.runUntil(0)
  const runs: number[] = []
  const ends: { id: number, at: number, end: AttemptEnd }[] = []
  const plan = { ...planUpstreams(SHAPES[0]!, 1, 0)[0]!, ...overrides }
  const upstream = FakeUpstream.create(plan, events, call => runs.push(call.id), () => {})
  const send = (id: number, options: { deadlineAt?: number, crashes?: boolean, load?: typeof LOOKUP } = {}): Job => {
    const call: PlannedCall = {
      id,
      arrivesAt: 0,
      load: options.load ?? LOOKUP,
      entry: 0,
      workMs: 10,
      fingerprint: '',
      crashesUpstream: options.crashes ?? false,
      measured: true
    }
    const respond = (end: AttemptEnd): void => void ends.push({ id, at: events.now(), end })
    const job: Job = { call, workMs: 10, deadlineAt: options.deadlineAt ?? 1000, respond, state: 'new' }
    upstream.receive(job)
    return job
  }
  return { events, upstream, runs, ends, send }
}

describe('FakeUpstream', () => {
  // Guards against more capacity than the slots provide, which would make every policy look good.
  it('runs as many requests at once as it has slots, the rest in order of arrival', () => {
    const { events, runs, ends, send } = createUpstream()
    for (let id = 0; id < 6; id += 1) send(id)
    expect(runs).to.deep.equal([0, 1, 2, 3])
    events.runUntil(100)
    expect(ends.map(({ id, at }) => [id, at])).to.deep.equal([[0, 10], [1, 10], [2, 10], [3, 10], [4, 20], [5, 20]])
  })

  // Guards against "not run" responses for work that ran, and against expired work that occupies slots.
  it('refuses queued requests whose deadline has passed without running them', () => {
    const { events, runs, ends, send } = createUpstream()
    for (let id = 0; id < 4; id += 1) send(id)
    send(4, { deadlineAt: 5 })
    events.runUntil(100)
    expect(runs).to.not.include(4)
    expect(ends.find(({ id }) => id === 4)!.end.kind).to.equal('notRun')
  })

  // Guards against cancelled hedges that cost nothing or never free their slot.
  it('frees the slot of a cancelled request immediately only if its kind is cancellable', () => {
    const { events, upstream, send } = createUpstream()
    const lookup = send(0)
    const issue = send(1, { load: ISSUE })
    upstream.cancel(lookup)
    upstream.cancel(issue)
    expect(upstream.running).to.equal(1)
    events.runUntil(100)
    expect(upstream.running).to.equal(0)
  })

  const refusals: [string, Partial<UpstreamPlan>, number][] = [
    ['draining', { drainFrom: 0 }, 1],
    ['not yet joined', { joinAt: 50 }, 1],
    ['full', { slots: 1 }, 10]
  ]
  for (const [name, overrides, requestCount] of refusals) {
    // Guards against refusals that are counted as runs.
    it(`responds "not run" while ${name}`, () => {
      const { runs, ends, send } = createUpstream(overrides)
      for (let id = 0; id < requestCount; id += 1) send(id)
      expect(ends.at(-1)!.end.kind).to.equal('notRun')
      expect(runs).to.not.include(requestCount - 1)
    })
  }

  // Guards against a crash that leaves other requests running, and a crashed upstream that answers.
  it('loses all its requests in a crash and refuses connections until it has restarted', () => {
    const { events, ends, send } = createUpstream()
    send(0)
    send(1, { crashes: true })
    events.runUntil(3)
    expect(ends.map(({ id, end }) => [id, end.kind])).to.deep.equal([[0, 'crashed'], [1, 'crashed']])
    send(2)
    expect(ends.at(-1)!.end.kind).to.equal('notRun')
    events.runUntil(300)
    send(3)
    events.runUntil(400)
    expect(ends.at(-1)!.end.kind).to.equal('answered')
  })

  // Guards against plans of late or misleading reports that have no effect.
  it('reports its load accurately, late, always empty or always full, as planned', () => {
    const reportOf = (overrides: Partial<UpstreamPlan>, at: number): number => {
      const { events, upstream, send } = createUpstream(overrides)
      for (let id = 0; id < 3; id += 1) send(id)
      events.runUntil(at)
      return upstream.report().inFlight
    }
    expect(reportOf({}, 1)).to.equal(3)
    expect(reportOf({ reportLagMs: 500 }, 1)).to.equal(0)
    expect(reportOf({ reportLagMs: 500 }, 505)).to.equal(3)
    expect(reportOf({ reportMode: 'alwaysEmpty' }, 1)).to.equal(0)
    expect(reportOf({ reportMode: 'alwaysFull' }, 20)).to.equal(4)
  })
})
