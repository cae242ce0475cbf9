import { equalShare } from '@cowsliplead/core/core/limits/fleetShare.js'
import type { RoutingPolicy } from '@cowsliplead/core/types/routingPolicy.js'
import type { FleetRetryBudget, GatewaySettings } from '../../types/gatewaySettings.js'

/** Minimum number of VMs among which the saved retries are divided: a starting VM does not know the others yet. */
const MIN_BUDGET_SHARES = 12

/**
 * Part of the fleet's budget share that a VM earns per request. Each request arrives at one VM, so what the VMs earn
 * adds up to this part. The rest is a margin for requests that are counted in a different window than their retries.
 */
const EARNED_BUDGET_SHARE = 0.5

/**
 * Part of the allowed probes per upstream that the known VMs use together. Under overload, when calls wait because no
 * upstream has capacity, the VMs use all of this part without finding any.
 */
const PROBE_BUDGET_SHARE = 0.3

/** One VM's share of the fleet's retry and probe budgets, for `vms` known VMs. */
export function vmShareOf ({ retryBudget, probesPerUpstreamSecond }: GatewaySettings, vms: number): Partial<RoutingPolicy> {
  return {
    ...retryBudgetOf(retryBudget, vms),
    measuringMessagesPerUpstreamSecond: equalShare(probesPerUpstreamSecond * PROBE_BUDGET_SHARE, vms)
  }
}

function retryBudgetOf ({ share, calls }: FleetRetryBudget, vms: number): Partial<RoutingPolicy> {
  return { retryBudgetShare: share * EARNED_BUDGET_SHARE, retryBudgetCalls: Math.max(1, equalShare(calls, Math.max(MIN_BUDGET_SHARES, vms))) }
}
