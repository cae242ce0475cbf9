import { expect } from 'chai'
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
