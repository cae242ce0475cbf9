import type { Attempt, CallResult, CancelReason, DispatchPort, RateLimitChange, ReservationChange, ResultDiagnostics, UpstreamSignal } from '@cowsliplead/core/types/dispatch.js'
import type { Clock } from '@cowsliplead/core/types/clock.js'
import type { SuspectMark } from '@cowsliplead/core/types/suspectMark.js'
import type { PolicyExceptions, RoutingPolicy } from '@cowsliplead/core/types/routingPolicy.js'
import type { Upstream } from '@cowsliplead/core/types/upstream.js'
import type { Dispatcher } from '@cowsliplead/core/core/dispatch/dispatcher.js'
import type { Dialect } from '../../types/dialect.js'
import type { ActiveCall } from '../callers/activeCall.js'
import type { UpstreamConnections } from './upstreamConnections.js'
import type { CallObserver } from './callObserver.js'
import { LoadProber, type ContactObserver } from './loadProber.js'
import { ServiceAttempts } from './serviceAttempts.js'
import type { ServiceCounters } from './serviceCounters.js'
import type { TickTimer } from '../supervision/tickTimer.js'

/** Options of a service forwarder. */
export interface ServiceForwarderOptions {
  readonly service: string
  readonly clock: Clock
  readonly tickTimer: TickTimer
  readonly connections: UpstreamConnections
  /** Counts the events of the calls here and those of the connections elsewhere. */
  readonly counters: ServiceCounters
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

/** Forwards the calls of one service by carrying out the decisions of its dispatcher. */
export class ServiceForwarder implements DispatchPort {
  readonly service: string
  readonly dispatcher: Dispatcher
  readonly counters: ServiceCounters
  private registered = 0
  /** Number of used upstreams that the observer was last notified of. */
  private reportedUsed = 0
  private readonly calls = new Map<number, ActiveCall>()
  private readonly attempts: ServiceAttempts
  private readonly connections: UpstreamConnections
  private readonly prober: LoadProber
  private readonly clock: Clock
  private readonly tickTimer: TickTimer

  private constructor (private readonly options: ServiceForwarderOptions) {
    this.service = options.service
    this.clock = options.clock
    this.tickTimer = options.tickTimer
    this.connections = options.connections
    this.counters = options.counters
    this.dispatcher = options.createDispatcher(this)
    const { dispatcher, connections, clock, counters, options: { dialect, contacts, observer } } = this
    this.attempts = ServiceAttempts.create({
      dispatcher, connections, counters, clock, dialect, observer, contacts, callOf: id => this.calls.get(id), onChange: () => this.rescheduleTick()
    })
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
      waitingForCallers: this.attempts.waitingForCallers,
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

  finishCall (callId: number, result: CallResult, diagnostics?: ResultDiagnostics): void {
    this.counters.countResult(result)
    const call = this.calls.get(callId)
    if (call === undefined) return
    this.calls.delete(callId)
    const tookMs = this.clock.now() - call.call.arrivedAt
    const attempt = result.kind === 'delivered' ? this.attempts.endingAttempt(result.attemptId) : undefined
    try {
      call.finish(result, attempt?.bufferedResponse)
    } catch (error) {
      this.options.onError(error as Error)
      call.sink.sendError('internal', '')
    }
    this.options.observer?.onResult(call, { result, tookMs, waitingCalls: this.dispatcher.waitingCalls, diagnostics, attempt })
  }

  startAttempt (attempt: Attempt): void {
    this.attempts.start(attempt)
  }

  cancelAttempt (attemptId: number, reason: CancelReason): void {
    this.attempts.cancel(attemptId, reason)
  }

  /** Reports progress for attempts that wait for a slow caller, so that they are not treated as stalled. */
  reportProgressOfWaiting (): void {
    this.attempts.reportProgressOfWaiting()
  }

  /** Sets the request path of load probes. */
  setHealthPath (path: string): void {
    this.prober.healthPath = path
  }

  sendProbe (upstreamId: string): void {
    this.prober.send(upstreamId)
  }

  private reportUpstreamCounts (registered: number): void {
    const used = this.dispatcher.upstreamCount
    if (registered === this.registered && used === this.reportedUsed) return
    this.registered = registered
    this.reportedUsed = used
    this.options.observer?.onUpstreams(registered, used)
  }

  private rescheduleTick (): void {
    this.tickTimer.reschedule(this.dispatcher)
  }
}
