import type { ConfigDocument, ConfigException, Settings } from '../../types/configDocument.js'
import { DEFAULT_ROUTING_POLICY, type PolicyExceptions, type RoutingPolicy } from '../../types/routingPolicy.js'

/** What a lookup of settings is about; parts that do not apply are left out. */
export interface SettingsTarget {
  readonly service?: string
  readonly kind?: string
  readonly upstream?: string
}

/**
 * The settings in force for a target: the defaults, overridden by every exception whose scope covers the
 * target. The narrower scope wins: service, then kind, then kind of a service, then upstream.
 */
export function findSettings (document: ConfigDocument, target: SettingsTarget): Settings {
  const covering = document.exceptions.filter(exception => covers(exception, target))
  covering.sort((a, b) => narrowness(a) - narrowness(b))
  return covering.reduce(override, document.defaults)
}

/** The routing policy in force for a target: the built-in numbers, overridden by those that the document sets. */
export function findPolicy (document: ConfigDocument, target: SettingsTarget): RoutingPolicy {
  return { ...DEFAULT_ROUTING_POLICY, ...findSettings(document, target).routing }
}

/** The policies of the kinds and upstreams of a service that have exceptions of their own. */
export function findPolicyExceptions (document: ConfigDocument, service: string): PolicyExceptions {
  const kinds = new Map<string, RoutingPolicy>()
  const upstreams = new Map<string, RoutingPolicy>()
  for (const { scope } of document.exceptions) {
    const { kind, upstream } = scope
    if (upstream !== undefined) upstreams.set(upstream, findPolicy(document, { service, upstream }))
    else if (kind !== undefined && (scope.service ?? service) === service) kinds.set(kind, findPolicy(document, { service, kind }))
  }
  return { kinds, upstreams }
}

function covers ({ scope }: ConfigException, target: SettingsTarget): boolean {
  if (scope.upstream !== undefined) return scope.upstream === target.upstream
  return (scope.service === undefined || scope.service === target.service) &&
    (scope.kind === undefined || scope.kind === target.kind)
}

function narrowness ({ scope }: ConfigException): number {
  if (scope.upstream !== undefined) return 4
  return (scope.service === undefined ? 0 : 1) + (scope.kind === undefined ? 0 : 2)
}

function override (settings: Settings, { settings: changes }: ConfigException): Settings {
  return { ...settings, routing: { ...settings.routing, ...changes.routing } }
}
