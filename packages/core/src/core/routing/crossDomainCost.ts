import type { Milliseconds } from '../../types/clock.js'
import type { RequestKind } from '../../types/requestKind.js'
import type { RoutingPolicy } from '../../types/routingPolicy.js'

const BYTES_PER_KILOBYTE = 1024

/**
 * Delay that is accepted to keep a call in the VM's own failure domain. It grows with the bytes that would cross and with
 * the time that the kind has to spare. Answers a load that the own domain can serve in time, if more slowly than another.
 */
export function crossDomainCost (kind: RequestKind, responseBytes: number, policy: RoutingPolicy): Milliseconds {
  const kilobytes = responseBytes / BYTES_PER_KILOBYTE
  const targetShare = policy.crossDomainTargetShare + kilobytes * policy.crossDomainTargetSharePerKilobyte
  const spareMs = Math.min(targetShare, policy.crossDomainMaxTargetShare) * (kind.targetMs ?? 0)
  return policy.crossDomainCostMs + kilobytes * policy.crossDomainCostPerKilobyteMs + spareMs
}
