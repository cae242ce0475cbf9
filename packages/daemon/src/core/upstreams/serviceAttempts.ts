import type { Attempt, AttemptEnd, CancelReason } from '@cowsliplead/core/types/dispatch.js'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { RateNotice, ResponseSignals } from '@cowsliplead/core/types/upstream.js'
import type { ContactFailure } from '@cowsliplead/core/core/handover/upstreamReachability.js'
import type { Dispatcher } from '@cowsliplead/core/core/dispatch/dispatcher.js'
import type { ResponseHead, StreamDecision } from '../../types/responseSink.js'
import type { Dialect } from '../../types/dialect.js'
import type { ActiveCall } from '../callers/activeCall.js'
import { ActiveAttempt } from './activeAttempt.js'
import type { AttemptObserver } from './attemptObserver.js'
import type { CallObserver } from './callObserver.js'
import type { ConnectionPool } from './connectionPool.js'
import type { ContactObserver } from './loadProber.js'
import type { ServiceCounters } from './serviceCounters.js'
import type { UpstreamConnections } from './upstreamConnections.js'

/** Options of the attempts of a service. */
export interface ServiceAttemptsOptions {
  readonly dispatcher: Dispatcher
  readonly connections: UpstreamConnections
  readonly counters: ServiceCounters
  readonly clock: Clock
  readonly dialect: Dialect
  readonly observer: CallObserver | undefined
  readonly contacts: ContactObserver | undefined
  /** The call with this id; undefined once it has ended. */
  readonly callOf: (callId: number) => ActiveCall | undefined
  /** Called when the dispatcher has received news of an attempt. */
  readonly onChange: () => void
}

/** An attempt in progress and the pool that its connection returns to. */
interface TrackedAttempt {
  readonly upstreamId: string
  readonly attempt: ActiveAttempt
  readonly connections: ConnectionPool
  readonly startedAt: Milliseconds
}

/** The attempts in progress of one service: starts and cancels them, and passes their events to the dispatcher and the callers. */
export class ServiceAttempts implements AttemptObserver<ActiveAttempt> {
  /** The attempt whose end the dispatcher is processing; its buffered response is delivered to the caller. */
  private ending: ActiveAttempt | undefined
  /** Attempts whose response is paused until the caller reads more. */
  private readonly paused = new Set<ActiveAttempt>()
  /** Attempts whose caller is still sending the body. */
  private readonly uploading = new Set<ActiveAttempt>()
  private readonly attempts = new Map<number, TrackedAttempt>()

  private constructor (private readonly options: ServiceAttemptsOptions) {}

  static create (options: ServiceAttemptsOptions): ServiceAttempts {
    return new ServiceAttempts(options)
  }

  /** Number of attempts that wait for a slow caller. */
  get waitingForCallers (): number {
    return this.paused.size + this.uploading.size
  }

  /** The attempt with this id, while the dispatcher is processing its end. */
  endingAttempt (attemptId: number): ActiveAttempt | undefined {
    return this.ending?.attemptId === attemptId ? this.ending : undefined
  }

