import type { Clock, Milliseconds } from '../../types/clock.js'
import type { RandomSource } from '../../types/randomSource.js'
import type { Upstream } from '../../types/upstream.js'
import { UpstreamCoverage } from './upstreamCoverage.js'

/** `suspected`: there are signs that no upstream can be reached; `cutOff`: there is proof. */
export type ReachabilityState = 'reachable' | 'suspected' | 'cutOff'

/** What a state rests on, for the log and the dump. */
export interface ReachabilityEvidence {
  readonly state: ReachabilityState
  /** Time without a byte from any upstream while requests were outstanding or had failed; 0 if there is none. */
  readonly silentMs: Milliseconds
  /** Upstreams that could not be reached, lost the connection or did not answer a probe since the last response. */
  readonly failedUpstreams: number
  readonly failedDomains: number
  /** Requests and probes without an answer. */
  readonly outstanding: number
  /** Upstreams to which no new connection could be opened since the last one that answered. */
  readonly refusedConnections: number
}

/**
 * Why an exchange with an upstream ended without a response. `unconnected`: on a new connection, whether it was not established
 * or stayed silent; `lost`: the connection was lost; `silent`: a probe timed out on a connection that had been in use.
 */
export type ContactFailure = 'unconnected' | 'lost' | 'silent'

/** Silence above which a request without an answer is a sign; shorter than most requests take on an upstream that is slowed down. */
const SUSPICION_MS: Milliseconds = 250

/** Shortest silence of a cut: longer than the pauses of 300 ms in which upstreams are slow. */
const CUT_MS: Milliseconds = 400

/** Upstreams that must have failed for a cut, as far as there are as many. */
const CUT_UPSTREAMS = 3

const SUSPICION_UPSTREAMS = 2

/** Failures older than this say nothing about the present. */
const FAILURE_LIFETIME_MS: Milliseconds = 3000

/** Failed connections count as a sign for this long, because meanwhile those that are open may still carry answers. */
const REFUSED_LIFETIME_MS: Milliseconds = 2000

/** An upstream that answered within this time is the most likely one to answer a probe. */
const ANSWER_LIFETIME_MS: Milliseconds = 5000

/** A gap between two ticks above which the process did not run: answers may wait unread while timeouts have already fired. */
const FREEZE_MS: Milliseconds = 300

/** Probes that are sent at once when a suspicion arises. */
const PROBE_BURST = 4

const PROBES_PER_MS = 4 / 1000

/** Upstreams whose probes must have failed for a cut: requests fail for other reasons too, such as a crash. */
const CUT_PROBED_UPSTREAMS = 2

/** What is sent to an upstream. */
export type ContactKind = 'request' | 'probe'

interface Exchange {
  readonly upstreamId: string
  readonly kind: ContactKind
  readonly startedAt: Milliseconds
}

/** Options of the reachability. */
export interface ReachabilityOptions {
  readonly clock: Clock
  readonly random: RandomSource
  /** Called after each change of the state. */
  readonly onChange?: (evidence: ReachabilityEvidence, previous: ReachabilityState) => void
}

/**
 * Decides whether this VM reaches any upstream, over all services. Only a failure that an upstream cannot cause by being
 * slow is proof, and any byte from an upstream, also a refusal, disproves it. Requests without an answer are signs only;
 * they lead to probes, which do give proof.
 */
export class UpstreamReachability {
  private current: ReachabilityState = 'reachable'
  private readonly upstreams = UpstreamCoverage.create()
  private readonly exchanges = new Map<object, Exchange>()
  /** Times of proven failures since the last response, by upstream. */
  private readonly failures = new Map<string, Milliseconds>()
  /** Upstreams whose probes have failed since the last response. */
  private readonly failedProbes = new Set<string>()
  /** Times at which unanswered requests were given up since the last response, by upstream. */
  private readonly unanswered = new Map<string, Milliseconds>()
  /** When each upstream last answered. */
  private readonly answeredAt = new Map<string, Milliseconds>()
  /** Times of failed connections since a new connection last answered, by upstream. */
  private readonly refused = new Map<string, Milliseconds>()
  /** Since when nothing has arrived although something was sent. */
  private silentSince: Milliseconds | undefined
  private lastTickAt: Milliseconds
  private probeTokens = PROBE_BURST

