/** A path at which two documents differ; undefined means that the value is absent. */
export interface Difference {
  readonly path: string
  readonly before: unknown
  readonly after: unknown
}

/** Lists the paths at which two JSON values differ, in sorted order. */
export function diffDocuments (before: unknown, after: unknown): Difference[] {
  const oldLeaves = collectLeaves(before)
  const newLeaves = collectLeaves(after)
  const paths = [...new Set([...oldLeaves.keys(), ...newLeaves.keys()])].sort()
  return paths
    .map(path => ({ path, before: oldLeaves.get(path), after: newLeaves.get(path) }))
    .filter(difference => JSON.stringify(difference.before) !== JSON.stringify(difference.after))
}

/** Formats a difference: a `-` line for the old value and a `+` line for the new one, each only if present. */
export function formatDifference ({ path, before, after }: Difference): string[] {
  const removed = before === undefined ? [] : [`- ${path}: ${JSON.stringify(before)}`]
  const added = after === undefined ? [] : [`+ ${path}: ${JSON.stringify(after)}`]
  return [...removed, ...added]
}

/** Collects leaf values by path. Empty objects and arrays count as leaves, so that removing the last element shows up. */
function collectLeaves (value: unknown, path = '', leaves = new Map<string, unknown>()): Map<string, unknown> {
  const entries = typeof value === 'object' && value !== null ? Object.entries(value) : []
  if (entries.length === 0) {
    if (value !== undefined) leaves.set(path, value)
    return leaves
  }
  for (const [key, child] of entries) collectLeaves(child, path === '' ? key : `${path}.${key}`, leaves)
  return leaves
}
