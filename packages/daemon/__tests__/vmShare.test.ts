import { expect } from 'chai'
import { RetryBudget } from '@cowsliplead/core/core/limits/retryBudget.js'
import { DEFAULT_ROUTING_POLICY } from '@cowsliplead/core/types/routingPolicy.js'
import { vmShareOf } from '../src/core/gateway/vmShare.js'
import { createSettings } from './harness.js'

const SETTINGS = createSettings({ retryBudget: { share: 0.2, calls: 188 }, probesPerUpstreamSecond: 60 })

describe('what one VM may spend of what the fleet is allowed', () => {
  // Guards against a large fleet whose VMs together retry or probe more than the platform allows all of them.
  for (const vms of [1, 6, 12, 13, 47, 300]) {
    it(`adds up to no more than the fleet's for ${vms} VMs`, () => {
      const { retryBudgetCalls, measuringMessagesPerUpstreamSecond } = vmShareOf(SETTINGS, vms)
      // A VM may always save up one retry.
      expect((retryBudgetCalls as number) * vms).to.be.at.most(Math.max(188, vms) + 1e-9)
      expect((measuringMessagesPerUpstreamSecond as number) * vms).to.be.below(60)
    })
  }
})

const WINDOW_S = 10
const STEPS_PER_S = 10

/** Requests a second, by the second. */
const LOADS: ReadonlyArray<readonly [string, (second: number) => number]> = [
  ['steady', () => 500],
  ['a burst', second => second >= 20 && second < 24 ? 2000 : 300],
  ['a fall', second => second < 20 ? 900 : 50],
  ['a swing', second => 500 + 400 * Math.sin(second / 2)],
  ['short peaks', second => second % 7 === 0 ? 3000 : 100]
]

/** When the VMs spend what they have saved, by the second. */
const SPENDINGS: ReadonlyArray<readonly [string, (second: number) => boolean]> = [
  ['at once', () => true],
  ['after half a minute', second => second >= 30],
  ['every twelve seconds', second => second % 12 === 0]
]

describe('retries of a fleet', () => {
  const VMS = 47

  /** Requests and extra attempts of each step, where every VM spends all that it may. */
  function play (loadAt: (second: number) => number, spendsAt: (second: number) => boolean): { requests: number[], extra: number[] } {
    const policy = { ...DEFAULT_ROUTING_POLICY, ...vmShareOf(SETTINGS, VMS) }
    const budgets = Array.from({ length: VMS }, () => RetryBudget.create(policy))
    const requests: number[] = []
    const extra: number[] = []
    for (let step = 0; step < 60 * STEPS_PER_S; step++) {
      const second = Math.floor(step / STEPS_PER_S)
      const count = Math.round(loadAt(second) / STEPS_PER_S)
      for (let index = 0; index < count; index++) budgets[(step + index) % VMS]!.onCall(step * 1000 / STEPS_PER_S)
      requests.push(count)
      extra.push(spendsAt(second) ? budgets.reduce((sum, budget) => sum + spendAll(budget), 0) : 0)
    }
    return { requests, extra }
  }

  function spendAll (budget: RetryBudget): number {
    let spent = 0
    for (; budget.canRetry(); spent++) budget.spend()
    return spent
  }

  function sumOf (values: readonly number[], from: number): number {
    const length = WINDOW_S * STEPS_PER_S
    return values.slice(Math.max(0, from), Math.max(0, from + length)).reduce((sum, value) => sum + value, 0)
  }

  for (const [load, loadAt] of LOADS) {
    for (const [spending, spendsAt] of SPENDINGS) {
      // Guards against a fleet that exceeds the budget in a window because requests of another one earned it.
      it(`stay within the budget of every window with ${load}, spent ${spending}`, () => {
        const { requests, extra } = play(loadAt, spendsAt)
        const length = WINDOW_S * STEPS_PER_S
        for (let from = 0; from + length <= extra.length; from++) {
          const counted = Math.max(sumOf(requests, from), sumOf(requests, from - length), sumOf(requests, from - length / 2))
          expect(sumOf(extra, from), `from step ${from}`).to.be.at.most(0.2 * counted + 188)
        }
      })
    }
  }
})
