import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { RoutingPolicy } from '@cowsliplead/core/types/routingPolicy.js'
import type { MachineLimits } from './machineLimits.js'

/** Budget of one service for attempts beyond the first of each request, shared by all entry VMs. */
export interface FleetRetryBudget {
  /** Share of the requests. */
  readonly share: number
  /** Attempts allowed in addition to the share. */
  readonly calls: number
}

/** In each window, a customer's requests may exceed its quota by `share` of the quota and by `requests`. */
export interface QuotaTolerance {
  readonly windowMs: Milliseconds
  readonly share: number
  readonly requests: number
}

/** Settings of the daemon of one entry VM. */
export interface GatewaySettings {
  readonly vmId: string
  readonly failureDomain: string
  /** Address that callers connect to. */
  readonly publicAddress: string
  /** Address at which the load balancer in front of the entry VMs checks readiness. */
  readonly readinessAddress: string
  readonly readinessPath: string
  /** Address that operators and the metrics collector connect to. */
  readonly adminAddress: string
  /** Address that the other entry VMs connect to. */
  readonly feedAddress: string
  /** Address at which this VM takes requests of the other entry VMs; undefined if it takes none. */
  readonly peerAddress?: string | undefined
  /** Time between SIGTERM and SIGKILL. */
  readonly graceMs: Milliseconds
  /** Time after a store outage in which live upstreams renew entries that expired during it. */
  readonly renewalMs: Milliseconds
  /** Time limit for receiving a buffered request body, and for a caller's pause within a streamed one. */
  readonly bodyTimeoutMs: Milliseconds
  /** Undefined if the platform does not say. */
  readonly machine?: MachineLimits | undefined
  readonly retryBudget: FleetRetryBudget
  /** Load probes per second that all entry VMs together may send to one upstream. */
  readonly probesPerUpstreamSecond: number
  /**
   * Longest time after the withdrawal of a key for which requests with it may be accepted; undefined if a VM may use the last
   * keys that it knows.
   */
  readonly maxKeyAgeMs?: Milliseconds | undefined
  /** By how much the requests of a customer may exceed its quota; undefined if the platform does not say. */
  readonly quotaTolerance?: QuotaTolerance | undefined
  /** Overrides of the routing defaults. */
  readonly routing: Partial<RoutingPolicy>
}