  private constructor (private readonly options: ReachabilityOptions) {
    this.lastTickAt = options.clock.now()
  }

  static create (options: ReachabilityOptions): UpstreamReachability {
    return new UpstreamReachability(options)
  }

  get state (): ReachabilityState {
    return this.current
  }

  /** Sets the registered upstreams of all services. */
  setUpstreams (upstreams: readonly Upstream[]): void {
    this.upstreams.set(upstreams)
    for (const failed of [this.failures, this.unanswered, this.refused, this.answeredAt]) {
      for (const id of failed.keys()) if (!this.upstreams.has(id)) failed.delete(id)
    }
  }

  /** A request or probe is being sent; `exchange` identifies it. */
  onStart (exchange: object, upstreamId: string, kind: ContactKind): void {
    const now = this.readClock()
    this.exchanges.set(exchange, { upstreamId, kind, startedAt: now })
    this.silentSince ??= now
  }

  /** Bytes of a response have arrived, whatever they say. */
  onResponse (exchange: object, isNewConnection: boolean): void {
    const now = this.readClock()
    const upstreamId = this.exchanges.get(exchange)?.upstreamId
    if (upstreamId !== undefined) this.answeredAt.set(upstreamId, now)
    this.exchanges.delete(exchange)
    if (isNewConnection) this.refused.clear()
    this.clearEvidence()
    this.silentSince = this.exchanges.size > 0 ? now : undefined
    this.evaluate(now, true)
  }

  /** The exchange ended, without a response if `onResponse` was not called; `failure` is undefined if this VM gave it up. */
  onEnd (exchange: object, failure?: ContactFailure): void {
    const now = this.readClock()
    const ended = this.exchanges.get(exchange)
    if (ended === undefined) return
    this.exchanges.delete(exchange)
    if (failure === undefined) {
      if (now - ended.startedAt >= SUSPICION_MS) this.unanswered.set(ended.upstreamId, now)
    } else {
      this.failures.set(ended.upstreamId, now)
      if (ended.kind === 'probe') this.failedProbes.add(ended.upstreamId)
      if (failure === 'unconnected') this.refused.set(ended.upstreamId, now)
    }
    this.evaluate(now)
  }

  /** Must be called every 50 ms or so, also to notice that the process did not run. */
  tick (): void {
    const now = this.readClock()
    const elapsedMs = now - this.lastTickAt
    this.lastTickAt = now
    this.probeTokens = Math.min(PROBE_BURST, this.probeTokens + elapsedMs * PROBES_PER_MS)
    expire(this.failures, now - FAILURE_LIFETIME_MS)
    expire(this.unanswered, now - FAILURE_LIFETIME_MS)
    expire(this.refused, now - REFUSED_LIFETIME_MS)
    expire(this.answeredAt, now - ANSWER_LIFETIME_MS)
    if (this.exchanges.size === 0 && this.failures.size === 0 && this.unanswered.size === 0) {
      this.failedProbes.clear()
      this.silentSince = undefined
    }
    this.evaluate(now)
  }

  /**
   * Upstreams to be probed now. While suspected or cut off, a few are asked at once and then four a second. Those that have
   * answered lately come first and those that have failed last, and one of each failure domain and service before a second one.
   */
  takeProbes (mayProbe: (upstreamId: string) => boolean): readonly string[] {
    if (this.current !== 'cutOff' && !this.isSilenceSuspect(this.options.clock.now())) return []
    const count = Math.floor(this.probeTokens)
    if (count === 0) return []
    const chosen = this.candidates(mayProbe).slice(0, count)
    this.probeTokens -= chosen.length
    return chosen
  }

