import type { Clock, Milliseconds } from '../../types/clock.js'
import { MAX_CRASHES, MAX_EXCHANGE_ENTRIES, type ExchangeMessage } from '../../types/exchange.js'

/** Marks that are kept; the oldest give way. */
const MAX_MARKS = 1_000

interface Mark {
  readonly crashes: ReadonlySet<string>
  readonly until: Milliseconds
}

const NO_CRASHES: ReadonlySet<string> = new Set()

/** What a VM learns about upstreams and requests and passes on until it expires. */
export class SharedMarks {
  private readonly drainingUntil = new Map<string, Milliseconds>()
  private readonly suspects = new Map<string, Mark>()

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): SharedMarks {
    return new SharedMarks(clock)
  }

  /** Notes that an upstream takes no new work; true where that is news. */
  noteDraining (upstreamId: string, remainingMs: Milliseconds): boolean {
    const known = this.isDraining(upstreamId)
    const until = Math.max(this.drainingUntil.get(upstreamId) ?? 0, this.clock.now() + remainingMs)
    replaceLast(this.drainingUntil, upstreamId, until)
    return !known && remainingMs > 0
  }

  /** Notes crashes of requests with a fingerprint; true where some are news. Ids keep a crash from counting twice. */
  noteCrashes (fingerprint: string, crashIds: readonly string[], remainingMs: Milliseconds): boolean {
    if (remainingMs <= 0) return false
    const now = this.clock.now()
    const known = this.suspects.get(fingerprint)
    const current = known !== undefined && known.until > now ? known : { crashes: NO_CRASHES, until: 0 }
    const crashes = new Set([...new Set([...current.crashes, ...crashIds])].slice(0, MAX_CRASHES))
    replaceLast(this.suspects, fingerprint, { crashes, until: Math.max(current.until, now + remainingMs) })
    return crashes.size > current.crashes.size
  }

  isDraining (upstreamId: string): boolean {
    return (this.drainingUntil.get(upstreamId) ?? 0) > this.clock.now()
  }

  /** Number of crashes known for a fingerprint, at most 2. */
  crashesOf (fingerprint: string): number {
    const mark = this.suspects.get(fingerprint)
    return mark === undefined || mark.until <= this.clock.now() ? 0 : mark.crashes.size
  }

  /** The newest marks, for a message. */
  list (): Pick<ExchangeMessage, 'draining' | 'suspects'> {
    this.sweep()
    const now = this.clock.now()
    return {
      draining: [...this.drainingUntil].slice(-MAX_EXCHANGE_ENTRIES).map(([id, until]) => [id, until - now]),
      suspects: [...this.suspects].slice(-MAX_EXCHANGE_ENTRIES).map(([fingerprint, { crashes, until }]) => [fingerprint, [...crashes], until - now])
    }
  }

  private sweep (): void {
    const now = this.clock.now()
    for (const [id, until] of this.drainingUntil) {
      if (until <= now) this.drainingUntil.delete(id)
    }
    for (const [fingerprint, { until }] of this.suspects) {
      if (until <= now) this.suspects.delete(fingerprint)
    }
  }
}

/** Sets an entry; a new one goes last, and the first gives way where there are too many. */
function replaceLast<T> (marks: Map<string, T>, name: string, value: T): void {
  marks.set(name, value)
  if (marks.size <= MAX_MARKS) return
  for (const oldest of marks.keys()) {
    marks.delete(oldest)
    return
  }
}
