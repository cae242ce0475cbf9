import type { ReceiverChoice, ReceiverFailure } from '@cowsliplead/core/core/handover/receiverChoice.js'
import type { FleetMember } from '@cowsliplead/core/types/fleetMember.js'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { ResultCodeName } from '@cowsliplead/core/types/resultCode.js'
import { PEER_ELAPSED_HEADER, PEER_PURPOSE_HEADER, PEER_SENDER_HEADER, requestHeaders } from '../../utils/headers.js'
import type { Dialect } from '../../types/dialect.js'
import type { ResponseHead } from '../../types/responseSink.js'
import { CallerRelay } from './callerRelay.js'
import type { HandoverCall } from './handoverCall.js'
import { PeerExchange, type PeerError, type PeerExchangeHandler } from './peerExchange.js'

/** VMs that are asked to take one call. */
const MAX_RECEIVERS = 3

/** Longest wait for the head of a response if the caller does not say how long it waits. */
const DEFAULT_WAIT_MS: Milliseconds = 30_000

/** The receiver answers at the deadline itself; this covers the way of its answer. */
const ANSWER_TRANSIT_MS: Milliseconds = 50

/** The receiver ends a response in progress by then; if it does not, it is frozen or cannot be reached. */
const RESPONSE_END_MS: Milliseconds = 250

/**
 * Errors after which another VM may take the call, and how the one that gave it is avoided. All of them state that the
 * call has not run. Other errors, such as an unknown key, would be the same at every VM.
 */
const FAILURE_BY_RESULT: Readonly<Record<string, ReceiverFailure>> = {
  cutOff: 'cutOff',
  noUpstream: 'full',
  shed: 'full',
  full: 'full',
  queueFull: 'full',
  deadlineUnreachable: 'full',
  rateLimited: 'full',
  stopping: 'unreached',
  notReady: 'unreached',
  keysUnconfirmed: 'full'
}

/** Reasons that a receiver gives before it takes a call; they are no answers for callers. */
const RECEIVER_ONLY_RESULTS: ReadonlySet<string> = new Set(['cutOff', 'full', 'stopping'])

/** Options of a transfer. */
export interface TransferOptions {
  readonly vmId: string
  readonly clock: Clock
  readonly dialect: Dialect
  readonly choice: ReceiverChoice
}

/** The end of a transfer. `noReceiver`: the call goes back to this VM. */
export interface TransferEnd {
  readonly outcome: 'relayed' | 'refused' | 'unknown' | 'broken' | 'callerLeft' | 'noReceiver'
  /** The VM that was asked last; undefined if there was none. */
  readonly receiver: string | undefined
  readonly tried: number
  readonly status?: number | undefined
}

/** The way of one call through other VMs: it is offered to one after the other until one takes it. */
export class Transfer implements PeerExchangeHandler {
  private readonly tried = new Set<string>()
  private receiver: FleetMember | undefined
  private exchange: PeerExchange | undefined
  private lastError: PeerError | undefined
  private status: number | undefined
  /** Whether each VM that was asked says that it does not reach upstreams either. */
  private isCutEverywhere = true
  private hasEnded = false
  private timer: NodeJS.Timeout | undefined
  private readonly relay: CallerRelay

  private constructor (
    private readonly call: HandoverCall,
    private readonly options: TransferOptions,
    private readonly done: (end: TransferEnd) => void
  ) {
    this.relay = CallerRelay.create(call.response, call.sink)
  }

  /** Starts a transfer; `done` is called once. */
  static start (call: HandoverCall, options: TransferOptions, done: (end: TransferEnd) => void): void {
    const transfer = new Transfer(call, options, done)
    const waitMs = Math.min(call.deadlineAt - options.clock.now(), DEFAULT_WAIT_MS) + ANSWER_TRANSIT_MS
    transfer.timer = setTimeout(() => transfer.onTimeout(), Math.max(waitMs, 0))
    call.response.once('close', () => transfer.onCallerClose())
    call.response.on('drain', () => transfer.exchange?.resume())
    transfer.offerNext()
  }

  onHead (head: ResponseHead): void {
    this.status = head.status
    this.relay.start(head)
    if (!this.relay.isUnsent) this.limitStream()
  }

  onData (chunk: Buffer): boolean {
    return this.relay.write(chunk)
  }

  onComplete (): void {
    this.relay.end()
    this.end('relayed')
  }

  onPeerError (error: PeerError): void {
    const failure = FAILURE_BY_RESULT[error.result]
    if (failure === undefined) return this.relayError(error)
    if (failure !== 'cutOff') this.isCutEverywhere = false
    if (!RECEIVER_ONLY_RESULTS.has(error.result)) this.lastError = error
    this.offerAfter(failure)
  }