  /** What the state rests on. */
  describe (): ReachabilityEvidence {
    const now = this.options.clock.now()
    return {
      state: this.current,
      silentMs: this.silentMs(now),
      failedUpstreams: this.failures.size,
      failedDomains: new Set([...this.failures.keys()].map(id => this.upstreams.get(id)?.failureDomain)).size,
      outstanding: this.exchanges.size,
      refusedConnections: this.refused.size
    }
  }

  private candidates (mayProbe: (upstreamId: string) => boolean): string[] {
    const { random } = this.options
    const probing = new Set([...this.exchanges.values()].map(({ upstreamId }) => upstreamId))
    const counts = new Map<string, number>()
    const shuffled = [...this.upstreams.values()]
      .filter(({ id }) => mayProbe(id))
      .map(upstream => ({ upstream, key: random.next() }))
      .sort((one, other) => one.key - other.key)
    const ranked = shuffled.map(({ upstream: { id, failureDomain, service } }) => {
      const rank = countNext(counts, `domain ${failureDomain}`) + countNext(counts, `service ${service}`)
      const group = this.failures.has(id) || probing.has(id) ? 2 : this.answeredAt.has(id) ? 0 : 1
      return { id, rank: rank + group * 2 * this.upstreams.size }
    })
    return ranked.sort((one, other) => one.rank - other.rank).map(({ id }) => id)
  }

  private silentMs (now: Milliseconds): Milliseconds {
    return this.silentSince === undefined ? 0 : now - this.silentSince
  }

  /** A frozen process learns nothing from what seems to have happened meanwhile. */
  private readClock (): Milliseconds {
    const now = this.options.clock.now()
    if (now - this.lastTickAt <= FREEZE_MS) return now
    this.lastTickAt = now
    this.clearEvidence()
    this.refused.clear()
    for (const [exchange, known] of this.exchanges) this.exchanges.set(exchange, { ...known, startedAt: now })
    if (this.silentSince !== undefined) this.silentSince = now
    return now
  }

  private clearEvidence (): void {
    this.failures.clear()
    this.failedProbes.clear()
    this.unanswered.clear()
  }

  private evaluate (now: Milliseconds, hasResponded = false): void {
    const previous = this.current
    this.current = this.nextState(now, hasResponded)
    if (this.current !== previous) this.options.onChange?.(this.describe(), previous)
  }

  /** Only a response ends a cut: without traffic there is nothing that could show its end but the probes. */
  private nextState (now: Milliseconds, hasResponded: boolean): ReachabilityState {
    if (this.current === 'cutOff' && !hasResponded && this.silentSince !== undefined) return 'cutOff'
    if (this.isProven(now)) return 'cutOff'
    return this.isSuspect(now) ? 'suspected' : 'reachable'
  }

  private isProven (now: Milliseconds): boolean {
    const hasFailedProbes = this.failedProbes.size >= Math.min(CUT_PROBED_UPSTREAMS, this.upstreams.size)
    return hasFailedProbes && this.silentMs(now) >= CUT_MS && this.upstreams.coversEnough(this.failures, CUT_UPSTREAMS)
  }

  private isSuspect (now: Milliseconds): boolean {
    return this.upstreams.coversEnough(this.refused, CUT_UPSTREAMS) || this.isSilenceSuspect(now)
  }

  private isSilenceSuspect (now: Milliseconds): boolean {
    if (this.silentMs(now) < SUSPICION_MS && this.failures.size === 0) return false
    const signs = new Set([...this.failures.keys(), ...this.unanswered.keys()])
    for (const { upstreamId, startedAt } of this.exchanges.values()) {
      if (now - startedAt >= SUSPICION_MS) signs.add(upstreamId)
    }
    return signs.size >= Math.max(1, Math.min(SUSPICION_UPSTREAMS, this.upstreams.size))
  }
}

/** Number of earlier calls with this key. */
function countNext (counts: Map<string, number>, key: string): number {
  const count = counts.get(key) ?? 0
  counts.set(key, count + 1)
  return count
}

function expire (times: Map<string, Milliseconds>, oldest: Milliseconds): void {
  for (const [id, at] of times) if (at < oldest) times.delete(id)
}
