/** Far more upstreams than leave within the time for which their entries may return. */
const MAX_KEPT = 1000

/**
 * The incarnations that have said that they are leaving. They are remembered after their entries are removed: an entry may
 * return, for instance after a restore of the store, and the process behind it must get no work again.
 */
export class LeavingUpstreams {
  /** Incarnation by id of the upstream, oldest first. */
  private readonly incarnations = new Map<string, number>()

  private constructor () {}

  static create (): LeavingUpstreams {
    return new LeavingUpstreams()
  }

  /** Whether this incarnation has said so. One that is not known to have started at a certain time is not remembered. */
  has (upstreamId: string, incarnation: number | undefined): boolean {
    return isStated(incarnation) && this.incarnations.get(upstreamId) === incarnation
  }

  /** Remembers an incarnation. Returns whether that is new. */
  add (upstreamId: string, incarnation: number | undefined): boolean {
    if (!isStated(incarnation)) return true
    const known = this.incarnations.get(upstreamId)
    if (known !== undefined && known >= incarnation) return false
    this.incarnations.delete(upstreamId)
    this.incarnations.set(upstreamId, incarnation)
    if (this.incarnations.size > MAX_KEPT) this.incarnations.delete(this.incarnations.keys().next().value as string)
    return true
  }
}

/** Entries that do not state when the upstream started have incarnation 0 or none. */
function isStated (incarnation: number | undefined): incarnation is number {
  return incarnation !== undefined && incarnation > 0
}
