import type { RequestKind } from '../../types/requestKind.js'
import type { Route } from '../../types/routes.js'
import { requestKindOf } from './requestKinds.js'

/**
 * The request kinds of a configuration: one for each route and priority. Kinds of one route have the same name, so that they
 * share what is learned about it and the operators' exceptions.
 */
export class RouteKinds {
  private readonly kindsByRoute = new Map<Route, Map<number, RequestKind>>()

  private constructor () {}

  static create (): RouteKinds {
    return new RouteKinds()
  }

  /** The kind of a route's requests; the priority of their customer, if it has one, takes precedence over the route's. */
  kindOf (route: Route, customerPriority?: number): RequestKind {
    const priority = customerPriority ?? route.priority
    const kinds = this.kindsByRoute.get(route) ?? new Map<number, RequestKind>()
    this.kindsByRoute.set(route, kinds)
    const known = kinds.get(priority)
    if (known !== undefined) return known
    const created = requestKindOf({ ...route, priority })
    kinds.set(priority, created)
    return created
  }
}
