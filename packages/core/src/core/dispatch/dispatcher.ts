import type { Milliseconds } from '../../types/clock.js'
import type { AttemptEnd, Call } from '../../types/dispatch.js'
import type { DispatcherSnapshot } from '../../types/dispatcherSnapshot.js'
import { NO_POLICY_EXCEPTIONS, type PolicyExceptions, type RoutingPolicy } from '../../types/routingPolicy.js'
import type { Warmup } from '../../types/routes.js'
import type { LoadReport, RateNotice, ResponseSignals, Upstream } from '../../types/upstream.js'
import { AttemptEventHandler } from './attemptEventHandler.js'
import { CallEngine } from './callEngine.js'
import { recordProgress } from './callState.js'
import { interruptCalls, refuseNotRun } from './stopCalls.js'
import { RoutingContext, type DispatcherOptions } from './routingContext.js'
import type { LatencyEstimate } from '../../types/latencyEstimate.js'
import type { RequestKind } from '../../types/requestKind.js'
import type { ResultCodeName } from '../../types/resultCode.js'
import type { SuspectMark } from '../../types/suspectMark.js'

const TYPICAL_QUANTILE = 0.5
const LONG_QUANTILE = 0.99

// Fewer responses are too few to estimate a high quantile.
const MIN_LATENCY_SAMPLES = 20

export type { DispatcherOptions } from './routingContext.js'
export type { SuspectMark } from '../../types/suspectMark.js'

/** Routes the calls of one service on one entry VM. Performs no I/O: the host carries out attempts and calls `tick`. */
export class Dispatcher {
  private readonly context: RoutingContext
  private readonly engine: CallEngine
  private readonly attemptEvents: AttemptEventHandler

  private constructor (options: DispatcherOptions) {
    this.context = RoutingContext.create(options)
    this.engine = CallEngine.create(this.context)
    this.attemptEvents = AttemptEventHandler.create(this.context, this.engine)
  }

