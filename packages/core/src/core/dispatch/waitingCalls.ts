import type { Milliseconds } from '../../types/clock.js'
import type { CallResult } from '../../types/dispatch.js'
import type { Timer } from '../../utils/timerQueue.js'
import type { UpstreamState } from '../health/upstreamState.js'
import { latestStartAt } from '../capacity/startEstimate.js'
import { LoadProbes } from '../routing/loadProbes.js'
import type { CallState } from './callState.js'
import { ParkedCalls } from './parkedCalls.js'
import { PendingRetries } from './pendingRetries.js'
import type { RoutingContext } from './routingContext.js'

/** What happens to waiting calls; implemented by the call engine. */
export interface WaitEvents {
  finish (state: CallState, result: CallResult): void
  /** A call is queued again after its probes. */
  onQueued (): void
}

/** The calls of one service that wait: in the queue, for load probes, for a retry, or for the trial of a suspect request. */
export class WaitingCalls {
  readonly parked = ParkedCalls.create()
  readonly retries: PendingRetries
  private readonly probes: LoadProbes
  private recheckTimer: Timer | undefined

  private constructor (private readonly context: RoutingContext, private readonly events: WaitEvents) {
    this.retries = PendingRetries.create(context)
    this.probes = LoadProbes.create(context, state => this.resumeProbed(state))
  }

  static create (context: RoutingContext, events: WaitEvents): WaitingCalls {
    return new WaitingCalls(context, events)
  }

  get size (): number {
    return this.context.queue.size + this.retries.size + this.parked.size + this.probes.size
  }

  enqueue (state: CallState): void {
    state.phase = 'queued'
    this.context.queue.push(state, this.context.clock.now())
    this.scheduleRefusal(state)
  }

  /** Lets a call wait for its retry; it ends with `result` at the latest time at which one could start. */
  awaitRetry (state: CallState, result: () => CallResult): void {
    state.phase = 'awaitingRetry'
    this.retries.add(state)
    this.scheduleTimeout(state, result)
  }

  /** Parks a call until the trial of its request has ended. */
  park (state: CallState): void {
    this.remove(state)
    state.phase = 'parked'
    this.parked.add(state)
  }

  /** Starts load probes for a queued call if needed. Returns whether it waits for them. */
  beginProbes (state: CallState, hasFreeUpstream: boolean): boolean {
    if (!this.probes.begin(state, hasFreeUpstream)) return false
    this.remove(state)
    state.phase = 'probing'
    return true
  }

  /** A probe of an upstream ended, with or without a report. */
  onProbeEnd (upstream: UpstreamState): void {
    this.probes.onProbeEnd(upstream)
  }

  /** Stops a call from waiting. */
  remove (state: CallState): void {
    if (state.phase === 'queued') this.context.queue.remove(state)
    if (state.phase === 'awaitingRetry') this.retries.remove(state)
    if (state.phase === 'parked') this.parked.remove(state)
    if (state.phase === 'probing') this.probes.remove(state)
    this.context.timers.cancel(state.waitTimer)
  }

  /** Schedules the next check of the queue and of the retries, in case no other event triggers one. */
  scheduleRecheck (): void {
    const { queue, timers, clock, policy } = this.context
    const isWaiting = queue.size + this.retries.size > 0
    if (!isWaiting || (this.recheckTimer?.heapIndex ?? -1) >= 0) return
    this.recheckTimer = timers.schedule(clock.now() + policy.queueRecheckMs, () => {})
  }

  /** Queues a call again whose probes have ended or timed out. */
  private resumeProbed (state: CallState): void {
    state.phase = 'queued'
    this.context.queue.pushFront(state, this.context.clock.now())
    this.scheduleRefusal(state)
    this.events.onQueued()
  }

  private scheduleRefusal (state: CallState): void {
    this.scheduleTimeout(state, () => ({ kind: 'notRun', code: 'deadlineUnreachable' }))
  }

  /** Finishes a waiting call at the latest time at which an attempt could start and still end in time. */
  private scheduleTimeout (state: CallState, result: () => CallResult): void {
    const { timers, clock } = this.context
    const at = Math.max(clock.now(), this.timeoutAt(state))
    state.waitTimer = timers.schedule(at, () => this.events.finish(state, result()))
  }

  private timeoutAt (state: CallState): Milliseconds {
    const { serviceTimes } = this.context
    if (state.attemptCount === 0 && state.call.targetAt !== undefined) return latestStartAt(this.context, state.call)
    const { hopelessQuantile } = this.context.policyOf(state.call.kind)
    const neededMs = serviceTimes.quantileMs(state.call.kind, hopelessQuantile) ?? 0
    return state.call.deadlineAt - neededMs
  }
}
