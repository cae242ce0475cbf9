import type { Attempt, AttemptEnd, CallResult, CancelReason, DispatchPort, RateLimitChange, ReservationChange, ResultDiagnostics, UpstreamSignal } from '@cowsliplead/core/types/dispatch.js'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { SuspectMark } from '@cowsliplead/core/types/suspectMark.js'
import type { PolicyExceptions, RoutingPolicy } from '@cowsliplead/core/types/routingPolicy.js'
import type { RateNotice, ResponseSignals, Upstream } from '@cowsliplead/core/types/upstream.js'
import type { ContactFailure } from '@cowsliplead/core/core/handover/upstreamReachability.js'
import type { Dispatcher } from '@cowsliplead/core/core/dispatch/dispatcher.js'
import type { ResponseHead, StreamDecision } from '../../types/responseSink.js'
import type { Dialect } from '../../types/dialect.js'
import { ActiveAttempt, type AttemptObserver } from './activeAttempt.js'
import type { ActiveCall } from '../callers/activeCall.js'
import { UpstreamConnections } from './upstreamConnections.js'
import type { ConnectionPool } from './connectionPool.js'
import type { CallObserver } from './callObserver.js'
import { LoadProber, type ContactObserver } from './loadProber.js'
import { ServiceCounters } from './serviceCounters.js'
import type { TickTimer } from '../supervision/tickTimer.js'

/** Options of a service forwarder. */
export interface ServiceForwarderOptions {
  readonly service: string
  readonly clock: Clock
  readonly tickTimer: TickTimer
  readonly connections: UpstreamConnections
  readonly dialect: Dialect
  readonly createDispatcher: (port: DispatchPort) => Dispatcher
  /** Called when requests are marked as suspect. */
  readonly onSuspects: (marks: readonly SuspectMark[]) => void
  /** Called when an upstream says that it is leaving. */
  readonly onLeaving?: (upstreamId: string, incarnation: number | undefined) => void
  /** Notified of the events of calls. */
  readonly observer?: CallObserver
  /** Called with unexpected errors; the call that met one has ended with an error response. */
  readonly onError: (error: Error) => void
  /** Notified of what reaches upstreams. */
  readonly contacts?: ContactObserver | undefined
}

/** An attempt in progress and the pool that its connection returns to. */
interface TrackedAttempt {
  readonly upstreamId: string
  readonly attempt: ActiveAttempt
  readonly connections: ConnectionPool
  readonly startedAt: Milliseconds
}

/** Forwards the calls of one service by carrying out the decisions of its dispatcher. */
export class ServiceForwarder implements DispatchPort, AttemptObserver {
  readonly service: string
  readonly dispatcher: Dispatcher
  readonly counters = ServiceCounters.create()
  private registered = 0
  /** Number of used upstreams that the observer was last notified of. */
  private reportedUsed = 0
  /** The attempt whose end the dispatcher is processing; its buffered response is delivered to the caller. */
  private endingAttempt: ActiveAttempt | undefined
  private readonly calls = new Map<number, ActiveCall>()
  /** Attempts whose response is paused until the caller reads more. */
  private readonly paused = new Set<ActiveAttempt>()
  /** Attempts whose caller is still sending the body. */
  private readonly uploading = new Set<ActiveAttempt>()
  private readonly attempts = new Map<number, TrackedAttempt>()
  private readonly connections: UpstreamConnections
  private readonly prober: LoadProber
  private readonly clock: Clock
  private readonly tickTimer: TickTimer

  private constructor (private readonly options: ServiceForwarderOptions) {
    this.service = options.service
    this.clock = options.clock
    this.tickTimer = options.tickTimer
    this.connections = options.connections
    this.dispatcher = options.createDispatcher(this)
    const { dispatcher, connections, clock, options: { dialect, contacts } } = this
    this.prober = LoadProber.create({ dispatcher, connections, clock, dialect, contacts, onEnd: () => this.rescheduleTick() })
    this.tickTimer.add(this.dispatcher)
  }

  static create (options: ServiceForwarderOptions): ServiceForwarder {
    return new ServiceForwarder(options)
  }

  /** Marks are shared immediately, because callers repeat a request that crashed an upstream within milliseconds. */
  shareSuspects (marks: readonly SuspectMark[]): void {
    this.options.onSuspects(marks)
  }

  onRateLimit (change: RateLimitChange): void {
    this.options.observer?.onRateLimit(change)
  }

  onReservation (change: ReservationChange): void {
    this.options.observer?.onReservation(change)
  }

  onUpstreamSignal (signal: UpstreamSignal): void {
    this.options.observer?.onUpstreamSignal(signal)
    if (signal.kind === 'leaving') this.options.onLeaving?.(signal.upstreamId, signal.incarnation)
  }