  static create (options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options)
  }

  /** Replaces the list of registered upstreams. */
  setUpstreams (upstreams: readonly Upstream[]): void {
    this.context.table.setUpstreams(upstreams, this.context.clock.now())
    this.onAvailabilityChange()
  }

  /** Takes the upstreams of these failure domains out of use until they are left out again. Running attempts continue. */
  setEvacuatedDomains (domains: ReadonlySet<string>): void {
    this.context.table.setEvacuatedDomains(domains, this.context.clock.now())
    this.onAvailabilityChange()
  }

  /** Stops new work for an incarnation of an upstream, which has told another VM that it is leaving. */
  markLeaving (upstreamId: string, incarnation: number): void {
    this.context.table.markLeaving(upstreamId, incarnation)
    this.engine.startWaitingCalls()
  }

  /** Sets the position of this VM in the sorted list of live entry VMs, and their number. Defaults to 0 of 1. */
  setEntryPosition (rank: number, count: number): void {
    this.context.setEntryPosition(rank, count)
    this.engine.startWaitingCalls()
  }

  /** Sets the policy of the service, and the exceptions for kinds and upstreams. */
  setPolicy (policy: RoutingPolicy, exceptions: PolicyExceptions = NO_POLICY_EXCEPTIONS): void {
    this.context.setPolicy(policy, exceptions)
    this.engine.startWaitingCalls()
  }

  /** Imports marks of suspect requests from other VMs. */
  importSuspects (marks: readonly SuspectMark[]): void {
    this.context.suspects.importMarks(marks, this.context.clock.now())
  }

  /** Whether a probe may be sent to an upstream only to find out whether it can be reached. */
  mayProbe (upstreamId: string): boolean {
    const state = this.context.table.get(upstreamId)
    return state !== undefined && this.context.table.takesProbes(state, this.context.clock.now())
  }

  /** Registered upstreams that this VM uses. */
  get upstreamCount (): number {
    return this.context.table.inUse().length
  }

  /** Load probes since the start. */
  get probeCount (): number {
    return this.context.counters.probes
  }

  /** Calls that wait for an upstream. */
  get waitingCalls (): number {
    return this.engine.waitingCalls
  }

  /** Accepts a call. Its result is passed to `DispatchPort.finishCall`, possibly before this returns. */
  submit (call: Call): void {
    this.engine.submit(call)
  }

  /** Cancels a call whose caller has disconnected. */
  cancelCall (callId: number): void {
    this.engine.cancelCall(callId)
  }

  /** How long attempts of a kind of request take; undefined until enough responses are known. */
  latencyOf (kind: RequestKind): LatencyEstimate | undefined {
    const { serviceTimes } = this.context
    const typicalMs = serviceTimes.quantileMs(kind, TYPICAL_QUANTILE, MIN_LATENCY_SAMPLES)
    const longMs = serviceTimes.quantileMs(kind, LONG_QUANTILE, MIN_LATENCY_SAMPLES)
    return typicalMs === undefined || longMs === undefined ? undefined : { typicalMs, longMs }
  }

  /** Refuses the calls that have provably not run and that `selects` names. */
  refuseNotRun (code: ResultCodeName, selects: (call: Call) => boolean): void {
    refuseNotRun(this.engine, code, selects)
  }

  /** Ends the calls whose response has not begun, because the VM stops. Returns how many of them may have run. */
  interruptCalls (): number {
    return interruptCalls(this.engine)
  }

  /**
   * Handles the start of a response. Returns whether the host may pass it to the caller; only one attempt per call may.
   * A server error is withheld while another attempt can still deliver a response.
   */
  onAttemptResponding (attemptId: number, head: { readonly serverError?: boolean } = {}): 'deliver' | 'discard' {
    const attempt = this.engine.attempts.get(attemptId)
    return attempt === undefined ? 'discard' : this.attemptEvents.onResponding(attempt, head.serverError === true)
  }

  /** Handles what the head of an upstream's response says about its request rate. */
  onRateNotice (upstreamId: string, notice: RateNotice): void {
    const state = this.context.table.get(upstreamId)
    if (state !== undefined) this.attemptEvents.onRateNotice(state, notice)
  }

  /** Sets what a cold upstream of the service takes from all VMs together; undefined without a limit. */
  setWarmup (warmup: Warmup | undefined): void {
    this.context.table.setWarmup(warmup)
    this.engine.startWaitingCalls()
  }

  /** Handles an upstream's statement that it stays cold for `warmupLeftMs`. */
  onWarmupNotice (upstreamId: string, warmupLeftMs: Milliseconds): void {
    this.context.table.get(upstreamId)?.rateLimit.setColdUntil(this.context.clock.now() + warmupLeftMs)
  }

  /** Handles what the head of a response to an attempt says about new work for its upstream. */
  onAttemptSignals (attemptId: number, signals: ResponseSignals): void {
    const attempt = this.engine.attempts.get(attemptId)
    if (attempt !== undefined) this.attemptEvents.onSignals(attempt.upstreamState, signals)
  }

  /** Handles what the head of a response to a load probe says about new work for its upstream. */
  onProbeSignals (upstreamId: string, signals: ResponseSignals): void {
    const state = this.context.table.get(upstreamId)
    if (state !== undefined) this.attemptEvents.onSignals(state, signals)
  }

  /** Records that bytes of a response arrived or were accepted by the caller. */
  onAttemptProgress (attemptId: number): void {
    const attempt = this.engine.attempts.get(attemptId)
    if (attempt !== undefined) recordProgress(attempt, this.context.clock.now())
  }

  /** Handles the end of an attempt. Ignores attempts that were cancelled through the port. */
  onAttemptEnd (attemptId: number, end: AttemptEnd): void {
    const attempt = this.engine.attempts.get(attemptId)
    if (attempt === undefined) return
    this.attemptEvents.onEnd(attempt, end)
    this.engine.startWaitingCalls()
  }

  /**
   * Handles the load report that a dedicated probe returned. Its response can name a request rate, but does not withdraw
   * one, as a health check need not name it.
   */
  onProbeReport (upstreamId: string, report: LoadReport, rateNotice?: RateNotice): void {
    const state = this.context.table.get(upstreamId)
    if (state === undefined) return
    this.attemptEvents.onReport(state, report)
    if (rateNotice?.kind === 'limited') this.attemptEvents.onRateNotice(state, rateNotice)
    this.context.picker.onProbeReport?.(upstreamId, report)
    this.engine.onProbeEnd(state)
    this.engine.startWaitingCalls()
  }

  /** Handles a probe without a report: the upstream is unreachable, or another one responds at its address. */
  onProbeFailed (upstreamId: string): void {
    const state = this.context.table.get(upstreamId)
    if (state === undefined) return
    this.attemptEvents.startBackoff(state, this.context.clock.now())
    this.engine.onProbeEnd(state)
    this.engine.startWaitingCalls()
  }

  /** Time at which `tick` is due next; undefined if no timer is set. */
  nextTimerAt (): Milliseconds | undefined {
    return this.context.timers.nextAt()
  }

  /** Runs due timers, such as deadlines, hedges and stall checks, and starts waiting calls. */
  tick (): void {
    this.context.timers.runDue(this.context.clock.now())
    this.engine.startWaitingCalls()
  }

  /** State for the dump and metrics. */
  snapshot (): DispatcherSnapshot {
    const { counters, table, options, clock } = this.context
    const now = clock.now()
    return {
      service: options.service,
      queued: this.engine.waitingCalls,
      running: this.engine.attempts.size,
      queuedByKind: this.context.queue.countByKind(),
      reservedShare: this.context.reservation.largestShare(now),
      counters: { ...counters, notRun: { ...counters.notRun }, outcomeUnknown: { ...counters.outcomeUnknown } },
      upstreams: table.inUse().map(state => table.snapshotOf(state, now)),
      evacuatedUpstreams: table.evacuatedCount
    }
  }

  private onAvailabilityChange (): void {
    this.context.probeBudget.setUpstreamCount(this.context.table.availableCount)
    this.engine.startWaitingCalls()
  }
}
