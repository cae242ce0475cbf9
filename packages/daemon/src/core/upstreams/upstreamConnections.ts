import { wholeShare } from '@cowsliplead/core/core/limits/fleetShare.js'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import { DEFAULT_ROUTING_POLICY, NO_POLICY_EXCEPTIONS, type PolicyExceptions, type RoutingPolicy } from '@cowsliplead/core/types/routingPolicy.js'
import type { Upstream } from '@cowsliplead/core/types/upstream.js'
import type { ConnectionObserver } from './connectionObserver.js'
import { ConnectionPool } from './connectionPool.js'

/** Settings of connections to upstreams. */
export interface ConnectionSettings {
  readonly connectTimeoutMs: Milliseconds
  /** See `HttpConnectionOptions`. */
  readonly onError: (error: Error) => void
  readonly observer?: ConnectionObserver | undefined
}

/**
 * A VM needs one connection for an attempt and one for a load probe. In large fleets this exceeds its equal share, but
 * there each VM uses only a subset of the upstreams.
 */
const MIN_CONNECTIONS = 2

/** Connection pools of one service, one for each upstream. */
export class UpstreamConnections {
  private readonly pools = new Map<string, { readonly origin: string, readonly pool: ConnectionPool }>()
  private policy: RoutingPolicy = DEFAULT_ROUTING_POLICY
  private exceptions = NO_POLICY_EXCEPTIONS.upstreams

  private constructor (private readonly clock: Clock, private readonly settings: ConnectionSettings) {}

  static create (clock: Clock, settings: ConnectionSettings): UpstreamConnections {
    return new UpstreamConnections(clock, settings)
  }

  /** Number of connections to all upstreams, idle and in use. */
  get size (): number {
    let size = 0
    for (const { pool } of this.pools.values()) size += pool.size
    return size
  }

  /** The state for the dump. */
  describe (): Record<string, unknown> {
    const entries = [...this.pools].map(([id, { origin, pool }]) => [id, { origin, ...pool.describe() }])
    return Object.fromEntries(entries) as Record<string, unknown>
  }

  /** The pool of one upstream; undefined if the upstream is unknown. */
  poolFor (upstreamId: string): ConnectionPool | undefined {
    return this.pools.get(upstreamId)?.pool
  }

  /** Sets the policy that the next `setUpstreams` applies. */
  setPolicy (policy: RoutingPolicy, exceptions: PolicyExceptions['upstreams']): void {
    this.policy = policy
    this.exceptions = exceptions
  }

  /** Sets the registered upstreams. The connections that each accepts are divided equally among the entry VMs. */
  setUpstreams (upstreams: readonly Upstream[], entryVmCount: number): void {
    const listed = new Set(upstreams.map(upstream => upstream.id))
    for (const id of this.pools.keys()) if (!listed.has(id)) this.remove(id)
    for (const upstream of upstreams) this.update(upstream, entryVmCount)
  }

  close (): void {
    for (const id of this.pools.keys()) this.remove(id)
  }

  private update (upstream: Upstream, entryVmCount: number): void {
    const { connectionsPerUpstream } = this.exceptions.get(upstream.id) ?? this.policy
    const limit = wholeShare(connectionsPerUpstream, entryVmCount, MIN_CONNECTIONS)
    const provenMs = this.policy.provenConnectionMs
    const origin = originOf(upstream)
    const existing = this.pools.get(upstream.id)
    if (existing?.origin === origin) return existing.pool.configure(limit, provenMs)
    // The same id at another address, or with another incarnation, is another process.
    if (existing !== undefined) this.remove(upstream.id)
    const { address: host, port } = upstream
    const pool = ConnectionPool.create({ host, port, clock: this.clock, limit, provenMs, ...this.settings })
    this.pools.set(upstream.id, { origin, pool })
  }

  private remove (id: string): void {
    this.pools.get(id)?.pool.close()
    this.pools.delete(id)
  }
}

function originOf (upstream: Upstream): string {
  const host = upstream.address.includes(':') ? `[${upstream.address}]` : upstream.address
  return `http://${host}:${upstream.port}#${upstream.incarnation ?? ''}`
}
