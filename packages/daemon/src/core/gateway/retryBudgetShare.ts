import type { RoutingPolicy } from '@cowsliplead/core/types/routingPolicy.js'
import type { FleetRetryBudget } from '../../types/gatewaySettings.js'

/** Fleets up to this size stay within the budget whatever their VMs spend at once. */
const LARGEST_FLEET_VMS = 12

/**
 * The share of the fleet's budget that is earned by requests: requests arrive at one VM each, so the shares of all VMs
 * add up. The rest is left to requests that are counted in another window than their retries.
 */
const EARNED_SHARE = 0.5

/** One VM's part of the budget of all entry VMs. */
export function retryBudgetOf (budget: FleetRetryBudget): Pick<RoutingPolicy, 'retryBudgetShare' | 'retryBudgetCalls'> {
  return { retryBudgetShare: budget.share * EARNED_SHARE, retryBudgetCalls: Math.max(1, budget.calls / LARGEST_FLEET_VMS) }
}
