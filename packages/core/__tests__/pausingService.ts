import type { Attempt, CallResult } from '../src/types/dispatch.js'
import type { RequestKind } from '../src/types/requestKind.js'
import { createUpstreams, Harness, LOOKUP } from './dispatcherHarness.js'

export const UPSTREAMS = 12
export const SLOTS = 3
export const PAUSE_MS = 1000
const WORK_MS = 30
/** Requests that were sent before the response that begins the pause may still arrive within this time. */
const GRACE_MS = 500
const READ: RequestKind = { ...LOOKUP, name: 'read', deadlineMs: 600 }

interface Pause {
  readonly until: number
  toldAt?: number
  late: number
}

/** A service whose upstreams refuse requests while they pause, called at a fixed rate; it runs 1.2 requests a millisecond. */
export class PausingService {
  readonly harness = Harness.create(0)
  /** Most requests that one upstream got in one pause, later than the grace time. */
  mostLate = 0
  mostInFlight = 0
  private readonly pauses = new Map<string, Pause>()
  private readonly endings: Array<{ readonly at: number, readonly attempt: Attempt }> = []
  private arrived = 0

  constructor () {
    this.harness.dispatcher.setUpstreams(createUpstreams(UPSTREAMS, SLOTS))
  }

  pause (upstreamId: string): void {
    this.pauses.set(upstreamId, { until: this.harness.clock.now() + PAUSE_MS, late: 0 })
  }

  /** Sends a call every `intervalMs` for `durationMs`; `onStep` runs before each. Returns the results of that time. */
  run (durationMs: number, intervalMs: number, onStep: (atMs: number) => void = () => {}): CallResult[] {
    const { size } = this.harness.results
    for (let atMs = 0; atMs < durationMs; atMs++) {
      onStep(atMs)
      if (atMs % intervalMs === 0) this.harness.submit(READ)
      this.handleAttempts()
      this.harness.advance(1)
    }
    return [...this.harness.results.values()].slice(size)
  }

  private handleAttempts (): void {
    const { clock, started, dispatcher } = this.harness
    for (; this.arrived < started.length; this.arrived++) this.onArrival(started[this.arrived] as Attempt, clock.now())
    this.mostInFlight = Math.max(this.mostInFlight, ...dispatcher.snapshot().upstreams.map(({ inFlight }) => inFlight))
    while ((this.endings[0]?.at ?? Infinity) <= clock.now()) this.harness.end(this.endings.shift()!.attempt)
  }

  private onArrival (attempt: Attempt, now: number): void {
    const pause = this.pauses.get(attempt.upstreamId)
    if (pause === undefined || now >= pause.until) return void this.endings.push({ at: now + WORK_MS, attempt })
    pause.toldAt ??= now
    if (now > pause.toldAt + GRACE_MS) pause.late += 1
    this.mostLate = Math.max(this.mostLate, pause.late)
    refuse(this.harness, attempt, pause.until - now)
  }
}

/** Ends an attempt by a refusal that asks for a pause, as the daemon does. */
export function refuse (harness: Harness, attempt: Attempt, retryAfterMs: number): void {
  harness.dispatcher.onAttemptSignals(attempt.id, { isLeaving: false, retryAfterMs })
  harness.end(attempt, 'notRun', { report: harness.report(), retryAfterMs })
}

/** Share of the calls that were answered. */
export function deliveredShare (results: readonly CallResult[]): number {
  return results.filter(({ kind }) => kind === 'delivered').length / results.length
}
