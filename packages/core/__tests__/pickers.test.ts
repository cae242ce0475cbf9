import { expect } from 'chai'
import { ExpectedDelayPicker } from '../src/core/routing/expectedDelayPicker.js'
import { SlotSharePicker } from '../src/core/routing/slotSharePicker.js'
import type { PickContext, UpstreamView } from '../src/types/picker.js'
import { SeededRandom } from '../src/types/randomSource.js'
import { Harness, LOOKUP, createUpstreams } from './dispatcherHarness.js'

const CONTEXT: PickContext = {
  now: 1_000,
  random: SeededRandom.create(3),
  kind: LOOKUP,
  runningAttempts: 1,
  entryCount: 6,
  entryRank: 0,
  avoidedDomains: new Set()
}

function view (index: number, fields: Partial<UpstreamView> = {}): UpstreamView {
  return {
    upstream: createUpstreams(index + 1)[index]!,
    inFlight: 0,
    slots: 4,
    report: undefined,
    inFlightAtReport: 0,
    serviceTimeMs: 5,
    errorShare: 0,
    warmth: 1,
    slotShare: 1,
    ...fields
  }
}

function report (inFlight: number, receivedAt: number, queued = 0): UpstreamView['report'] {
  return { inFlight, queued, draining: false, receivedAt }
}

const PICKERS = { ExpectedDelayPicker: ExpectedDelayPicker.create(), SlotSharePicker: SlotSharePicker.create() }

interface Choice {
  readonly name: string
  readonly views: UpstreamView[]
  /** Index of the expected view; undefined if the call should wait. */
  readonly expected: number | undefined
}

const CHOICES: Choice[] = [
  { name: 'the upstream with a free slot in its own share', views: [view(0, { inFlight: 1 }), view(1)], expected: 1 },
  { name: 'the faster of two idle upstreams', views: [view(0, { serviceTimeMs: 9 }), view(1)], expected: 1 },
  { name: 'the upstream without errors', views: [view(0, { errorShare: 0.3 }), view(1)], expected: 1 },
  {
    name: 'the upstream that was just reported free',
    views: [view(0, { slotShare: 0, report: report(4, 999) }), view(1, { slotShare: 0, report: report(0, 999) })],
    expected: 1
  },
  {
    name: 'none while every upstream is full and attempts of this VM are under way',
    views: [0, 1].map(index => view(index, { inFlight: 3, inFlightAtReport: 3, report: report(4, 1_000, 8) })),
    expected: undefined
  }
]

describe('pickers', () => {
  // Guards against an upstream that is never used and so never reports: it could drain without any VM noticing.
  // An upstream that is much slower than the others is not refreshed.
  const silent: Array<[string, number, number]> = [['equally fast', 5, 1], ['four times slower', 20, 0]]
  for (const [name, serviceTimeMs, expected] of silent) {
    it(`ExpectedDelayPicker ${expected === 1 ? 'refreshes' : 'does not refresh'} an upstream with an old report that is ${name}`, () => {
      const now = 10_000
      const views = [view(0, { report: report(0, now - 1) }), view(1, { report: report(2, now - 2_000), serviceTimeMs })]
      expect(ExpectedDelayPicker.create().pick(views, { ...CONTEXT, now })).to.equal(views[expected])
    })
  }

  for (const [name, picker] of Object.entries(PICKERS)) {
    for (const choice of CHOICES) {
      // Guards against a cost estimate that ignores one of its inputs.
      it(`${name} picks ${choice.name}`, () => {
        const expected = choice.expected === undefined ? undefined : choice.views[choice.expected]
        expect(picker.pick(choice.views, CONTEXT)).to.equal(expected)
      })
    }

    // Guards against a call that keeps waiting: without attempts under way, no end of an attempt would resume it.
    it(`${name} picks a full upstream when this VM has no attempt under way`, () => {
      const full = [0, 1].map(index => view(index, { report: report(4, 1_000, 4) }))
      expect(picker.pick(full, CONTEXT)).to.not.equal(undefined)
    })
  }

  // Guards against herding: six VMs without load reports must not pick the same slots.
  it('spread the first calls of six VMs evenly over the upstreams', () => {
    const load = new Map<string, number>()
    for (let rank = 0; rank < 6; rank++) {
      const harness = Harness.create(6)
      harness.dispatcher.setEntryPosition(rank, 6)
      for (let call = 0; call < 4; call++) harness.submit()
      for (const attempt of harness.started) load.set(attempt.upstreamId, (load.get(attempt.upstreamId) ?? 0) + 1)
    }
    expect([...load.values()]).to.deep.equal([4, 4, 4, 4, 4, 4])
  })
})

describe('ExpectedDelayPicker at an upstream that has just joined', () => {
  const joined = view(1, { warmth: 0.1, serviceTimeMs: undefined, slotShare: 0 })

  // Guards against a new upstream that stays idle because it is assumed to be as loaded as the others.
  it('picks it when the others have long queues', () => {
    const loaded = view(0, { inFlight: 1, inFlightAtReport: 1, report: report(4, 1_000, 20) })
    expect(ExpectedDelayPicker.create().pick([loaded, joined], CONTEXT)).to.equal(joined)
  })

  // Guards against sending to a cold upstream while warm ones have room.
  it('does not pick it while others have free slots', () => {
    const free = view(0, { slotShare: 0, inFlight: 1, inFlightAtReport: 1, report: report(2, 1_000) })
    expect(ExpectedDelayPicker.create().pick([free, joined], CONTEXT)).to.equal(free)
  })
})

describe('ExpectedDelayPicker under overload', () => {
  // Guards against idle slots: if all VMs held their calls back, no response would carry the load report they wait for.
  it('does not hold calls back while this VM uses less than its share of the slots', () => {
    const full = (inFlight: number) => [0, 1].map(index => view(index, {
      inFlight,
      inFlightAtReport: inFlight,
      slotShare: 2,
      report: report(4, 1_000, 9 + inFlight)
    }))
    const picker = ExpectedDelayPicker.create()
    expect(picker.pick(full(1), CONTEXT)).to.not.equal(undefined)
    expect(picker.pick(full(2), CONTEXT)).to.equal(undefined)
  })

  // Guards against a VM that loses slots to the others by holding back a burst, and against one that keeps sending
  // under overload.
  it('holds calls back at a short queue only during a sustained backlog and shortly after it', () => {
    const busy = [0, 1].map(index => view(index, { inFlight: 3, inFlightAtReport: 3, report: report(4, 1_000, 2) }))
    const picker = ExpectedDelayPicker.create()
    expect(picker.pick(busy, { ...CONTEXT, backlogMs: 10 })).to.not.equal(undefined)
    expect(picker.pick(busy, { ...CONTEXT, backlogMs: 16 })).to.equal(undefined)
    expect(picker.pick(busy, { ...CONTEXT, backlogMs: 0 })).to.equal(undefined)
    const fresh = busy.map(each => ({ ...each, report: report(4, 1_201, 2) }))
    expect(picker.pick(fresh, { ...CONTEXT, now: 1_201, backlogMs: 0 })).to.not.equal(undefined)
  })
})
