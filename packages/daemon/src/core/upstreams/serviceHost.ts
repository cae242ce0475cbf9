import type { Attempt, AttemptEnd, CallResult, CancelReason, DispatchPort, ResultBasis } from '@cowsliplead/core/types/dispatch.js'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { SuspectMark } from '@cowsliplead/core/types/suspectMark.js'
import type { PolicyExceptions, RoutingPolicy } from '@cowsliplead/core/types/routingPolicy.js'
import type { Upstream } from '@cowsliplead/core/types/upstream.js'
import type { Dispatcher } from '@cowsliplead/core/core/dispatch/dispatcher.js'
import type { ResponseHead, StreamDecision } from '../../types/responseSink.js'
import type { Dialect } from '../../types/dialect.js'
import { AttemptRun, type AttemptObserver } from './attemptRun.js'
import type { CallRun } from '../callers/callRun.js'
import { UpstreamConnections } from './upstreamConnections.js'
import type { ConnectionSet } from './connectionSet.js'
import { UpstreamProbe } from './upstreamProbe.js'
import { ServiceCounters } from './serviceCounters.js'
import type { TickTimer } from '../supervision/tickTimer.js'

/** Options of a service host. */
export interface ServiceHostOptions {
  readonly service: string
  readonly clock: Clock
  readonly tickTimer: TickTimer
  readonly connections: UpstreamConnections
  readonly dialect: Dialect
  readonly createDispatcher: (port: DispatchPort) => Dispatcher
  /** Called when a request is marked as suspect. */
  readonly onSuspects: (marks: readonly SuspectMark[]) => void
  /** Hears of every decision that touches a call; undefined where nobody listens. */
  readonly observer?: CallObserver
}

/** Hears of the decisions that touch calls. */
export interface CallObserver {
  onAttempt (call: CallRun, attempt: Attempt): void
  onAttemptEnd (call: CallRun, run: AttemptRun, end: AttemptEnd, tookMs: Milliseconds): void
  onCancel (call: CallRun, run: AttemptRun, reason: CancelReason, tookMs: Milliseconds): void
  onResult (call: CallRun, result: CallResult, tookMs: Milliseconds, waitingCalls: number, basis?: ResultBasis): void
  /** The registered upstreams of the service, or those of them that this VM uses, have changed in number. */
  onUpstreams (registered: number, used: number): void
}

/** An attempt under way with what is needed to end it. */
interface ActiveAttempt {
  readonly run: AttemptRun
  readonly connections: ConnectionSet
  readonly startedAt: Milliseconds
}

/** Carries out the decisions of one service's dispatcher. */
export class ServiceHost implements DispatchPort, AttemptObserver {
  readonly service: string
  readonly dispatcher: Dispatcher
  readonly counters = ServiceCounters.create()
  private healthPath = '/'
  private registered = 0
  /** Upstreams in use when they were last logged. */
  private loggedUsed = 0
  /** The attempt whose end the dispatcher is dealing with; a call is delivered from it. */
  private endingAttempt: AttemptRun | undefined
  private readonly calls = new Map<number, CallRun>()
  /** Attempts whose response waits for the caller to read. */
  private readonly paused = new Set<AttemptRun>()
  /** Attempts whose caller is still sending the body. */
  private readonly uploading = new Set<AttemptRun>()
  private readonly attempts = new Map<number, ActiveAttempt>()
  private readonly connections: UpstreamConnections
  private readonly clock: Clock
  private readonly tickTimer: TickTimer

  private constructor (private readonly options: ServiceHostOptions) {
    this.service = options.service
    this.clock = options.clock
    this.tickTimer = options.tickTimer
    this.connections = options.connections
    this.dispatcher = options.createDispatcher(this)
    this.tickTimer.add(this.dispatcher)
  }

  static create (options: ServiceHostOptions): ServiceHost {
    return new ServiceHost(options)
  }

  /** Marks travel at once: callers send a request that crashed an upstream again within milliseconds. */
  shareSuspects (marks: readonly SuspectMark[]): void {
    this.options.onSuspects(marks)
  }

  /** Calls that have no result yet. */
  get callsInFlight (): number {
    return this.calls.size
  }

  /** Registered upstreams of the service, and those of them that this VM uses. */
  get upstreamCounts (): { readonly registered: number, readonly used: number } {
    return { registered: this.registered, used: this.dispatcher.upstreamCount }
  }

  /** Connections to the upstreams of the service. */
  get connectionCount (): number {
    return this.connections.size
  }

  /** Takes the numbers in force; those about connections apply from the next `setUpstreams`. */
  setPolicy (policy: RoutingPolicy, exceptions: PolicyExceptions): void {
    this.connections.setPolicy(policy, exceptions.upstreams)
    this.dispatcher.setPolicy(policy, exceptions)
    this.afterEvent()
  }

  /** Takes the registered upstreams of the service and the number of entry VMs, which divide their connections. */
  setUpstreams (upstreams: readonly Upstream[], vms: number): void {
    this.connections.setUpstreams(upstreams, vms)
    this.dispatcher.setUpstreams(upstreams)
    this.noteUpstreams(upstreams.length)
    this.afterEvent()
  }

  submit (call: CallRun): void {
    this.calls.set(call.call.id, call)
    this.dispatcher.submit(call.call)
    this.afterEvent()
  }

  /** The caller left. */
  cancel (callId: number): void {
    if (!this.calls.has(callId)) return
    this.dispatcher.cancelCall(callId)
    this.calls.delete(callId)
    this.afterEvent()
  }

  /** The state for the dump. */
  describe (): Record<string, unknown> {
    return {
      dispatcher: this.dispatcher.snapshot(),
      callsInFlight: this.calls.size,
      waitingForCallers: this.paused.size + this.uploading.size,
      connections: this.connections.describe()
    }
  }

