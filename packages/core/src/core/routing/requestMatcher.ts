import type { ConfigDocument } from '../../types/configDocument.js'
import type { RequestKind } from '../../types/requestKind.js'

/** The service and kind of a request. */
export interface RequestMatch {
  readonly service: string
  /** Undefined where the service has no kind for the method and path. */
  readonly kind: RequestKind | undefined
}

interface Route {
  readonly service: string
  readonly prefix: string
  readonly kinds: readonly KindRoute[]
}

interface KindRoute {
  readonly method: string
  readonly segments: readonly string[]
  readonly kind: RequestKind
}

/** Finds the service and kind of a request; built once for each configuration in force. */
export class RequestMatcher {
  private constructor (private readonly routes: ReadonlyMap<string, readonly Route[]>) {}

  static create (document: ConfigDocument): RequestMatcher {
    const routes = new Map<string, Route[]>()
    for (const [service, { hosts, pathPrefix, kinds }] of Object.entries(document.services)) {
      const route = { service, prefix: pathPrefix, kinds: listKinds(kinds) }
      for (const host of hosts) routes.set(host, [...routes.get(host) ?? [], route])
    }
    for (const list of routes.values()) list.sort((a, b) => b.prefix.length - a.prefix.length)
    return new RequestMatcher(routes)
  }

  /** Undefined where no service has the host and path. `host` may carry a port, `path` a query; neither counts. */
  match (host: string, path: string, method: string): RequestMatch | undefined {
    const name = host.toLowerCase().replace(/:\d+$/, '')
    const plainPath = path.replace(/[?#].*$/s, '')
    const route = this.findRoute(name, plainPath) ?? this.findRoute('*', plainPath)
    if (route === undefined) return undefined
    const segments = splitPath(plainPath.slice(route.prefix === '/' ? 0 : route.prefix.length))
    const found = route.kinds.find(candidate => candidate.method === method && matchesPattern(candidate.segments, segments))
    return { service: route.service, kind: found?.kind }
  }

  private findRoute (host: string, path: string): Route | undefined {
    return this.routes.get(host)?.find(route => hasPrefix(path, route.prefix))
  }
}

function listKinds (kinds: ConfigDocument['services'][string]['kinds']): KindRoute[] {
  const routes = Object.entries(kinds).map(([name, { method, path, ...traits }]) => ({
    method,
    segments: splitPath(path),
    kind: { name, ...traits }
  }))
  return routes.sort((a, b) => comparePatterns(a.segments, b.segments))
}

function hasPrefix (path: string, prefix: string): boolean {
  if (prefix === '/') return path.startsWith('/')
  return path === prefix || path.startsWith(`${prefix}/`)
}

function splitPath (path: string): string[] {
  return path.split('/').filter(segment => segment !== '')
}

/** Orders patterns from the most to the least specific, segment by segment, so that the first match is the right one. */
function comparePatterns (a: readonly string[], b: readonly string[]): number {
  for (let index = 0; index < Math.max(a.length, b.length); index++) {
    const difference = looseness(a[index]) - looseness(b[index])
    if (difference !== 0) return difference
  }
  return 0
}

function looseness (segment: string | undefined): number {
  if (segment === '**') return 3
  if (segment === undefined) return 2
  return isWildcard(segment) ? 1 : 0
}

function isWildcard (segment: string): boolean {
  return segment === '*' || segment.startsWith(':')
}

function matchesPattern (pattern: readonly string[], segments: readonly string[]): boolean {
  const open = pattern.at(-1) === '**'
  const fixed = open ? pattern.slice(0, -1) : pattern
  if (open ? segments.length < fixed.length : segments.length !== fixed.length) return false
  return fixed.every((part, index) => isWildcard(part) || part === segments[index])
}
