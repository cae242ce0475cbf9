import { DEFAULT_ROUTING_POLICY, type RoutingPolicy } from '@cowsliplead/core/types/routingPolicy.js'
import type { GatewaySettings } from '../../types/gatewaySettings.js'
import { vmShareOf } from './vmShare.js'

/**
 * Overrides of the routing defaults for upstreams whose requests take a tenth of a second or more and whose load
 * changes within milliseconds.
 */
export const GATEWAY_ROUTING_OVERRIDES: Partial<RoutingPolicy> = {
  probeUpstreams: 3,
  measuringMessagesPerSecond: 400,
  measuringBytesPerSecond: 400_000,
  crossDomainTargetShare: 0.3,
  crossDomainTargetSharePerKilobyte: 0.08,
  usableSlotShare: 0.8,
  crowdedTimeFactor: 1.7,
  queueAllowanceCalls: 0,
  // Probes show the load from other VMs, so a call may be held back even below this VM's own share of the slots.
  holdShare: 0,
  holdExcessPerSlot: 0.15,
  overloadExcessPerSlot: 0.05,
  queueRecheckMs: 5,
  hedgeMinMs: 50,
  stallMinMs: 200,
  suspectCrashes: 3
}

/** The routing policy of one VM, for `vms` known VMs, before the operators' policy is applied. */
export function routingPolicyOf (settings: GatewaySettings, vms: number): RoutingPolicy {
  return { ...DEFAULT_ROUTING_POLICY, ...GATEWAY_ROUTING_OVERRIDES, ...settings.routing, ...vmShareOf(settings, vms) }
}