  /** Stops the host after its last call. */
  close (): void {
    this.tickTimer.remove(this.dispatcher)
    this.connections.close()
  }

  startAttempt (attempt: Attempt): void {
    const call = this.calls.get(attempt.callId)
    const connections = this.connections.of(attempt.upstreamId)
    const connection = call && connections?.acquire(attempt.provenConnection)
    this.counters.countAttempt(attempt.purpose)
    if (call === undefined || connections === undefined || connection === undefined) {
      return this.endUnstarted(attempt.id)
    }
    const now = this.clock.now()
    const { clock, options: { dialect } } = this
    const request = call.nextAttempt(attempt.upstreamId, attempt.deadlineAt, now)
    const run = AttemptRun.create({ attemptId: attempt.id, callId: attempt.callId, connection, request, observer: this, clock, dialect })
    this.attempts.set(attempt.id, { run, connections, startedAt: now })
    this.options.observer?.onAttempt(call, attempt)
    if (run.isUploading) this.uploading.add(run)
    run.start()
  }

  cancelAttempt (attemptId: number, reason: CancelReason): void {
    const attempt = this.attempts.get(attemptId)
    if (attempt === undefined) return
    this.counters.countCancel(reason)
    const call = this.calls.get(attempt.run.callId)
    if (call !== undefined) this.options.observer?.onCancel(call, attempt.run, reason, this.clock.now() - attempt.startedAt)
    if (reason === 'stalled') attempt.connections.closeUnproven(attempt.startedAt)
    attempt.run.cancel()
  }

  finishCall (callId: number, result: CallResult, basis?: ResultBasis): void {
    this.counters.countResult(result)
    const call = this.calls.get(callId)
    if (call === undefined) return
    this.calls.delete(callId)
    this.options.observer?.onResult(call, result, this.clock.now() - call.call.arrivedAt, this.dispatcher.waitingCalls, basis)
    call.finish(result, this.endingAttempt?.heldResponse)
  }

  onProgress (run: AttemptRun): void {
    this.dispatcher.onAttemptProgress(run.attemptId)
  }

  onStream (run: AttemptRun, head: ResponseHead, chunks: readonly Buffer[]): StreamDecision {
    const call = this.calls.get(run.callId)
    const serverError = head.status >= 500
    if (this.dispatcher.onAttemptResponding(run.attemptId, { serverError }) === 'discard') return 'discard'
    if (call === undefined || call.streamingAttemptId !== undefined) return 'discard'
    call.streamingAttemptId = run.attemptId
    const decision = call.sink.startStream(head, chunks, () => this.resume(run))
    if (decision === 'paused') this.paused.add(run)
    return decision
  }

  onChunk (run: AttemptRun, chunk: Buffer): boolean {
    const flowing = this.calls.get(run.callId)?.sink.write(chunk) ?? true
    if (!flowing) this.paused.add(run)
    return flowing
  }

  /** Sets the path of the load probe. */
  setHealthPath (path: string): void {
    this.healthPath = path
  }

  sendProbe (upstreamId: string): void {
    const { clock, options: { dialect }, healthPath } = this
    const connections = this.connections.of(upstreamId)
    const connection = connections?.acquire(false)
    if (connections === undefined || connection === undefined) return
    UpstreamProbe.send({ connection, path: healthPath, upstreamId, dialect, clock }, end => {
      connections.release(connection)
      if (end.kind === 'report') this.dispatcher.onProbeReport(upstreamId, end.report)
      else this.dispatcher.onProbeLost(upstreamId)
      this.afterEvent()
    })
  }

  /** Keeps attempts that wait for a slow caller from being taken for stalled ones. */
  touchWaiting (): void {
    for (const run of this.paused) this.onProgress(run)
    for (const run of this.uploading) {
      this.onProgress(run)
      if (!run.isUploading) this.uploading.delete(run)
    }
  }

  onEnd (run: AttemptRun, end: AttemptEnd): void {
    const attempt = this.attempts.get(run.attemptId)
    this.attempts.delete(run.attemptId)
    this.paused.delete(run)
    this.uploading.delete(run)
    if (run.neverSent) attempt?.connections.abandon(run.connection)
    else attempt?.connections.release(run.connection)
    this.counters.countEnd(end.kind)
    const call = this.calls.get(run.callId)
    if (call !== undefined && attempt !== undefined) {
      this.options.observer?.onAttemptEnd(call, run, end, this.clock.now() - attempt.startedAt)
    }
    // The dispatcher may cancel other attempts of the call meanwhile, whose ends nest in this one.
    const outer = this.endingAttempt
    this.endingAttempt = run
    this.dispatcher.onAttemptEnd(run.attemptId, end)
    this.endingAttempt = outer
    this.afterEvent()
  }

  private noteUpstreams (registered: number): void {
    const used = this.dispatcher.upstreamCount
    if (registered === this.registered && used === this.loggedUsed) return
    this.registered = registered
    this.loggedUsed = used
    this.options.observer?.onUpstreams(registered, used)
  }

  private resume (run: AttemptRun): void {
    this.paused.delete(run)
    this.onProgress(run)
    run.resume()
  }

  /** Deferred, so that the dispatcher never sees an end while it is still starting the attempt. */
  private endUnstarted (attemptId: number): void {
    queueMicrotask(() => {
      this.counters.countEnd('notRun')
      this.dispatcher.onAttemptEnd(attemptId, { kind: 'notRun' })
      this.afterEvent()
    })
  }

  private afterEvent (): void {
    this.tickTimer.reschedule(this.dispatcher)
  }
}
