import type { PolicyException } from '../types/policyException.js'
import { KIND_SETTING_NAMES, UPSTREAM_SETTING_NAMES } from '../types/routingPolicy.js'

/** A problem in a policy document: its path, and a message that states what is wrong or what is accepted. */
export interface PolicyProblem {
  readonly path: ReadonlyArray<string | number>
  readonly message: string
}

/** Finds problems that the schema cannot express: settings without effect in their scope, and duplicate settings. */
export function findPolicyProblems ({ exceptions }: { readonly exceptions: readonly PolicyException[] }): PolicyProblem[] {
  const problems: PolicyProblem[] = []
  const indexByKey = new Map<string, number>()
  exceptions.forEach((exception, index) => {
    problems.push(...findUnscopedSettings(exception, index), ...findRepeatedSettings(exception, index, indexByKey))
  })
  return problems
}

function findRepeatedSettings ({ scope, settings }: PolicyException, index: number, indexByKey: Map<string, number>): PolicyProblem[] {
  const names = Object.keys(settings.routing)
  if (names.length === 0) return [{ path: ['exceptions', index, 'settings'], message: 'accepted: at least one setting' }]
  const scopeKey = JSON.stringify([scope.service, scope.kind, scope.upstream])
  return names.flatMap(name => {
    const key = `${scopeKey} ${name}`
    const earlierIndex = indexByKey.get(key)
    indexByKey.set(key, index)
    if (earlierIndex === undefined) return []
    return [{ path: ['exceptions', index, 'settings', 'routing', name], message: `exception ${earlierIndex} has the same scope and setting` }]
  })
}

/** Settings that routing reads for the whole service have no effect in a narrower scope. */
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
