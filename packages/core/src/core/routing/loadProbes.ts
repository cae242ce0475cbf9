import type { Timer } from '../../utils/timerQueue.js'
import type { CallState } from '../dispatch/callState.js'
import type { RoutingContext } from '../dispatch/routingContext.js'
import { rankUpstreams } from './upstreamChoice.js'
import type { UpstreamState } from '../health/upstreamState.js'

interface Waiting {
  readonly upstreams: Set<UpstreamState>
  timer: Timer | undefined
}

/**
 * Asks the best upstreams for their load before a call is sent, where their reports are old. The load shifts within
 * milliseconds, and one VM alone hears of an upstream too seldom to know it.
 */
export class LoadProbes {
  private readonly waiting = new Map<CallState, Waiting>()

  private constructor (private readonly context: RoutingContext, private readonly resume: (state: CallState) => void) {}

  static create (context: RoutingContext, resume: (state: CallState) => void): LoadProbes {
    return new LoadProbes(context, resume)
  }

  /** Calls that wait for their probes. */
  get size (): number {
    return this.waiting.size
  }

  /**
   * Returns whether the call has to wait for probes. A call for which no upstream with room is known goes on asking
   * until one is found or all reports are fresh; others ask once.
   */
  begin (state: CallState, isRoomKnown: boolean): boolean {
    const { policy, clock, timers } = this.context
    const now = clock.now()
    if (policy.probeUpstreams === 0) return false
    if (isRoomKnown && now - state.probedAt < policy.probeReportAgeMs) return false
    const upstreams = new Set(this.targetsFor(state).filter(upstream => this.isProbed(upstream)))
    if (upstreams.size === 0) return false
    state.probedAt = now
    const timer = timers.schedule(now + policy.probeWaitMs, () => this.end(state))
    this.waiting.set(state, { upstreams, timer })
    return true
  }

  /** A probe ended, with or without a report. */
  onEnd (upstream: UpstreamState): void {
    upstream.probeSentAt = undefined
    for (const [state, { upstreams }] of [...this.waiting]) {
      if (upstreams.delete(upstream) && upstreams.size === 0) this.end(state)
    }
  }

  /** The call no longer waits. */
  remove (state: CallState): void {
    this.context.timers.cancel(this.waiting.get(state)?.timer)
    this.waiting.delete(state)
  }

  private end (state: CallState): void {
    if (!this.waiting.has(state)) return
    this.remove(state)
    this.resume(state)
  }

  /** The best upstreams whose reports are old, within the failure domain of the best one. */
  private targetsFor (state: CallState): UpstreamState[] {
    const { policy, clock, table } = this.context
    const ranked = rankUpstreams(this.context, state, policy.probeUpstreams)
    const oldest = clock.now() - policy.probeReportAgeMs
    return ranked
      .filter(({ upstream }) => upstream.failureDomain === ranked[0]?.upstream.failureDomain)
      .filter(({ report }) => report === undefined || report.receivedAt < oldest)
      .map(({ upstream }) => table.get(upstream.id) as UpstreamState)
  }

  /** Whether a probe of the upstream is under way, which is started here where the budget allows. */
  private isProbed (upstream: UpstreamState): boolean {
    const { policy, clock, measuring, counters, port } = this.context
    const now = clock.now()
    if (upstream.probeSentAt !== undefined) return now - upstream.probeSentAt <= policy.probeWaitMs
    if (!measuring.trySpend(policy.probeBytes, now)) return false
    upstream.probeSentAt = now
    counters.probes += 1
    port.sendProbe?.(upstream.upstream.id)
    return true
  }
}
