import { expect } from 'chai'
import { RetryBudget } from '@cowsliplead/core/core/limits/retryBudget.js'
import { DEFAULT_ROUTING_POLICY } from '@cowsliplead/core/types/routingPolicy.js'
import { vmShareOf } from '../src/core/gateway/vmShare.js'
import { createSettings } from './harness.js'

const SETTINGS = createSettings({ retryBudget: { share: 0.2, calls: 188 }, probesPerUpstreamSecond: 60 })

describe("share of one VM in the fleet's budgets", () => {
  // Guards against a large fleet whose VMs together retry or probe more than the platform allows the fleet.
  for (const vms of [1, 6, 12, 13, 47, 300]) {
    it(`adds up to at most the whole budget over ${vms} VMs`, () => {
      const { retryBudgetCalls, measuringMessagesPerUpstreamSecond } = vmShareOf(SETTINGS, vms)
      // Each VM may save up at least one retry.
      expect((retryBudgetCalls as number) * vms).to.be.at.most(Math.max(188, vms) + 1e-9)
      expect((measuringMessagesPerUpstreamSecond as number) * vms).to.be.below(60)
    })
  }
})

const WINDOW_S = 10
const STEPS_PER_S = 10

/** Requests per second, as a function of the second. */
const LOAD_PATTERNS: ReadonlyArray<readonly [string, (second: number) => number]> = [
  ['a steady load', () => 500],
  ['a burst', second => second >= 20 && second < 24 ? 2000 : 300],
  ['a falling load', second => second < 20 ? 900 : 50],
  ['an oscillating load', second => 500 + 400 * Math.sin(second / 2)],
  ['short peaks', second => second % 7 === 0 ? 3000 : 100]
]

/** Whether the VMs spend their saved retries, as a function of the second. */
const SPENDING_PATTERNS: ReadonlyArray<readonly [string, (second: number) => boolean]> = [
  ['at once', () => true],
  ['after half a minute', second => second >= 30],
  ['every twelve seconds', second => second % 12 === 0]
]

describe('retries and hedges of a fleet', () => {
  const VMS = 47

  /** Returns the requests and extra attempts of each step of a minute in which all VMs spend their whole budget. */
  function simulateFleet (
    loadAt: (second: number) => number,
    spendsAt: (second: number) => boolean
  ): { requests: number[], extraAttempts: number[] } {
    const policy = { ...DEFAULT_ROUTING_POLICY, ...vmShareOf(SETTINGS, VMS) }
    const budgets = Array.from({ length: VMS }, () => RetryBudget.create(policy))
    const requests: number[] = []
    const extraAttempts: number[] = []
    for (let step = 0; step < 60 * STEPS_PER_S; step++) {
      const second = Math.floor(step / STEPS_PER_S)
      const count = Math.round(loadAt(second) / STEPS_PER_S)
      for (let index = 0; index < count; index++) budgets[(step + index) % VMS]!.onCall(step * 1000 / STEPS_PER_S)
      requests.push(count)
      extraAttempts.push(spendsAt(second) ? budgets.reduce((sum, budget) => sum + spendAll(budget), 0) : 0)
    }
    return { requests, extraAttempts }
  }

  function spendAll (budget: RetryBudget): number {
    let spent = 0
    for (; budget.canRetry(); spent++) budget.spend()
    return spent
  }

  function sumOfWindow (values: readonly number[], from: number): number {
    const length = WINDOW_S * STEPS_PER_S
    return values.slice(Math.max(0, from), Math.max(0, from + length)).reduce((sum, value) => sum + value, 0)
  }

  for (const [load, loadAt] of LOAD_PATTERNS) {
    for (const [spending, spendsAt] of SPENDING_PATTERNS) {
      // Guards against a fleet that exceeds the budget of one window with retries earned in another.
      it(`stay within the budget of every window with ${load}, spent ${spending}`, () => {
        const { requests, extraAttempts } = simulateFleet(loadAt, spendsAt)
        const length = WINDOW_S * STEPS_PER_S
        for (let from = 0; from + length <= extraAttempts.length; from++) {
          const requestCount = Math.max(sumOfWindow(requests, from), sumOfWindow(requests, from - length), sumOfWindow(requests, from - length / 2))
          expect(sumOfWindow(extraAttempts, from), `from step ${from}`).to.be.at.most(0.2 * requestCount + 188)
        }
      })
    }
  }
})
