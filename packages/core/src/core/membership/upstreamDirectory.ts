import type { Milliseconds } from '../../types/clock.js'
import type { Upstream } from '../../types/upstream.js'
import type { UpstreamEntry } from '../../types/upstreamEntry.js'

interface Known {
  entry: UpstreamEntry
  warmAt: Milliseconds
  /** When the entry was found missing while it may still come back; undefined where it is present. */
  missingSince: Milliseconds | undefined
}

/** Options of a directory. */
export interface UpstreamDirectoryOptions {
  /** Time after the registry's return in which a live upstream has renewed an entry that lapsed meanwhile. */
  readonly renewalMs: Milliseconds
}

/** What a change of the registry did to an upstream. */
export type DirectoryChange = 'added' | 'updated' | 'renewed' | 'restarted' | 'draining' | 'removed' | 'held' | 'ignored'

/**
 * Upstreams by their registry entries. Entries of an older incarnation, or of an earlier heartbeat of the same one,
 * are ignored: writes may be applied late. Entries that lapse while the registry is unreachable are kept until live
 * upstreams have had time to renew theirs.
 */
export class UpstreamDirectory {
  private readonly known = new Map<string, Known>()
  private holdUntil: Milliseconds = -Infinity
  private listed: readonly Upstream[] | undefined

  private constructor (private readonly options: UpstreamDirectoryOptions) {}

  static create (options: UpstreamDirectoryOptions): UpstreamDirectory {
    return new UpstreamDirectory(options)
  }

  /** The upstreams that are registered or may still renew their entry. */
  list (): readonly Upstream[] {
    this.listed ??= [...this.known.values()].map(toUpstream)
    return this.listed
  }

  get (id: string): Upstream | undefined {
    const known = this.known.get(id)
    return known === undefined ? undefined : toUpstream(known)
  }

  /** The registry answers again after an outage. */
  onRegistryReturn (now: Milliseconds): void {
    this.holdUntil = now + this.options.renewalMs
  }

  /** An entry was written. */
  put (entry: UpstreamEntry, now: Milliseconds): DirectoryChange {
    const known = this.known.get(entry.id)
    if (known !== undefined && isOlder(entry, known.entry)) return 'ignored'
    const change = changeOf(known, entry)
    const warmAt = change === 'renewed' ? (known as Known).warmAt : now + entry.warmupLeftMs
    this.known.set(entry.id, { entry, warmAt, missingSince: undefined })
    if (change !== 'renewed') this.listed = undefined
    return change
  }

  /** An entry was removed, or replaced by one that names no upstream. */
  remove (id: string, now: Milliseconds): DirectoryChange {
    const known = this.known.get(id)
    if (known === undefined) return 'ignored'
    if (now < this.holdUntil && known.entry.state === 'live') {
      known.missingSince ??= now
      return 'held'
    }
    this.known.delete(id)
    this.listed = undefined
    return 'removed'
  }

  /** The registry's whole content; what it lacks was removed meanwhile. Returns the removed ids. */
  replaceAll (entries: readonly UpstreamEntry[], now: Milliseconds): string[] {
    const present = new Set(entries.map(entry => entry.id))
    const missing = [...this.known.keys()].filter(id => !present.has(id))
    for (const entry of entries) this.put(entry, now)
    return missing.filter(id => this.remove(id, now) === 'removed')
  }

  /** When upstreams whose entries are missing count as gone; undefined where no entry is missing. */
  nextExpiryAt (): Milliseconds | undefined {
    const isMissing = [...this.known.values()].some(({ missingSince }) => missingSince !== undefined)
    return isMissing ? this.holdUntil : undefined
  }

  /** Removes upstreams that did not renew their entry in time. Returns their ids. */
  expire (now: Milliseconds): string[] {
    if (now < this.holdUntil) return []
    const gone = [...this.known].filter(([, known]) => known.missingSince !== undefined).map(([id]) => id)
    for (const id of gone) this.known.delete(id)
    if (gone.length > 0) this.listed = undefined
    return gone
  }
}

function isOlder (entry: UpstreamEntry, known: UpstreamEntry): boolean {
  if (entry.incarnation !== known.incarnation) return entry.incarnation < known.incarnation
  if (entry.sequence !== known.sequence) return entry.sequence < known.sequence
  // An incarnation that drains never becomes ready again.
  return known.state === 'leaving' && entry.state === 'live'
}

function changeOf (known: Known | undefined, entry: UpstreamEntry): DirectoryChange {
  if (known === undefined) return 'added'
  const before = known.entry
  if (before.incarnation !== entry.incarnation) return 'restarted'
  if (before.state === 'live' && entry.state === 'leaving') return 'draining'
  return isSame(before, entry) ? 'renewed' : 'updated'
}

/** Whether a heartbeat says nothing new; the time left until an upstream is warm runs by itself. */
function isSame (one: UpstreamEntry, other: UpstreamEntry): boolean {
  return one.service === other.service && one.address === other.address && one.port === other.port &&
    one.failureDomain === other.failureDomain && one.slots === other.slots && one.state === other.state
}

function toUpstream ({ entry, warmAt }: Known): Upstream {
  const { id, service, address, port, failureDomain, slots, state, incarnation } = entry
  return { id, service, address, port, failureDomain, slots, state, incarnation, warmAt }
}
