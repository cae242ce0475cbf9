import type { IncomingMessage, ServerResponse } from 'node:http'
import { HandoverLimit } from '@cowsliplead/core/core/handover/handoverLimit.js'
import { ReceiverChoice, type AvoidedVm } from '@cowsliplead/core/core/handover/receiverChoice.js'
import { UpstreamReachability, type ReachabilityEvidence, type ReachabilityState } from '@cowsliplead/core/core/handover/upstreamReachability.js'
import type { FleetMembers } from '@cowsliplead/core/core/membership/fleetMembers.js'
import { SystemClock, type Clock, type Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { RandomSource } from '@cowsliplead/core/types/randomSource.js'
import type { Dialect } from '../../types/dialect.js'
import type { ResponseSink } from '../../types/responseSink.js'
import type { ActiveCall } from '../callers/activeCall.js'
import type { ArrivedRequest, CallHandover } from '../callers/arrivedRequest.js'
import { readBody, type RequestBody } from '../callers/requestBody.js'
import { MEMORY_FULL_RETRY_MS } from '../callers/proxy.js'
import type { EventLog } from '../gateway/eventLog.js'
import type { BodyBudget } from '../overload/bodyBudget.js'
import type { StopPlan } from '../gateway/stopPlan.js'
import type { ServiceForwarder } from '../upstreams/serviceForwarder.js'
import { HandoverReceiver } from './handoverReceiver.js'
import type { HandoverCall } from './handoverCall.js'
import { HandoverSender } from './handoverSender.js'
import { HandoverSink } from './handoverSink.js'
import type { TransferEnd } from './transfer.js'

const TICK_INTERVAL_MS: Milliseconds = 50

/** After this time a caller that was refused for want of room may come again. */
const FULL_RETRY_MS: Milliseconds = 200

/** A call with less time left is not worth a transfer. */
const MIN_TIME_LEFT_MS: Milliseconds = 20

/** Concurrent calls that a VM may hand over: bodies of up to 256 KB are held for each. */
const SENT_CALLS = 32
const SENT_PER_OWN_CALL = 4

/**
 * Concurrent calls that a VM takes. Where half of the VMs are cut off, the others have to carry twice their load; twice the
 * own calls beside the own ones leaves room for an uneven distribution.
 */
const TAKEN_CALLS = 16
const TAKEN_PER_OWN_CALL = 2

/** Options of the handover; the functions are called once the daemon is complete. */
export interface HandoverOptions {
  readonly vmId: string
  readonly failureDomain: string
  readonly members: FleetMembers
  readonly clock: Clock
  readonly random: RandomSource
  readonly dialect: Dialect
  readonly eventLog: EventLog
  readonly bodyTimeoutMs: Milliseconds
  readonly maxBodyBytes: () => number
  readonly bodyBudget: BodyBudget
  readonly forwarders: () => readonly ServiceForwarder[]
  /** Requests of callers and of other VMs in progress. */
  readonly inFlight: () => number
  readonly stopPlan: () => StopPlan | undefined
  /** See `Proxy.handle`. */
  readonly serve: (request: IncomingMessage, response: ServerResponse, elapsedMs: Milliseconds) => void
}

/** State of the handover, for the dump and metrics. */
export interface HandoverSnapshot {
  readonly reachability: ReachabilityEvidence
  readonly avoided: readonly AvoidedVm[]
  /** Whether no VM that was asked lately reaches upstreams. */
  readonly isAllCut: boolean
  /** Times since the start at which this VM was found to be cut off. */
  readonly cuts: number
  readonly sent: { readonly inProgress: number, readonly maximum: number, readonly outcomes: Readonly<Record<string, number>> }
  readonly taken: { readonly inProgress: number, readonly maximum: number, readonly outcomes: Readonly<Record<string, number>> }
}

/** Hands calls to other VMs while this one reaches no upstream, and takes theirs. */
export class Handover implements CallHandover {
  readonly reachability: UpstreamReachability
  private readonly choice: ReceiverChoice
  private readonly sender: HandoverSender
  private readonly receiver: HandoverReceiver
  private readonly sentLimit: HandoverLimit
  private readonly takenLimit: HandoverLimit
  private timer: NodeJS.Timeout | undefined
  private lastTickAt: Milliseconds
  private cuts = 0

  private constructor (private readonly options: HandoverOptions) {
    const { vmId, clock, random, dialect, eventLog: { logger } } = options
    this.lastTickAt = clock.now()
    // Follows the time of day forwards, because the monotonic clock stops while the VM is suspended.
    this.reachability = UpstreamReachability.create({
      clock: SystemClock.create(), random, onChange: (evidence, previous) => this.onReachability(evidence, previous)
    })
    this.choice = ReceiverChoice.create(options)
    this.sentLimit = HandoverLimit.create({ clock, calls: SENT_CALLS, perOwnCall: SENT_PER_OWN_CALL })
    this.takenLimit = HandoverLimit.create({ clock, calls: TAKEN_CALLS, perOwnCall: TAKEN_PER_OWN_CALL })
    this.sender = HandoverSender.create({
      vmId,
      clock,
      dialect,
      choice: this.choice,
      limit: this.sentLimit,
      onEnd: (call, end) => this.logEnd(call, end),
      onError: error => logger.error('internal error while handing a request over', { error: error.stack })
    })
    this.receiver = HandoverReceiver.create({
      reachability: this.reachability,
      choice: this.choice,
      limit: this.takenLimit,
      isStopping: () => options.stopPlan() !== undefined,
      serve: options.serve
    })
  }

  static create (options: HandoverOptions): Handover {
    return new Handover(options)
  }

  start (): void {
    this.timer = setInterval(() => this.tick(), TICK_INTERVAL_MS)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  /** Answers the calls in progress at other VMs whose response has not begun, because this VM stops. */
  interruptCalls (): void {
    this.sender.interrupt()
  }

  /** Handles a request that another VM hands over. */
  handlePeer (request: IncomingMessage, response: ServerResponse): void {
    this.receiver.handle(request, response)
  }

  tryHandOver (arrived: ArrivedRequest, serve: (body: RequestBody) => void): boolean {
    const { dialect, bodyTimeoutMs, maxBodyBytes, bodyBudget } = this.options
    const { request, response, sink, arrivedAt } = arrived
    if (this.reachability.state !== 'cutOff' || this.choice.isAllCut) return false
    const timeLeftMs = dialect.timeLeftMs(request.headers) ?? Infinity
    const deadlineAt = arrivedAt + timeLeftMs
    if (this.mayOutlastStop(deadlineAt)) return false
    readBody(request, response, {
      timeoutMs: Math.min(bodyTimeoutMs, Math.max(timeLeftMs, 0)),
      maxBytes: maxBodyBytes(),
      budget: bodyBudget,
      onBody: body => {
        // The body may have taken long.
        if (this.mayOutlastStop(deadlineAt)) return serve(body)
        this.sender.send({ ...arrived, deadlineAt, body }, refusal => {
          if (refusal === 'noReceiver') serve(body)
          else sink.sendError('queueFull', '', { retryAfterMs: FULL_RETRY_MS })
        })
      },
      onTimeout: () => sink.sendError('bodyTimeout', ''),
      onTooLarge: () => sink.sendError('bodyTooLarge', ''),
      onEvicted: () => sink.sendError('memoryFull', '', { retryAfterMs: MEMORY_FULL_RETRY_MS }),
      onExceeded: () => this.options.eventLog.logRequest('result', { request: arrived.requestId, outcome: 'bodyTooLarge' })
    })
    return true
  }

  wrapSink (arrived: ArrivedRequest, body: RequestBody, deadlineAt: Milliseconds, call: () => ActiveCall): ResponseSink {
    return HandoverSink.create({
      inner: arrived.sink,
      mayHandOver: () => this.mayHandOver(call(), deadlineAt),
      handOver: refuse => this.sender.send({ ...arrived, deadlineAt, body }, refuse)
    })
  }

  /** The state for the dump and metrics. */
  snapshot (): HandoverSnapshot {
    const { reachability, choice, sender, receiver, sentLimit, takenLimit, cuts } = this
    return {
      reachability: reachability.describe(),
      avoided: choice.avoided(),
      isAllCut: choice.isAllCut,
      cuts,
      sent: { inProgress: sender.inProgress, maximum: sentLimit.maximum, outcomes: Object.fromEntries(sender.outcomes) },
      taken: { inProgress: receiver.inProgress, maximum: takenLimit.maximum, outcomes: Object.fromEntries(receiver.outcomes) }
    }
  }

  /** While only suspected, a call is handed over if it met the fault itself. */
  private mayHandOver (call: ActiveCall, deadlineAt: Milliseconds): boolean {
    const { state } = this.reachability
    const isConcerned = state === 'cutOff' || (state === 'suspected' && call.unconnectedAttempts > 0)
    return isConcerned && !this.mayOutlastStop(deadlineAt) && deadlineAt - this.options.clock.now() >= MIN_TIME_LEFT_MS
  }

  /** Whether this VM is stopping and a request that another VM runs may not end before it exits. */
  private mayOutlastStop (deadlineAt: Milliseconds): boolean {
    const { clock, stopPlan } = this.options
    return stopPlan()?.accepts(clock.now(), { deadlineAt, latency: undefined }) === false
  }

  private tick (): void {
    const { clock, inFlight, forwarders } = this.options
    const now = clock.now()
    const lagMs = now - this.lastTickAt - TICK_INTERVAL_MS
    this.lastTickAt = now
    const ownCalls = Math.max(0, inFlight() - this.receiver.inProgress)
    this.sentLimit.sample(ownCalls, 0)
    this.takenLimit.sample(ownCalls, lagMs)
    this.reachability.tick()
    const targets = forwarders()
    for (const id of this.reachability.takeProbes(id => targets.some(({ dispatcher }) => dispatcher.mayProbe(id)))) {
      targets.find(({ dispatcher }) => dispatcher.mayProbe(id))?.sendProbe(id)
    }
  }

  private onReachability (evidence: ReachabilityEvidence, previous: ReachabilityState): void {
    const { logger } = this.options.eventLog
    const fields = { ...evidence, silentMs: Math.round(evidence.silentMs) }
    if (evidence.state === 'cutOff') {
      this.cuts += 1
      logger.warn('no upstream can be reached', fields)
      // Deferred, because the change may be reported while a dispatcher is working.
      setImmediate(() => this.releaseWaitingCalls())
    } else if (previous === 'cutOff') {
      logger.info('upstreams can be reached again', { ...fields, outcomes: Object.fromEntries(this.sender.outcomes) })
    }
  }

  /** Calls that have only waited so far have not run. */
  private releaseWaitingCalls (): void {
    for (const forwarder of this.options.forwarders()) {
      for (const call of forwarder.withdrawUnstarted()) call.finish({ kind: 'notRun', code: 'noUpstream' }, undefined)
    }
  }

  private logEnd ({ requestId, arrivedAt }: HandoverCall, { outcome, receiver, tried, status }: TransferEnd): void {
    if (outcome === 'noReceiver') return
    const { clock, eventLog } = this.options
    const tookMs = Math.round((clock.now() - arrivedAt) * 10) / 10
    eventLog.logRequest('result', { request: requestId, outcome: 'handedOver', handover: outcome, receiver, receiversTried: tried, status, tookMs })
  }
}
