import type { Milliseconds } from '../../types/clock.js'
import type { Upstream } from '../../types/upstream.js'
import type { UpstreamEntry } from '../../types/upstreamEntry.js'

interface KnownUpstream {
  entry: UpstreamEntry
  warmAt: Milliseconds
  /** When the entry was found missing while it can still be renewed; undefined if it is present. */
  missingSince: Milliseconds | undefined
}

/** The last known state of an upstream that was removed. */
interface RemovedUpstream {
  readonly entry: UpstreamEntry
  readonly removedAt: Milliseconds
}

/** How long removed upstreams are remembered; far longer than the age of a copy from which the store is restored. */
const REMOVED_KEPT_MS: Milliseconds = 600_000

/** Heartbeats are read with varying delay, so that they give slightly different ends of one warm-up. */
const WARMUP_TOLERANCE_MS: Milliseconds = 1000

/** Incarnation of entries that do not state when the upstream started. */
const UNKNOWN_INCARNATION = 0

/** Options of an upstream directory. */
export interface UpstreamDirectoryOptions {
  /** Time after the store's recovery within which live upstreams renew entries that lapsed during the outage. */
  readonly renewalMs: Milliseconds
}

/** Effect of a change in the control store on an upstream. */
export type DirectoryChange = 'added' | 'updated' | 'renewed' | 'restarted' | 'draining' | 'removed' | 'held' | 'ignored'

/**
 * The upstreams according to their entries in the control store. Entries of an older incarnation, or of an earlier
 * heartbeat of the same incarnation, are ignored, because writes may be applied late and a store that is restored from a
 * copy has old entries, also of upstreams that have left. Entries that lapse while the store is unreachable are kept
 * until live upstreams have had time to renew them.
 */
export class UpstreamDirectory {
  private readonly known = new Map<string, KnownUpstream>()
  /** In order of removal. */
  private readonly removed = new Map<string, RemovedUpstream>()
  private holdUntil: Milliseconds = -Infinity
  private cachedList: readonly Upstream[] | undefined

  private constructor (private readonly options: UpstreamDirectoryOptions) {}

  static create (options: UpstreamDirectoryOptions): UpstreamDirectory {
    return new UpstreamDirectory(options)
  }

  /** The upstreams that are registered or can still renew their entries. */
  list (): readonly Upstream[] {
    this.cachedList ??= [...this.known.values()].map(toUpstream)
    return this.cachedList
  }

  get (id: string): Upstream | undefined {
    const known = this.known.get(id)
    return known === undefined ? undefined : toUpstream(known)
  }

  /** Starts the renewal period after an outage of the control store. */
  onStoreRecovered (now: Milliseconds): void {
    this.holdUntil = now + this.options.renewalMs
  }

  /** Ends the renewal period: entries that are missing have been removed. */
  endRenewal (): void {
    this.holdUntil = -Infinity
  }

  /** Handles a written entry. */
  put (entry: UpstreamEntry, now: Milliseconds): DirectoryChange {
    if (this.isOutdated(entry)) return 'ignored'
    const known = this.known.get(entry.id)
    this.removed.delete(entry.id)
    const change = classifyChange(known, entry, now)
    const warmAt = change === 'renewed' ? (known as KnownUpstream).warmAt : now + entry.warmupLeftMs
    this.known.set(entry.id, { entry, warmAt, missingSince: undefined })
    if (change !== 'renewed') this.cachedList = undefined
    return change
  }

  /** Whether the entry is older than what is known of the upstream, or the upstream has left since. */
  isOutdated (entry: UpstreamEntry): boolean {
    const known = this.known.get(entry.id)
    if (known !== undefined) return isOlder(entry, known.entry)
    const last = this.removed.get(entry.id)?.entry
    return last !== undefined && !isNewer(entry, last)
  }

