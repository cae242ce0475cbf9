import type { Clock } from '../../types/clock.js'
import type { RequestKind } from '../../types/requestKind.js'
import type { RoutingPolicy } from '../../types/routingPolicy.js'
import type { UpstreamTable } from '../health/upstreamTable.js'
import type { ServiceTimeModel } from '../routing/serviceTimeModel.js'
import type { WaitQueue } from './waitQueue.js'

/** What decides when a call could start. */
export interface StartConditions {
  readonly clock: Clock
  readonly queue: WaitQueue
  readonly serviceTimes: ServiceTimeModel
  readonly table: UpstreamTable
  /** Effective policy for calls of a kind. */
  policyOf (kind: RequestKind): RoutingPolicy
}
