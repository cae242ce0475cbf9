import type { Route, RouteConfig } from '../../types/routes.js'
import { TrafficSplit } from './trafficSplit.js'

interface RouteEntry {
  readonly route: Route
  readonly split: TrafficSplit
}

/** The route of a request and the service that it goes to. */
export interface RouteMatch {
  readonly route: Route
  /** Undefined if the route's entry cannot be used. */
  readonly service: string | undefined
}

/** Finds the route of a request: the one for its host with the longest matching path prefix. */
export class RouteTable {
  private readonly entriesByHost = new Map<string, RouteEntry[]>()

  private constructor (readonly config: RouteConfig, previous: RouteTable | undefined) {
    for (const route of config.routes) {
      const host = route.host.toLowerCase()
      const entries = this.entriesByHost.get(host) ?? []
      entries.push({ route, split: previous?.findUnchangedSplit(route) ?? TrafficSplit.create(route.shares) })
      this.entriesByHost.set(host, entries)
    }
    for (const entries of this.entriesByHost.values()) {
      entries.sort((one, other) => other.route.pathPrefix.length - one.route.pathPrefix.length)
    }
  }

  /** Routes with unchanged shares continue the traffic split of `previous`, so that frequent changes do not bias it. */
  static create (config: RouteConfig, previous?: RouteTable): RouteTable {
    return new RouteTable(config, previous)
  }

  /** The route of a request and the service to which the traffic split assigns it; undefined if no route matches. */
  match (hostHeader: string, target: string): RouteMatch | undefined {
    const path = pathOf(target)
    const entries = this.entriesByHost.get(hostOf(hostHeader))
    const entry = entries?.find(({ route }) => path.startsWith(route.pathPrefix))
    if (entry === undefined) return undefined
    return { route: entry.route, service: entry.route.problem === undefined ? entry.split.next() : undefined }
  }

  private findUnchangedSplit (route: Route): TrafficSplit | undefined {
    const entries = this.entriesByHost.get(route.host.toLowerCase())
    const known = entries?.find(entry => entry.route.pathPrefix === route.pathPrefix)
    return known?.split.hasShares(route.shares) === true ? known.split : undefined
  }
}

function hostOf (header: string): string {
  const portAt = header.lastIndexOf(':')
  const host = portAt > header.lastIndexOf(']') ? header.slice(0, portAt) : header
  return host.toLowerCase()
}

function pathOf (target: string): string {
  const queryAt = target.indexOf('?')
  return queryAt < 0 ? target : target.slice(0, queryAt)
}
