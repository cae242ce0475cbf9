import type { RoutingPolicy } from '@cowsliplead/core/types/routingPolicy.js'

/**
 * Numbers that differ from the routing defaults, for upstreams whose work takes a tenth of a second and more and whose
 * load shifts within milliseconds.
 */
export const GATEWAY_ROUTING: Partial<RoutingPolicy> = {
  probeUpstreams: 3,
  measuringMessagesPerSecond: 400,
  measuringBytesPerSecond: 400_000,
  crossDomainCostMs: 15,
  crossDomainCostPerKilobyteMs: 3,
  // Work slows by 1.7 on an upstream that uses more than four fifths of its slots.
  usableSlotShare: 0.8,
  queueAllowanceCalls: 0,
  // Probes tell what other VMs send, so that a call may be held without regard to this VM's share of the slots.
  holdShare: 0,
  holdExcessPerSlot: 0.15,
  overloadExcessPerSlot: 0.05,
  queueRecheckMs: 5,
  hedgeMinMs: 50,
  stallMinMs: 200,
  suspectCrashes: 3
}
