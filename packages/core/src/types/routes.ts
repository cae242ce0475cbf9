import type { Milliseconds } from './clock.js'

/** `unsafe` requests run at most once; the others are idempotent, and responses to `download` have long bodies. */
export type RouteKind = 'safe' | 'unsafe' | 'download'

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
}

/** A service that routes can refer to. */
export interface ServiceTarget {
  readonly name: string
  /** Path of the load probe. */
  readonly healthPath: string
  /** Connections that one upstream accepts from all VMs together. */
  readonly maxConnections: number
}

/** Size and time limits on callers' requests and connections. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: Milliseconds
  readonly idleTimeoutMs: Milliseconds
}

/** One version of the routes; a higher version replaces a lower one completely. */
export interface RouteConfig {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<string, ServiceTarget>
  readonly limits: CallerLimits
}
