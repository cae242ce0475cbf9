import type { RequestKind } from '../../types/requestKind.js'
import type { Route, RouteKind } from '../../types/routes.js'

/** Ratio of the weights of two kinds whose priorities differ by one. */
const WEIGHT_RATIO_PER_PRIORITY = 2

/** Kinds of route whose requests may be sent more than once; any other request runs at most once. */
const REPEATABLE_KINDS: ReadonlySet<RouteKind> = new Set<RouteKind>(['safe', 'download'])

/** The request kind of a route, which defines how the dispatcher treats its requests. */
export function requestKindOf (route: Route): RequestKind {
  const { name, kind, timeoutMs, targetMs, priority, maxAttempts } = route
  const idempotent = REPEATABLE_KINDS.has(kind)
  return {
    name,
    weight: WEIGHT_RATIO_PER_PRIORITY ** -priority,
    priority,
    idempotent,
    deadlineMs: timeoutMs,
    targetMs: Math.min(targetMs, timeoutMs),
    maxAttempts,
    cancellable: true,
    hedgeable: idempotent
  }
}
