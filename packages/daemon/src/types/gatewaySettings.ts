import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { RoutingPolicy } from '@cowsliplead/core/types/routingPolicy.js'

/** Budget of all entry VMs together for attempts beyond the first of each request, for one service. */
export interface FleetRetryBudget {
  /** Share of the requests. */
  readonly share: number
  /** Attempts on top of the share. */
  readonly calls: number
}

/** Settings of the daemon of one entry VM. */
export interface GatewaySettings {
  readonly vmId: string
  readonly failureDomain: string
  /** Where callers connect. */
  readonly publicAddress: string
  /** Where the balancer asks for readiness. */
  readonly readinessAddress: string
  readonly readinessPath: string
  /** Where operators and the metrics collector connect. */
  readonly adminAddress: string
  /** Where the other entry VMs connect. */
  readonly feedAddress: string
  /** Time between SIGTERM and SIGKILL. */
  readonly graceMs: Milliseconds
  /** Time after the registry's return in which live upstreams renew entries that lapsed. */
  readonly renewalMs: Milliseconds
  /** Longest time to receive a held request body, and longest pause of a caller within a streamed one. */
  readonly bodyTimeoutMs: Milliseconds
  readonly retryBudget: FleetRetryBudget
  /** Load probes that one upstream may be sent by all entry VMs together. */
  readonly probesPerUpstreamSecond: number
  /** Numbers that differ from the routing defaults. */
  readonly routing: Partial<RoutingPolicy>
}
