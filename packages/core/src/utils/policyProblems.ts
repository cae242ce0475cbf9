import type { PolicyException, PolicyDocument } from '../types/policyDocument.js'
import { KIND_SETTING_NAMES, UPSTREAM_SETTING_NAMES } from '../types/routingPolicy.js'

/** One problem of a document: where it is, what is wrong, and what is accepted. */
export interface PolicyProblem {
  readonly path: ReadonlyArray<string | number>
  readonly message: string
}

/** Finds what the shape of a document cannot express: settings without effect in their scope, and contradictions. */
export function findProblems ({ exceptions }: PolicyDocument): PolicyProblem[] {
  const problems: PolicyProblem[] = []
  const seen = new Map<string, number>()
  exceptions.forEach((exception, index) => {
    problems.push(...findUnscopedSettings(exception, index), ...findRepeatedSettings(exception, index, seen))
  })
  return problems
}

function findRepeatedSettings ({ scope, settings }: PolicyException, index: number, seen: Map<string, number>): PolicyProblem[] {
  const names = Object.keys(settings.routing)
  if (names.length === 0) return [{ path: ['exceptions', index, 'settings'], message: 'accepted: at least one setting' }]
  const scopeKey = JSON.stringify([scope.service, scope.kind, scope.upstream])
  return names.flatMap(name => {
    const key = `${scopeKey} ${name}`
    const earlier = seen.get(key)
    seen.set(key, index)
    if (earlier === undefined) return []
    return [{ path: ['exceptions', index, 'settings', 'routing', name], message: `exception ${earlier} has the same scope and setting` }]
  })
}

/** A setting that routing looks up for the whole service would have no effect in a narrower scope. */
function findUnscopedSettings ({ scope, settings }: PolicyException, index: number): PolicyProblem[] {
  const accepted = acceptedIn(scope)
  if (accepted === undefined) return []
  return Object.keys(settings.routing)
    .filter(name => !accepted.names.includes(name))
    .map(name => ({
      path: ['exceptions', index, 'settings', 'routing', name],
      message: `no effect for ${accepted.scope}; accepted there: ${accepted.names.join(', ')}`
    }))
}

function acceptedIn ({ kind, upstream }: PolicyException['scope']): { readonly scope: string, readonly names: readonly string[] } | undefined {
  if (upstream !== undefined) return { scope: 'an upstream', names: UPSTREAM_SETTING_NAMES }
  return kind === undefined ? undefined : { scope: 'a kind', names: KIND_SETTING_NAMES }
}