  /** Number of calls without a result. */
  get callsInFlight (): number {
    return this.calls.size
  }

  /** Number of registered upstreams of the service, and of those that this VM uses. */
  get upstreamCounts (): { readonly registered: number, readonly used: number } {
    return { registered: this.registered, used: this.dispatcher.upstreamCount }
  }

  /** Number of connections to the upstreams of the service, idle and in use. */
  get connectionCount (): number {
    return this.connections.size
  }

  /** Puts a policy in force; its connection settings apply from the next `setUpstreams` on. */
  setPolicy (policy: RoutingPolicy, exceptions: PolicyExceptions): void {
    this.connections.setPolicy(policy, exceptions.upstreams)
    this.dispatcher.setPolicy(policy, exceptions)
    this.rescheduleTick()
  }

  /** Sets the registered upstreams of the service and the number of entry VMs that divide their connections. */
  setUpstreams (upstreams: readonly Upstream[], vms: number): void {
    this.connections.setUpstreams(upstreams, vms)
    this.dispatcher.setUpstreams(upstreams)
    this.reportUpstreamCounts(upstreams.length)
    this.rescheduleTick()
  }

  /** Takes the upstreams of these failure domains out of use. */
  setEvacuatedDomains (domains: ReadonlySet<string>): void {
    this.dispatcher.setEvacuatedDomains(domains)
    this.rescheduleTick()
  }

  /** Stops new work for an upstream that has told another VM that it is leaving. */
  markLeaving (upstreamId: string, incarnation: number): void {
    this.dispatcher.markLeaving(upstreamId, incarnation)
    this.rescheduleTick()
  }

  submit (call: ActiveCall): void {
    this.calls.set(call.call.id, call)
    this.dispatcher.submit(call.call)
    this.rescheduleTick()
  }