  /** Starts an attempt; it ends at once as not run if there is no connection. */
  start (attempt: Attempt): void {
    const { clock, dialect, callOf } = this.options
    const call = callOf(attempt.callId)
    const connections = this.options.connections.poolFor(attempt.upstreamId)
    const connection = call && connections?.acquire({ proven: attempt.provenConnection, excluded: call.usedConnections, isUnrepeatable: !call.call.kind.idempotent })
    this.options.counters.countAttempt(attempt.purpose)
    if (call === undefined || connections === undefined || connection === undefined) {
      return this.endUnstarted(attempt.id)
    }
    const now = clock.now()
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

  /** Cancels an attempt, unless it has ended. */
  cancel (attemptId: number, reason: CancelReason): void {
    const tracked = this.attempts.get(attemptId)
    if (tracked === undefined) return
    this.options.counters.countCancel(reason)
    const call = this.options.callOf(tracked.attempt.callId)
    if (call !== undefined) this.options.observer?.onCancel(call, tracked.attempt, reason, this.options.clock.now() - tracked.startedAt)
    tracked.attempt.cancel()
  }

  /** Closes the idle connections that may be in the same state as that of a stalled attempt. */
  closeUnproven (attemptId: number): void {
    const tracked = this.attempts.get(attemptId)
    tracked?.connections.closeUnproven(tracked.startedAt)
  }

  /** Reports progress for attempts that wait for a slow caller, so that they are not treated as stalled. */
  reportProgressOfWaiting (): void {
    for (const attempt of this.paused) this.onProgress(attempt)
    for (const attempt of this.uploading) {
      this.onProgress(attempt)
      if (!attempt.isUploading) this.uploading.delete(attempt)
    }
  }

  onResponse (attempt: ActiveAttempt, isNewConnection: boolean): void {
    this.options.contacts?.onResponse(attempt, isNewConnection)
  }

  onRateNotice ({ attemptId }: ActiveAttempt, notice: RateNotice): void {
    const upstreamId = this.attempts.get(attemptId)?.upstreamId
    if (upstreamId !== undefined) this.options.dispatcher.onRateNotice(upstreamId, notice)
  }

  onSignals ({ attemptId }: ActiveAttempt, signals: ResponseSignals): void {
    this.options.dispatcher.onAttemptSignals(attemptId, signals)
    this.options.onChange()
  }

  onProgress (attempt: ActiveAttempt): void {
    this.options.dispatcher.onAttemptProgress(attempt.attemptId)
  }

  onStream (attempt: ActiveAttempt, head: ResponseHead, chunks: readonly Buffer[]): StreamDecision {
    const call = this.options.callOf(attempt.callId)
    const serverError = head.status >= 500
    if (this.options.dispatcher.onAttemptResponding(attempt.attemptId, { serverError }) === 'discard') return 'discard'
    if (call === undefined || call.streamingAttemptId !== undefined) return 'discard'
    call.streamingAttemptId = attempt.attemptId
    const decision = call.sink.startStream(head, chunks, () => this.resume(attempt))
    if (decision === 'paused') this.paused.add(attempt)
    return decision
  }

  onChunk (attempt: ActiveAttempt, chunk: Buffer): boolean {
    this.options.contacts?.onResponse(attempt, false)
    const flowing = this.options.callOf(attempt.callId)?.sink.write(chunk) ?? true
    if (!flowing) this.paused.add(attempt)
    return flowing
  }

  onEnd (attempt: ActiveAttempt, end: AttemptEnd): void {
    const tracked = this.attempts.get(attempt.attemptId)
    this.attempts.delete(attempt.attemptId)
    this.paused.delete(attempt)
    this.uploading.delete(attempt)
    if (attempt.neverSent) tracked?.connections.closeAcquired(attempt.connection)
    else tracked?.connections.release(attempt.connection)
    this.options.counters.countEnd(end.kind)
    const call = this.options.callOf(attempt.callId)
    this.options.contacts?.onEnd(attempt, contactFailureOf(attempt, end))
    if (call !== undefined && end.kind === 'notRun' && !attempt.wasSent) call.unconnectedAttempts += 1
    if (call !== undefined && tracked !== undefined) {
      this.options.observer?.onAttemptEnd(call, attempt, end, this.options.clock.now() - tracked.startedAt)
    }
    // The dispatcher may cancel other attempts of the call, whose ends call this method recursively.
    const outer = this.ending
    this.ending = attempt
    this.options.dispatcher.onAttemptEnd(attempt.attemptId, end)
    this.ending = outer
    this.options.onChange()
  }

  private resume (attempt: ActiveAttempt): void {
    this.paused.delete(attempt)
    this.onProgress(attempt)
    attempt.resume()
  }

  /** Deferred, so that the dispatcher does not receive the end of an attempt that it is still starting. */
  private endUnstarted (attemptId: number): void {
    queueMicrotask(() => {
      this.options.counters.countEnd('notRun')
      this.options.dispatcher.onAttemptEnd(attemptId, { kind: 'notRun' })
      this.options.onChange()
    })
  }
}

/** Why an attempt got no response; undefined if this VM has given it up. Without effect on one that got a response. */
function contactFailureOf (attempt: ActiveAttempt, { kind }: AttemptEnd): ContactFailure | undefined {
  if (kind === 'cancelled' || attempt.neverSent) return undefined
  return attempt.wasSent ? 'lost' : 'unconnected'
}
