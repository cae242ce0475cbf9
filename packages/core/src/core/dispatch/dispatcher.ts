import type { Milliseconds } from '../../types/clock.js'
import type { AttemptEnd, Call } from '../../types/dispatch.js'
import type { DispatcherSnapshot } from '../../types/dispatcherSnapshot.js'
import { NO_POLICY_EXCEPTIONS, type PolicyExceptions, type RoutingPolicy } from '../../types/routingPolicy.js'
import type { LoadReport, Upstream } from '../../types/upstream.js'
import { AttemptOutcomes } from './attemptOutcomes.js'
import { CallEngine } from './callEngine.js'
import { RoutingContext, type DispatcherOptions } from './routingContext.js'
import type { SuspectMark } from '../../types/suspectMark.js'

export type { DispatcherOptions } from './routingContext.js'
export type { SuspectMark } from '../../types/suspectMark.js'

/** Routes the calls of one service on one entry VM. It does no I/O: the host carries out attempts and calls `tick`. */
export class Dispatcher {
  private readonly context: RoutingContext
  private readonly engine: CallEngine
  private readonly outcomes: AttemptOutcomes

  private constructor (options: DispatcherOptions) {
    this.context = RoutingContext.create(options)
    this.engine = CallEngine.create(this.context)
    this.outcomes = AttemptOutcomes.create(this.context, this.engine)
  }

  static create (options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options)
  }

  /** Replaces the upstreams by those that are registered now. */
  setUpstreams (upstreams: readonly Upstream[]): void {
    this.context.table.setUpstreams(upstreams, this.context.clock.now())
    this.context.measuring.setUpstreams(upstreams.length)
    this.engine.pump()
  }

  /** Position of this VM in the sorted list of live entry VMs, and their number, for hosts that know them; 0 of 1 otherwise. */
  setEntryPosition (rank: number, count: number): void {
    this.context.setEntryPosition(rank, count)
    this.engine.pump()
  }

  /** Takes the numbers in force for the service, and those that differ for kinds and upstreams. */
  setPolicy (policy: RoutingPolicy, exceptions: PolicyExceptions = NO_POLICY_EXCEPTIONS): void {
    this.context.setPolicy(policy, exceptions)
    this.engine.pump()
  }

  /** Takes other VMs' marks of suspect requests. */
  importSuspects (marks: readonly SuspectMark[]): void {
    this.context.suspects.importMarks(marks, this.context.clock.now())
  }

  /** Registered upstreams that this VM uses. */
  get upstreamCount (): number {
    return this.context.table.all().length
  }

  /** Calls that wait for an upstream. */
  get waitingCalls (): number {
    return this.engine.waitingCalls
  }

  /** A caller's call arrived. Its result comes through `DispatchPort.finishCall`, possibly before this returns. */
  submit (call: Call): void {
    this.engine.submit(call)
  }

  /** The caller left. */
  cancelCall (callId: number): void {
    this.engine.cancelCall(callId)
  }

  /**
   * A response begins. Returns whether the host may pass it to the caller; only one attempt per call may.
   * A server error is withheld while the call can still be answered by another attempt.
   */
  onAttemptResponding (attemptId: number, head: { readonly serverError?: boolean } = {}): 'deliver' | 'discard' {
    const attempt = this.engine.attempts.get(attemptId)
    return attempt === undefined ? 'discard' : this.outcomes.onResponding(attempt, head.serverError === true)
  }

  /** Bytes of a response arrived, or the caller took some of them. */
  onAttemptProgress (attemptId: number): void {
    const attempt = this.engine.attempts.get(attemptId)
    if (attempt !== undefined) attempt.progressAt = this.context.clock.now()
  }

  /** An attempt ended. Ends of attempts that were cancelled through the port are ignored. */
  onAttemptEnd (attemptId: number, end: AttemptEnd): void {
    const attempt = this.engine.attempts.get(attemptId)
    if (attempt === undefined) return
    this.outcomes.onEnd(attempt, end)
    this.engine.pump()
  }

  /** A dedicated probe brought a load report. */
  onProbeReport (upstreamId: string, report: LoadReport): void {
    const state = this.context.table.get(upstreamId)
    if (state === undefined) return
    this.outcomes.takeReport(state, report)
    this.context.picker.onProbeReport?.(upstreamId, report)
    this.engine.onProbeEnd(state)
    this.engine.pump()
  }

  /** A probe brought no report: the upstream cannot be reached, or another one answers at its address. */
  onProbeLost (upstreamId: string): void {
    const state = this.context.table.get(upstreamId)
    if (state === undefined) return
    this.outcomes.backOff(state, this.context.clock.now())
    this.engine.onProbeEnd(state)
    this.engine.pump()
  }

  /** When `tick` is due next. */
  nextTimerAt (): Milliseconds | undefined {
    return this.context.timers.nextAt()
  }

  /** Runs what is due: deadlines, hedges, stalls, waiting calls. */
  tick (): void {
    this.context.timers.runDue(this.context.clock.now())
    this.engine.pump()
  }

  /** The state for the dump and metrics. */
  snapshot (): DispatcherSnapshot {
    const { counters, table, options, clock } = this.context
    const now = clock.now()
    return {
      service: options.service,
      queued: this.engine.waitingCalls,
      running: this.engine.attempts.size,
      counters: { ...counters, notRun: { ...counters.notRun }, outcomeUnknown: { ...counters.outcomeUnknown } },
      upstreams: table.all().map(state => table.snapshotOf(state, now))
    }
  }
}
