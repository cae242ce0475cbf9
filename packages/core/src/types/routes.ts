import type { Milliseconds } from './clock.js'
import type { Customer } from './customer.js'

/**
 * `safe` and `download` requests are idempotent, and responses to `download` have long bodies; `unsafe` and `upload` requests
 * run at most once, and `upload` requests have long bodies.
 */
export type RouteKind = 'safe' | 'unsafe' | 'download' | 'upload'

/** A service that receives a share of a route's traffic. */
export interface TrafficShare {
  readonly service: string
  /** Relative to the weights of the route's other shares. */
  readonly weight: number
}

/** Where requests for one host and path prefix are sent, and how they are treated. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Starts and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  /** Longest time that a caller is kept waiting. */
  readonly timeoutMs: Milliseconds
  /** Time within which a response is fully useful to its caller. */
  readonly targetMs: Milliseconds
  /** 0 is served first under overload. */
  readonly priority: number
  /** Largest number of attempts per request. */
  readonly maxAttempts: number
  readonly shares: readonly TrafficShare[]
  /** Whether requests need no key where the configuration has customers; false if undefined. */
  readonly isPublic?: boolean
  /** Why the route's entry cannot be used; its requests are refused as not run. */
  readonly problem?: string
}

/** A service that routes can refer to. */
export interface ServiceTarget {
  readonly name: string
  /** Path of the load probe. */
  readonly healthPath: string
  /** Connections that one upstream accepts from all VMs together. */
  readonly maxConnections: number
  /** What one upstream takes while it is cold; undefined if that is not limited. */
  readonly warmup?: Warmup | undefined
}

/** What an upstream takes from all VMs together while it is cold. */
export interface Warmup {
  /** Time after its start for which an upstream is cold. */
  readonly durationMs: Milliseconds
  readonly requestsPerSecond: number
}

/** Size and time limits on callers' requests and connections. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: Milliseconds
  readonly idleTimeoutMs: Milliseconds
}

/** An entry of a configuration that cannot be used as it is written. */
export interface RejectedEntry {
  readonly kind: 'route' | 'service' | 'customer' | 'limits'
  /** Name of the route, service or customer; empty for the limits. */
  readonly name: string
  readonly reason: string
}

/** One version of the routes; a higher version replaces a lower one completely. */
export interface RouteConfig {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<string, ServiceTarget>
  readonly limits: CallerLimits
  /** Customers by name; undefined if the configuration has none, and requests need no key. */
  readonly customers?: ReadonlyMap<string, Customer> | undefined
  /** Digests of keys that several customers have; requests with them are refused as not run. */
  readonly sharedKeyDigests?: readonly string[] | undefined
  /** Entries that were left out or replaced by defaults. */
  readonly rejectedEntries?: readonly RejectedEntry[]
}
