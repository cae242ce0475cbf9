import type { RoutingPolicy } from '@cowsliplead/core/types/routingPolicy.js'
import type { FleetRetryBudget, GatewaySettings } from '../../types/gatewaySettings.js'

/** The saved part of the retry budget is divided among at least this many VMs, as they do not know each other at first. */
const LEAST_SHARES = 12

/**
 * The share of the fleet's retry budget that is earned by requests: requests arrive at one VM each, so the shares of all
 * VMs add up. The rest is left to requests that are counted in another window than their retries.
 */
const EARNED_SHARE = 0.5

/**
 * Part of the probes that an upstream may be sent which the known VMs use. Under overload, when calls wait because no
 * upstream has room, they use all of it without finding any.
 */
const PROBE_SHARE = 0.3

/** What one VM may spend of what the fleet is allowed, where `vms` VMs are known. */
export function vmShareOf ({ retryBudget, probesPerUpstreamSecond }: GatewaySettings, vms: number): Partial<RoutingPolicy> {
  return {
    ...retryBudgetOf(retryBudget, vms),
    measuringMessagesPerUpstreamSecond: probesPerUpstreamSecond * PROBE_SHARE / vms
  }
}

function retryBudgetOf ({ share, calls }: FleetRetryBudget, vms: number): Partial<RoutingPolicy> {
  return { retryBudgetShare: share * EARNED_SHARE, retryBudgetCalls: Math.max(1, calls / Math.max(LEAST_SHARES, vms)) }
}
