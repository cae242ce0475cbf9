import type { PolicyDocument, PolicyException, RoutingSettings } from '../../types/policyDocument.js'
import type { PolicyExceptions, RoutingPolicy } from '../../types/routingPolicy.js'

/** What a lookup of settings is about; parts that do not apply are left out. */
export interface PolicyTarget {
  readonly service?: string
  readonly kind?: string
  readonly upstream?: string
}

/** The policy of a service and those of its kinds and upstreams that differ. */
export interface ServicePolicies {
  readonly policy: RoutingPolicy
  readonly exceptions: PolicyExceptions
}

/**
 * The numbers that a document sets for a target: its defaults, overridden by every exception whose scope covers the
 * target. The narrower scope wins: service, then kind, then kind of a service, then upstream.
 */
export function findSettings (document: PolicyDocument, target: PolicyTarget): RoutingSettings {
  const covering = document.exceptions.filter(exception => covers(exception, target))
  covering.sort((a, b) => narrowness(a) - narrowness(b))
  return covering.reduce((numbers, { settings }) => ({ ...numbers, ...settings.routing }), document.defaults.routing)
}

/** The routing policy in force for a target: `base`, overridden by what the document sets. */
export function findPolicy (base: RoutingPolicy, document: PolicyDocument, target: PolicyTarget): RoutingPolicy {
  return { ...base, ...findSettings(document, target) }
}

/** The policies of the kinds and upstreams of a service that have exceptions of their own. */
export function findPolicyExceptions (base: RoutingPolicy, document: PolicyDocument, service: string): PolicyExceptions {
  const kinds = new Map<string, RoutingPolicy>()
  const upstreams = new Map<string, RoutingPolicy>()
  for (const { scope } of document.exceptions) {
    const { kind, upstream } = scope
    if (upstream !== undefined) upstreams.set(upstream, findPolicy(base, document, { service, upstream }))
    else if (kind !== undefined && (scope.service ?? service) === service) kinds.set(kind, findPolicy(base, document, { service, kind }))
  }
  return { kinds, upstreams }
}

/** Lowers numbers that are above `bounds`. */
export function boundPolicies ({ policy, exceptions }: ServicePolicies, bounds: RoutingSettings): ServicePolicies {
  const boundAll = (policies: ReadonlyMap<string, RoutingPolicy>): Map<string, RoutingPolicy> =>
    new Map([...policies].map(([name, numbers]) => [name, boundPolicy(numbers, bounds)]))
  return {
    policy: boundPolicy(policy, bounds),
    exceptions: { kinds: boundAll(exceptions.kinds), upstreams: boundAll(exceptions.upstreams) }
  }
}

function boundPolicy (policy: RoutingPolicy, bounds: RoutingSettings): RoutingPolicy {
  const lowered = Object.entries(bounds).map(([name, bound]) => [name, Math.min(policy[name as keyof RoutingPolicy], bound)])
  return { ...policy, ...Object.fromEntries(lowered) as RoutingSettings }
}

function covers ({ scope }: PolicyException, target: PolicyTarget): boolean {
  if (scope.upstream !== undefined) return scope.upstream === target.upstream
  return (scope.service === undefined || scope.service === target.service) &&
    (scope.kind === undefined || scope.kind === target.kind)
}

function narrowness ({ scope }: PolicyException): number {
  if (scope.upstream !== undefined) return 4
  return (scope.service === undefined ? 0 : 1) + (scope.kind === undefined ? 0 : 2)
}
