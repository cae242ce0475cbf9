import type { Timer } from '../../utils/timerQueue.js'
import type { CallState } from '../dispatch/callState.js'
import type { RoutingContext } from '../dispatch/routingContext.js'
import { rankUpstreams } from './upstreamChoice.js'
import type { UpstreamState } from '../health/upstreamState.js'

interface PendingProbes {
  readonly upstreams: Set<UpstreamState>
  timer: Timer | undefined
}

/**
 * Probes the load of the best upstreams before a call is sent, if their reports are old. Load changes within
 * milliseconds, and the responses to one VM's calls are too rare to track it.
 */
export class LoadProbes {
  private readonly pending = new Map<CallState, PendingProbes>()

  private constructor (private readonly context: RoutingContext, private readonly resume: (state: CallState) => void) {}

  static create (context: RoutingContext, resume: (state: CallState) => void): LoadProbes {
    return new LoadProbes(context, resume)
  }

  /** Number of calls that wait for their probes. */
  get size (): number {
    return this.pending.size
  }

  /**
   * Starts probes if needed and returns whether the call must wait for them. A call for which no free upstream is
   * known keeps probing until one is found or all reports are fresh; others probe once.
   */
  begin (state: CallState, hasFreeUpstream: boolean): boolean {
    const { policy, clock, timers } = this.context
    const now = clock.now()
    if (policy.probeUpstreams === 0) return false
    if (hasFreeUpstream && now - state.probedAt < policy.probeReportAgeMs) return false
    const upstreams = new Set(this.targetsFor(state).filter(upstream => this.ensureProbe(upstream)))
    if (upstreams.size === 0) return false
    state.probedAt = now
    const timer = timers.schedule(now + policy.probeWaitMs, () => this.end(state))
    this.pending.set(state, { upstreams, timer })
    return true
  }

  /** Handles the end of a probe, with or without a report. */
  onProbeEnd (upstream: UpstreamState): void {
    upstream.probeSentAt = undefined
    for (const [state, { upstreams }] of [...this.pending]) {
      if (upstreams.delete(upstream) && upstreams.size === 0) this.end(state)
    }
  }

  /** Stops the call from waiting, without resuming it. */
  remove (state: CallState): void {
    this.context.timers.cancel(this.pending.get(state)?.timer)
    this.pending.delete(state)
  }

  private end (state: CallState): void {
    if (!this.pending.has(state)) return
    this.remove(state)
    this.resume(state)
  }

  /**
   * The best upstreams with old reports, limited to the failure domain of the best one. Those that name a request rate
   * are not probed: a probe is a request to them.
   */
  private targetsFor (state: CallState): UpstreamState[] {
    const { policy, clock, table } = this.context
    const ranked = rankUpstreams(this.context, state, policy.probeUpstreams)
    const oldest = clock.now() - policy.probeReportAgeMs
    return ranked
      .filter(({ upstream }) => upstream.failureDomain === ranked[0]?.upstream.failureDomain)
      .filter(({ report }) => report === undefined || report.receivedAt < oldest)
      .map(({ upstream }) => table.get(upstream.id) as UpstreamState)
      .filter(({ rateLimit }) => !rateLimit.isLimited(clock.now()))
  }

  /** Starts a probe unless one is under way. Returns false if the last one is overdue or the budget is exhausted. */
  private ensureProbe (upstream: UpstreamState): boolean {
    const { policy, clock, probeBudget, counters, port } = this.context
    const now = clock.now()
    if (upstream.probeSentAt !== undefined) return now - upstream.probeSentAt <= policy.probeWaitMs
    if (!probeBudget.trySpend(policy.probeBytes, now)) return false
    upstream.probeSentAt = now
    upstream.rateLimit.onProbe()
    counters.probes += 1
    port.sendProbe?.(upstream.upstream.id)
    return true
  }
}