  onUnsent (): void {
    this.isCutEverywhere = false
    this.offerAfter('unreached')
  }

  onBroken (): void {
    this.avoidReceiver('unreached')
    if (this.relay.isUnsent) this.finishUnknown('upstreamFailed')
    else this.breakOff()
  }

  /** A caller that does not say how long it waits gets as much as the receiver allows. */
  private limitStream (): void {
    clearTimeout(this.timer)
    const { deadlineAt } = this.call
    if (!Number.isFinite(deadlineAt)) return
    this.timer = setTimeout(() => this.breakOff(), Math.max(deadlineAt + RESPONSE_END_MS - this.options.clock.now(), 0))
  }

  /** The receiver is not avoided for it, because it may have been the caller that did not read. */
  private breakOff (): void {
    this.exchange?.cancel()
    this.relay.abort()
    this.end('broken')
  }

  private offerNext (): void {
    const { choice } = this.options
    this.receiver = this.tried.size < MAX_RECEIVERS && this.canSend() ? choice.choose(this.tried) : undefined
    if (this.receiver === undefined) return this.giveUp()
    this.tried.add(this.receiver.vmId)
    choice.onStart(this.receiver.vmId)
    this.exchange = PeerExchange.send(this.createRequest(this.receiver), this)
  }

  private offerAfter (failure: ReceiverFailure): void {
    this.avoidReceiver(failure)
    this.releaseReceiver()
    this.offerNext()
  }

  /** Nobody has run the call: it goes back, unless its body was used up or a VM has given an answer for the caller. */
  private giveUp (): void {
    if (this.lastError !== undefined && !this.isCutEverywhere) return this.relayError(this.lastError)
    if (this.tried.size > 0 && this.isCutEverywhere) this.options.choice.onAllCut()
    if (this.isBodyUntouched()) return this.end('noReceiver')
    this.call.sink.sendError('noUpstream', '')
    this.end('refused')
  }

  private relayError ({ head, body }: PeerError): void {
    this.status = head.status
    this.relay.start(head)
    this.relay.write(body)
    this.relay.end()
    this.end('refused')
  }

  private finishUnknown (code: ResultCodeName): void {
    this.call.sink.sendError(code, '')
    this.end('unknown')
  }

  private onTimeout (): void {
    if (this.hasEnded) return
    if (!this.relay.isUnsent) return this.limitStream()
    const mayHaveRun = this.exchange?.mayHaveRun === true
    this.exchange?.cancel()
    this.avoidReceiver('unreached')
    if (mayHaveRun) return this.finishUnknown('deadlineExceeded')
    this.call.sink.sendError('deadlinePassed', '')
    this.end('refused')
  }

  private onCallerClose (): void {
    if (this.hasEnded) return
    this.exchange?.cancel()
    this.end('callerLeft')
  }

  private end (outcome: TransferEnd['outcome']): void {
    if (this.hasEnded) return
    this.hasEnded = true
    clearTimeout(this.timer)
    const receiver = this.receiver?.vmId ?? [...this.tried].pop()
    this.releaseReceiver()
    this.done({ outcome, receiver, tried: this.tried.size, status: this.status })
  }

  private avoidReceiver (failure: ReceiverFailure): void {
    if (this.receiver !== undefined) this.options.choice.avoid(this.receiver.vmId, failure)
  }

  private releaseReceiver (): void {
    if (this.receiver !== undefined) this.options.choice.onEnd(this.receiver.vmId)
    this.receiver = undefined
  }

  private canSend (): boolean {
    return this.isBodyUntouched() && this.call.deadlineAt > this.options.clock.now()
  }

  private isBodyUntouched (): boolean {
    const { body } = this.call
    return body === null || Buffer.isBuffer(body) || (!body.readableDidRead && !body.destroyed)
  }

  private createRequest (receiver: FleetMember): Parameters<typeof PeerExchange.send>[0] {
    const { request, arrivedAt, deadlineAt, body } = this.call
    const { clock, dialect, vmId } = this.options
    const now = clock.now()
    const timeLeft = Number.isFinite(deadlineAt) ? dialect.timeLeftHeaders(deadlineAt - now) : []
    const replaced = new Set(timeLeft.filter((_part, index) => index % 2 === 0))
    const headers = [
      ...requestHeaders(request.rawHeaders, request.headers.connection, replaced),
      ...timeLeft,
      PEER_PURPOSE_HEADER, 'handover',
      PEER_SENDER_HEADER, vmId,
      PEER_ELAPSED_HEADER, String(Math.max(Math.round(now - arrivedAt), 0))
    ]
    return { address: receiver.peerAddress as string, method: request.method as string, path: request.url as string, headers, body }
  }
}
