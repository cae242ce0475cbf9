import type { Milliseconds } from './clock.js'

/** What may be repeated: requests of `unsafe` routes run at most once; `download` routes are idempotent and answer with long bodies. */
export type RouteKind = 'safe' | 'unsafe' | 'download'

/** One part of a route's traffic. */
export interface TrafficShare {
  readonly service: string
  /** Relative to the weights of the route's other shares. */
  readonly weight: number
}

/** Where requests of one host below one path go, and how they are treated. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  /** Longest time that a caller is kept waiting. */
  readonly timeoutMs: Milliseconds
  /** Time within which an answer is of full use to its caller. */
  readonly targetMs: Milliseconds
  /** 0 is served first under overload. */
  readonly priority: number
  /** Upstreams that one request may be sent to. */
  readonly maxAttempts: number
  readonly shares: readonly TrafficShare[]
}

/** A service that routes may name. */
export interface ServiceTarget {
  readonly name: string
  /** Path of the load probe. */
  readonly healthPath: string
  /** Connections that one upstream accepts from all VMs together. */
  readonly maxConnections: number
}

/** Bounds on what callers may send, and how long they may take or stay idle. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: Milliseconds
  readonly idleTimeoutMs: Milliseconds
}

/** One version of the routes; a higher version replaces a lower one whole. */
export interface RouteConfig {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<string, ServiceTarget>
  readonly limits: CallerLimits
}
