import { expect } from 'chai'
import { ExpectedDelayPicker } from '../src/core/routing/expectedDelayPicker.js'
import { SlotSharePicker } from '../src/core/routing/slotSharePicker.js'
import type { PickContext, UpstreamView } from '../src/types/picker.js'
import { SeededRandom } from '../src/types/randomSource.js'
import { Harness, LOOKUP, upstreams } from './dispatcherHarness.js'

const CONTEXT: PickContext = {
  now: 1_000,
  random: SeededRandom.create(3),
  kind: LOOKUP,
  entryCount: 6,
  entryRank: 0,
  avoidDomains: new Set()
}

function view (index: number, fields: Partial<UpstreamView> = {}): UpstreamView {
  return {
    upstream: upstreams(index + 1)[index]!,
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
  /** Index of the view to expect, or undefined for waiting. */
  readonly expected: number | undefined
}

const CHOICES: Choice[] = [
  { name: 'the free slot of its own share', views: [view(0, { inFlight: 1 }), view(1)], expected: 1 },
  { name: 'the faster of two idle ones', views: [view(0, { serviceTimeMs: 9 }), view(1)], expected: 1 },
  { name: 'the one without errors', views: [view(0, { errorShare: 0.3 }), view(1)], expected: 1 },
  {
    name: 'the one that was reported free just now',
    views: [view(0, { slotShare: 0, report: report(4, 999) }), view(1, { slotShare: 0, report: report(0, 999) })],
    expected: 1
  },
  {
    name: 'none while every upstream is full and own work is under way',
    views: [0, 1].map(index => view(index, { inFlight: 3, inFlightAtReport: 3, report: report(4, 1_000, 8) })),
    expected: undefined
  }
]

describe('pickers', () => {
  // Guards against an upstream that nobody hears from: it could drain without any VM noticing. A slow one is no choice.
  const silent: Array<[string, number, number]> = [['of the same speed', 5, 1], ['four times as slow', 20, 0]]
  for (const [name, serviceTimeMs, expected] of silent) {
    it(`ExpectedDelayPicker ${expected === 1 ? 'refreshes' : 'leaves alone'} a silent upstream ${name}`, () => {
      const now = 10_000
      const views = [view(0, { report: report(0, now - 1) }), view(1, { report: report(2, now - 2_000), serviceTimeMs })]
      expect(ExpectedDelayPicker.create().pick(views, { ...CONTEXT, now })).to.equal(views[expected])
    })
  }

  for (const [name, picker] of Object.entries(PICKERS)) {
    for (const choice of CHOICES) {
      // Guards against an estimate that ignores one of its inputs.
      it(`${name} takes ${choice.name}`, () => {
        const expected = choice.expected === undefined ? undefined : choice.views[choice.expected]
        expect(picker.pick(choice.views, CONTEXT)).to.equal(expected)
      })
    }

    // Guards against a call that waits although nothing will wake it.
    it(`${name} sends when nothing of this VM is under way`, () => {
      const full = [0, 1].map(index => view(index, { report: report(4, 1_000, 4) }))
      expect(picker.pick(full, CONTEXT)).to.not.equal(undefined)
    })
  }

  // Guards against herding: six VMs that know nothing of each other must not pick the same slots.
  it('spread the first calls of six VMs so that no upstream is overrun', () => {
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

  // Guards against a newcomer that stays idle because it is taken to be as loaded as the rest.
  it('uses it where the others have long queues', () => {
    const loaded = view(0, { inFlight: 1, inFlightAtReport: 1, report: report(4, 1_000, 20) })
    expect(ExpectedDelayPicker.create().pick([loaded, joined], CONTEXT)).to.equal(joined)
  })

  // Guards against sending to a cold upstream while warm ones have room.
  it('leaves it alone while others have free slots', () => {
    const free = view(0, { slotShare: 0, inFlight: 1, inFlightAtReport: 1, report: report(2, 1_000) })
    expect(ExpectedDelayPicker.create().pick([free, joined], CONTEXT)).to.equal(free)
  })
})

describe('ExpectedDelayPicker under overload', () => {
  // Guards against idle slots: VMs that all hold their calls for a report would wait for answers that nobody's calls bring.
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

  // Guards against a VM that holds a burst back while the others take the slots, and against sending on under overload.
  it('holds calls back at a short queue only while a backlog lasts or lasted a moment ago', () => {
    const busy = [0, 1].map(index => view(index, { inFlight: 3, inFlightAtReport: 3, report: report(4, 1_000, 2) }))
    const picker = ExpectedDelayPicker.create()
    expect(picker.pick(busy, { ...CONTEXT, backlogMs: 10 })).to.not.equal(undefined)
    expect(picker.pick(busy, { ...CONTEXT, backlogMs: 16 })).to.equal(undefined)
    expect(picker.pick(busy, { ...CONTEXT, backlogMs: 0 })).to.equal(undefined)
    const fresh = busy.map(each => ({ ...each, report: report(4, 1_201, 2) }))
    expect(picker.pick(fresh, { ...CONTEXT, now: 1_201, backlogMs: 0 })).to.not.equal(undefined)
  })
})