  /** Cancels a call whose caller has disconnected. */
  cancel (callId: number): void {
    if (!this.calls.has(callId)) return
    this.dispatcher.cancelCall(callId)
    this.calls.delete(callId)
    this.rescheduleTick()
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

  /** Removes the calls of which no attempt was started, without an answer to their callers, and returns them. */
  withdrawUnstarted (): ActiveCall[] {
    const unstarted = [...this.calls.values()].filter(call => !call.isStarted)
    for (const { call: { id } } of unstarted) {
      this.calls.delete(id)
      this.dispatcher.cancelCall(id)
    }
    this.rescheduleTick()
    return unstarted
  }

  /** Closes the connections; called once no calls are in flight. */
  close (): void {
    this.tickTimer.remove(this.dispatcher)
    this.connections.close()
  }

  startAttempt (attempt: Attempt): void {
    const call = this.calls.get(attempt.callId)
    const connections = this.connections.poolFor(attempt.upstreamId)
    const connection = call && connections?.acquire({ proven: attempt.provenConnection, excluded: call.usedConnections })
    this.counters.countAttempt(attempt.purpose)
    if (call === undefined || connections === undefined || connection === undefined) {
      return this.endUnstarted(attempt.id)
    }
    const now = this.clock.now()
    const { clock, options: { dialect } } = this
    call.usedConnections.add(connection)
    const request = call.nextAttempt(attempt.upstreamId, attempt.deadlineAt, now)
    const activeAttempt = ActiveAttempt.create({
      attemptId: attempt.id, callId: attempt.callId, connection, request, observer: this, clock, dialect
    })
    this.attempts.set(attempt.id, { upstreamId: attempt.upstreamId, attempt: activeAttempt, connections, startedAt: now })
    this.options.observer?.onAttempt(call, attempt)
    this.options.contacts?.onStart(activeAttempt, attempt.upstreamId, 'request')
    if (activeAttempt.isUploading) this.uploading.add(activeAttempt)
    activeAttempt.start()
  }

  cancelAttempt (attemptId: number, reason: CancelReason): void {
    const tracked = this.attempts.get(attemptId)
    if (tracked === undefined) return
    this.counters.countCancel(reason)
    const call = this.calls.get(tracked.attempt.callId)
    if (call !== undefined) this.options.observer?.onCancel(call, tracked.attempt, reason, this.clock.now() - tracked.startedAt)
    tracked.attempt.cancel()
  }

  onStall (attemptId: number): void {
    const tracked = this.attempts.get(attemptId)
    tracked?.connections.closeUnproven(tracked.startedAt)
  }

  finishCall (callId: number, result: CallResult, diagnostics?: ResultDiagnostics): void {
    this.counters.countResult(result)
    const call = this.calls.get(callId)
    if (call === undefined) return
    this.calls.delete(callId)
    this.options.observer?.onResult(call, result, this.clock.now() - call.call.arrivedAt, this.dispatcher.waitingCalls, diagnostics)
    try {
      call.finish(result, this.endingAttempt?.bufferedResponse)
    } catch (error) {
      this.options.onError(error as Error)
      call.sink.sendError('internal', '')
    }
  }

  onResponse (attempt: ActiveAttempt, isNewConnection: boolean): void {
    this.options.contacts?.onResponse(attempt, isNewConnection)
  }

  onRateNotice ({ attemptId }: ActiveAttempt, notice: RateNotice): void {
    const upstreamId = this.attempts.get(attemptId)?.upstreamId
    if (upstreamId !== undefined) this.dispatcher.onRateNotice(upstreamId, notice)
  }

  onSignals ({ attemptId }: ActiveAttempt, signals: ResponseSignals): void {
    this.dispatcher.onAttemptSignals(attemptId, signals)
    this.rescheduleTick()
  }

  onProgress (attempt: ActiveAttempt): void {
    this.dispatcher.onAttemptProgress(attempt.attemptId)
  }

  onStream (attempt: ActiveAttempt, head: ResponseHead, chunks: readonly Buffer[]): StreamDecision {
    const call = this.calls.get(attempt.callId)
    const serverError = head.status >= 500
    if (this.dispatcher.onAttemptResponding(attempt.attemptId, { serverError }) === 'discard') return 'discard'
    if (call === undefined || call.streamingAttemptId !== undefined) return 'discard'
    call.streamingAttemptId = attempt.attemptId
    const decision = call.sink.startStream(head, chunks, () => this.resume(attempt))
    if (decision === 'paused') this.paused.add(attempt)
    return decision
  }

  onChunk (attempt: ActiveAttempt, chunk: Buffer): boolean {
    this.options.contacts?.onResponse(attempt, false)
    const flowing = this.calls.get(attempt.callId)?.sink.write(chunk) ?? true
    if (!flowing) this.paused.add(attempt)
    return flowing
  }

  /** Sets the request path of load probes. */
  setHealthPath (path: string): void {
    this.prober.healthPath = path
  }

  sendProbe (upstreamId: string): void {
    this.prober.send(upstreamId)
  }

  /** Reports progress for attempts that wait for a slow caller, so that they are not treated as stalled. */
  reportProgressOfWaiting (): void {
    for (const attempt of this.paused) this.onProgress(attempt)
    for (const attempt of this.uploading) {
      this.onProgress(attempt)
      if (!attempt.isUploading) this.uploading.delete(attempt)
    }
  }

  onEnd (attempt: ActiveAttempt, end: AttemptEnd): void {
    const tracked = this.attempts.get(attempt.attemptId)
    this.attempts.delete(attempt.attemptId)
    this.paused.delete(attempt)
    this.uploading.delete(attempt)
    if (attempt.neverSent) tracked?.connections.closeAcquired(attempt.connection)
    else tracked?.connections.release(attempt.connection)
    this.counters.countEnd(end.kind)
    const call = this.calls.get(attempt.callId)
    this.options.contacts?.onEnd(attempt, contactFailureOf(attempt, end))
    if (call !== undefined && end.kind === 'notRun' && !attempt.wasSent) call.unconnectedAttempts += 1
    if (call !== undefined && tracked !== undefined) {
      this.options.observer?.onAttemptEnd(call, attempt, end, this.clock.now() - tracked.startedAt)
    }
    // The dispatcher may cancel other attempts of the call, whose ends call this method recursively.
    const outer = this.endingAttempt
    this.endingAttempt = attempt
    this.dispatcher.onAttemptEnd(attempt.attemptId, end)
    this.endingAttempt = outer
    this.rescheduleTick()
  }

  private reportUpstreamCounts (registered: number): void {
    const used = this.dispatcher.upstreamCount
    if (registered === this.registered && used === this.reportedUsed) return
    this.registered = registered
    this.reportedUsed = used
    this.options.observer?.onUpstreams(registered, used)
  }

  private resume (attempt: ActiveAttempt): void {
    this.paused.delete(attempt)
    this.onProgress(attempt)
    attempt.resume()
  }

  /** Deferred, so that the dispatcher does not receive the end of an attempt that it is still starting. */
  private endUnstarted (attemptId: number): void {
    queueMicrotask(() => {
      this.counters.countEnd('notRun')
      this.dispatcher.onAttemptEnd(attemptId, { kind: 'notRun' })
      this.rescheduleTick()
    })
  }

  private rescheduleTick (): void {
    this.tickTimer.reschedule(this.dispatcher)
  }
}

/** Why an attempt got no response; undefined if this VM has given it up. Without effect on one that got a response. */
function contactFailureOf (attempt: ActiveAttempt, { kind }: AttemptEnd): ContactFailure | undefined {
  if (kind === 'cancelled' || attempt.neverSent) return undefined
  return attempt.wasSent ? 'lost' : 'unconnected'
}
