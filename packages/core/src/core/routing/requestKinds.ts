import type { RequestKind } from '../../types/requestKind.js'
import type { Route } from '../../types/routes.js'

/** Ratio of the weights of two kinds whose priorities differ by one. */
const WEIGHT_RATIO_PER_PRIORITY = 2

/** The request kind of a route, which defines how the dispatcher treats its requests. */
export function requestKindOf (route: Route): RequestKind {
  const { name, kind, timeoutMs, targetMs, priority, maxAttempts } = route
  const idempotent = kind !== 'unsafe'
  return {
    name,
    weight: WEIGHT_RATIO_PER_PRIORITY ** -priority,
    idempotent,
    deadlineMs: timeoutMs,
    targetMs: Math.min(targetMs, timeoutMs),
    maxAttempts,
    cancellable: true,
    hedgeable: idempotent
  }
}
