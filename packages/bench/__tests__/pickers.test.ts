import { expect } from 'chai'
import type { PickContext, Picker, UpstreamView } from '@cowsliplead/core/types/picker.js'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import { LeastLocalPicker } from '../src/core/pickers/leastLocalPicker.js'
import { ProbePoolPicker } from '../src/core/pickers/probePoolPicker.js'
import { RandomPicker } from '../src/core/pickers/randomPicker.js'
import { ReportedTwoChoicesPicker } from '../src/core/pickers/reportedTwoChoicesPicker.js'
import { RoundRobinPicker } from '../src/core/pickers/roundRobinPicker.js'
import { TwoChoicesPicker } from '../src/core/pickers/twoChoicesPicker.js'
import { LOAD_MIX } from '../src/core/decisions/loadMix.js'

const PICKER_FACTORIES: Record<string, () => Picker> = {
  random: RandomPicker.create,
  roundRobin: RoundRobinPicker.create,
  leastLocal: LeastLocalPicker.create,
  twoChoices: TwoChoicesPicker.create,
  reportedTwoChoices: ReportedTwoChoicesPicker.create,
  probePool: ProbePoolPicker.create
}

function createView (index: number, inFlight: number, reported?: number): UpstreamView {
  const upstream = { id: `u${index}`, service: 's', address: '127.0.0.1', port: 1, failureDomain: `fd${index % 2}`, state: 'live' as const }
  const report = reported === undefined ? undefined : { inFlight: reported, queued: 0, draining: false, receivedAt: 1000 }
  return { upstream, inFlight, slots: 4, report, inFlightAtReport: 0, serviceTimeMs: 5, errorShare: 0, warmth: 1 }
}

function createContext (overrides: Partial<PickContext> = {}): PickContext {
  return {
    now: 1000, random: SeededRandom.create(1), kind: LOAD_MIX[0]!.kind, runningAttempts: 0, entryCount: 6, entryRank: 0, avoidedDomains: new Set(), ...overrides
  }
}

/** Counts how often each of `views` is picked in 1000 picks. */
function countPicks (picker: Picker, views: readonly UpstreamView[], overrides: Partial<PickContext> = {}): number[] {
  const context = createContext(overrides)
  const counts = views.map(() => 0)
  for (let pick = 0; pick < 1000; pick += 1) counts[views.indexOf(picker.pick(views, context)!)]! += 1
  return counts
}

describe('baseline pickers', () => {
  for (const [name, create] of Object.entries(PICKER_FACTORIES)) {
    // Guards against a baseline that fails on lists with one or no candidates.
    it(`${name} picks the only candidate, and nothing from an empty list`, () => {
      const only = createView(0, 0)
      expect(create().pick([only], createContext())).to.equal(only)
      expect(create().pick([], createContext())).to.equal(undefined)
    })

    // Guards against retries that return to the failure domain that just failed.
    it(`${name} avoids the given failure domains if there are candidates in others`, () => {
      const views = [0, 1, 2, 3].map(index => createView(index, 0))
      const counts = countPicks(create(), views, { avoidedDomains: new Set(['fd0']) })
      expect(counts[0]! + counts[2]!).to.equal(0)
    })

    // Guards against ties that always select the same upstream, which would make baselines look bad.
    it(`${name} spreads picks over equal upstreams`, () => {
      const counts = countPicks(create(), [0, 1, 2, 3].map(index => createView(index, 0)))
      for (const count of counts) expect(count).to.be.within(180, 320)
    })
  }

  const preferences: [string, readonly UpstreamView[], number][] = [
    ['leastLocal', [createView(0, 3), createView(1, 1), createView(2, 2)], 1],
    ['twoChoices', [createView(0, 3), createView(1, 1)], 1],
    ['reportedTwoChoices', [createView(0, 0, 4), createView(1, 0, 1)], 1]
  ]
  for (const [name, views, expected] of preferences) {
    // Guards against an inverted comparison.
    it(`${name} picks the less loaded upstream`, () => {
      expect(countPicks(PICKER_FACTORIES[name]!(), views)[expected]).to.equal(1000)
    })
  }

  // Guards against a pool that ignores its probes or reuses each of them without limit.
  it('probePool picks by cold probes first, and by each probe a limited number of times', () => {
    const picker = ProbePoolPicker.create()
    const views = [createView(0, 0), createView(1, 0)]
    for (const [id, inFlight] of [['u0', 9], ['u1', 1]] as const) {
      picker.onProbeReport(id, { inFlight, queued: 0, draining: false, receivedAt: 1000 })
    }
    const picks = [1, 2, 3, 4].map(() => picker.pick(views, createContext())!.upstream.id)
    expect(picks).to.deep.equal(['u1', 'u1', 'u1', 'u0'])
  })
})
