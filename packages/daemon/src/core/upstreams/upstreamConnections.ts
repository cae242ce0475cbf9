import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import { DEFAULT_ROUTING_POLICY, NO_POLICY_EXCEPTIONS, type PolicyExceptions, type RoutingPolicy } from '@cowsliplead/core/types/routingPolicy.js'
import type { Upstream } from '@cowsliplead/core/types/upstream.js'
import { ConnectionSet } from './connectionSet.js'

/** Bounds on connections to upstreams. */
export interface ConnectionLimits {
  readonly connectTimeoutMs: Milliseconds
}

/** A VM needs a connection for a probe beside the one of an attempt; in large fleets, each VM uses a part of the upstreams only. */
const LEAST_CONNECTIONS = 2

/** Connection sets of one service, one for each upstream. */
export class UpstreamConnections {
  private readonly sets = new Map<string, { readonly origin: string, readonly set: ConnectionSet }>()
  private policy: RoutingPolicy = DEFAULT_ROUTING_POLICY
  private exceptions = NO_POLICY_EXCEPTIONS.upstreams

  private constructor (private readonly clock: Clock, private readonly limits: ConnectionLimits) {}

  static create (clock: Clock, limits: ConnectionLimits): UpstreamConnections {
    return new UpstreamConnections(clock, limits)
  }

  /** Connections to all upstreams. */
  get size (): number {
    let size = 0
    for (const { set } of this.sets.values()) size += set.size
    return size
  }

  /** The state for the dump. */
  describe (): Record<string, unknown> {
    const entries = [...this.sets].map(([id, { origin, set }]) => [id, { origin, ...set.describe() }])
    return Object.fromEntries(entries) as Record<string, unknown>
  }

  /** The connections to one upstream. */
  of (upstreamId: string): ConnectionSet | undefined {
    return this.sets.get(upstreamId)?.set
  }

  /** Takes the numbers that the next `setUpstreams` goes by. */
  setPolicy (policy: RoutingPolicy, exceptions: PolicyExceptions['upstreams']): void {
    this.policy = policy
    this.exceptions = exceptions
  }

  /** Takes the registered upstreams. The connections of each upstream are divided among the entry VMs. */
  setUpstreams (upstreams: readonly Upstream[], entryCount: number): void {
    const listed = new Set(upstreams.map(upstream => upstream.id))
    for (const id of this.sets.keys()) if (!listed.has(id)) this.remove(id)
    for (const upstream of upstreams) this.update(upstream, entryCount)
  }

  close (): void {
    for (const id of this.sets.keys()) this.remove(id)
  }

  private update (upstream: Upstream, entryCount: number): void {
    const { connectionsPerUpstream } = this.exceptions.get(upstream.id) ?? this.policy
    const limit = Math.max(Math.floor(connectionsPerUpstream / Math.max(entryCount, 1)), LEAST_CONNECTIONS)
    const provenMs = this.policy.provenConnectionMs
    const origin = originOf(upstream)
    const known = this.sets.get(upstream.id)
    if (known?.origin === origin) return known.set.configure(limit, provenMs)
    // An id that comes back at another address, or with another start, is another process.
    if (known !== undefined) this.remove(upstream.id)
    const { address: host, port } = upstream
    const { connectTimeoutMs } = this.limits
    const set = ConnectionSet.create({ host, port, clock: this.clock, limit, provenMs, connectTimeoutMs })
    this.sets.set(upstream.id, { origin, set })
  }

  private remove (id: string): void {
    this.sets.get(id)?.set.close()
    this.sets.delete(id)
  }
}

function originOf (upstream: Upstream): string {
  const host = upstream.address.includes(':') ? `[${upstream.address}]` : upstream.address
  return `http://${host}:${upstream.port}#${upstream.incarnation ?? ''}`
}