  /** Handles the removal of an entry, or its replacement by one that describes no upstream. */
  remove (id: string, now: Milliseconds): DirectoryChange {
    const known = this.known.get(id)
    if (known === undefined) return 'ignored'
    if (now < this.holdUntil && known.entry.state === 'live') {
      known.missingSince ??= now
      return 'held'
    }
    this.delete(id, known.entry, now)
    return 'removed'
  }

  /** Replaces the content by a complete snapshot of the control store. Returns the ids of removed upstreams. */
  replaceAll (entries: readonly UpstreamEntry[], now: Milliseconds): string[] {
    const present = new Set(entries.map(entry => entry.id))
    const missing = [...this.known.keys()].filter(id => !present.has(id))
    for (const entry of entries) this.put(entry, now)
    return missing.filter(id => this.remove(id, now) === 'removed')
  }

  /** Ids of the upstreams that are kept although their entries are missing. */
  missing (): string[] {
    return [...this.known].filter(([, { missingSince }]) => missingSince !== undefined).map(([id]) => id)
  }

  /** When upstreams with missing entries are due for removal; undefined if no entry is missing. */
  nextExpiryAt (): Milliseconds | undefined {
    return this.missing().length > 0 ? this.holdUntil : undefined
  }

  /** Removes upstreams that did not renew their entries in time. Returns their ids. */
  expire (now: Milliseconds): string[] {
    if (now < this.holdUntil) return []
    const expired = this.missing()
    for (const id of expired) this.delete(id, (this.known.get(id) as KnownUpstream).entry, now)
    return expired
  }

  private delete (id: string, entry: UpstreamEntry, now: Milliseconds): void {
    this.known.delete(id)
    this.cachedList = undefined
    for (const [removedId, { removedAt }] of this.removed) {
      if (removedAt >= now - REMOVED_KEPT_MS) break
      this.removed.delete(removedId)
    }
    this.removed.set(id, { entry, removedAt: now })
  }
}

/** Whether the entry was written after `last`, by the same process or a later one; assumed where no start is stated. */
function isNewer (entry: UpstreamEntry, last: UpstreamEntry): boolean {
  if (entry.incarnation === UNKNOWN_INCARNATION) return true
  return entry.incarnation === last.incarnation ? entry.sequence > last.sequence : entry.incarnation > last.incarnation
}

function isOlder (entry: UpstreamEntry, known: UpstreamEntry): boolean {
  if (entry.incarnation !== known.incarnation) return entry.incarnation < known.incarnation
  if (entry.sequence !== known.sequence) return entry.sequence < known.sequence
  // A draining incarnation never becomes ready again.
  return known.state === 'leaving' && entry.state === 'live'
}

function classifyChange (known: KnownUpstream | undefined, entry: UpstreamEntry, now: Milliseconds): DirectoryChange {
  if (known === undefined) return 'added'
  const before = known.entry
  if (before.incarnation !== entry.incarnation) return 'restarted'
  if (before.state === 'live' && entry.state === 'leaving') return 'draining'
  return hasSameContent(before, entry) && !hasBecomeCold(known, entry, now) ? 'renewed' : 'updated'
}

/** Whether a later heartbeat tells of a longer warm-up than was known. */
function hasBecomeCold ({ entry: before, warmAt }: KnownUpstream, { sequence, warmupLeftMs }: UpstreamEntry, now: Milliseconds): boolean {
  return sequence > before.sequence && warmupLeftMs > 0 && now + warmupLeftMs > warmAt + WARMUP_TOLERANCE_MS
}

/** Whether a heartbeat changes nothing but the remaining warm-up, which decreases with time. */
function hasSameContent (one: UpstreamEntry, other: UpstreamEntry): boolean {
  return one.service === other.service && one.address === other.address && one.port === other.port &&
    one.failureDomain === other.failureDomain && one.slots === other.slots && one.state === other.state
}

function toUpstream ({ entry, warmAt }: KnownUpstream): Upstream {
  const { id, service, address, port, failureDomain, slots, state, incarnation } = entry
  return { id, service, address, port, failureDomain, slots, state, incarnation, warmAt }
}
