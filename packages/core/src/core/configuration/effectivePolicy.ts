import type { PolicyDocument } from '../../types/policyDocument.js'
import type { PolicyException, RoutingSettings } from '../../types/policyException.js'
import type { PolicyExceptions, RoutingPolicy } from '../../types/routingPolicy.js'

/** What settings are resolved for; fields that do not apply are omitted. */
export interface PolicyTarget {
  readonly service?: string
  readonly kind?: string
  readonly upstream?: string
}

/** The policy of a service and the differing ones of its kinds and upstreams. */
export interface ServicePolicies {
  readonly policy: RoutingPolicy
  readonly exceptions: PolicyExceptions
}

/**
 * Resolves the settings of a document for a target: its defaults, overridden by every exception whose scope covers the
 * target. More specific scopes take precedence, in ascending order: service, kind, kind of a service, upstream.
 */
export function resolveSettings (document: PolicyDocument, target: PolicyTarget): RoutingSettings {
  const matching = document.exceptions.filter(exception => covers(exception, target))
  matching.sort((a, b) => specificity(a) - specificity(b))
  return matching.reduce((merged, { settings }) => ({ ...merged, ...settings.routing }), document.defaults.routing)
}

/** Resolves the routing policy in force for a target: `base`, overridden by the settings of the document. */
export function resolvePolicy (base: RoutingPolicy, document: PolicyDocument, target: PolicyTarget): RoutingPolicy {
  return { ...base, ...resolveSettings(document, target) }
}

/** Resolves the policies of the kinds and upstreams of a service that have their own exceptions. */
export function resolvePolicyExceptions (base: RoutingPolicy, document: PolicyDocument, service: string): PolicyExceptions {
  const kinds = new Map<string, RoutingPolicy>()
  const upstreams = new Map<string, RoutingPolicy>()
  for (const { scope } of document.exceptions) {
    const { kind, upstream } = scope
    if (upstream !== undefined) upstreams.set(upstream, resolvePolicy(base, document, { service, upstream }))
    else if (kind !== undefined && (scope.service ?? service) === service) kinds.set(kind, resolvePolicy(base, document, { service, kind }))
  }
  return { kinds, upstreams }
}

/** Lowers settings that exceed `bounds`. */
export function capPolicies ({ policy, exceptions }: ServicePolicies, bounds: RoutingSettings): ServicePolicies {
  const capAll = (policies: ReadonlyMap<string, RoutingPolicy>): Map<string, RoutingPolicy> =>
    new Map([...policies].map(([name, uncapped]) => [name, capPolicy(uncapped, bounds)]))
  return {
    policy: capPolicy(policy, bounds),
    exceptions: { kinds: capAll(exceptions.kinds), upstreams: capAll(exceptions.upstreams) }
  }
}

function capPolicy (policy: RoutingPolicy, bounds: RoutingSettings): RoutingPolicy {
  const lowered = Object.entries(bounds).map(([name, bound]) => [name, Math.min(policy[name as keyof RoutingPolicy], bound)])
  return { ...policy, ...Object.fromEntries(lowered) as RoutingSettings }
}

function covers ({ scope }: PolicyException, target: PolicyTarget): boolean {
  if (scope.upstream !== undefined) return scope.upstream === target.upstream
  return (scope.service === undefined || scope.service === target.service) &&
    (scope.kind === undefined || scope.kind === target.kind)
}

function specificity ({ scope }: PolicyException): number {
  if (scope.upstream !== undefined) return 4
  return (scope.service === undefined ? 0 : 1) + (scope.kind === undefined ? 0 : 2)
}
