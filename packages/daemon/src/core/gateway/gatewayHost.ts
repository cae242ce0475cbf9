import type { DaemonStatus } from '../../types/daemonStatus.js'
import type { Metrics } from '../operators/metrics.js'
import type { StopPlan } from './stopPlan.js'

/** What the parts need of the daemon as a whole. */
export interface GatewayHost {
  readonly metrics: Metrics
  /** Undefined unless the daemon is stopping. */
  stopPlan (): StopPlan | undefined
  unreadyReasons (): readonly string[]
  status (): DaemonStatus
  describe (): Record<string, unknown>
}
