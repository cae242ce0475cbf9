import type { RequestKind } from '../../types/requestKind.js'
import type { Route } from '../../types/routes.js'

/** Ratio of the weights of two kinds whose priorities differ by one. */
const WEIGHT_PER_RANK = 2

/** How the dispatcher treats requests of a route. */
export function requestKindOf (route: Route): RequestKind {
  const { name, kind, timeoutMs, targetMs, priority, maxAttempts } = route
  const idempotent = kind !== 'unsafe'
  return {
    name,
    weight: WEIGHT_PER_RANK ** -priority,
    idempotent,
    deadlineMs: timeoutMs,
    targetMs: Math.min(targetMs, timeoutMs),
    maxAttempts,
    cancellable: true,
    hedgeable: idempotent
  }
}
