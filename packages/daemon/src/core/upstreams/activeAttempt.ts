import type { AttemptEnd } from '@cowsliplead/core/types/dispatch.js'
import type { LoadReport } from '@cowsliplead/core/types/upstream.js'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import { MAX_BUFFERED_RESPONSE_BYTES, type AttemptDescription, type AttemptRequest, type BufferedResponse } from '../../types/attempt.js'
import type { Dialect, ResponseMetadata } from '../../types/dialect.js'
import type { ResponseHead } from '../../types/responseSink.js'
import { BodyBuffer } from '../../utils/bodyBuffer.js'
import { findHeader } from '../../utils/headers.js'
import { notifyOfSignals, pauseOf } from '../../utils/responseSignals.js'
import type { AttemptObserver } from './attemptObserver.js'
import type { Connection } from './connectionPool.js'
import type { BytesRefusal } from './connectionObserver.js'
import type { ExchangeHandler, ExchangeFailure } from './exchangeHandler.js'
import type { ParsedHead } from './responseParser.js'
import { StrayScanner } from './strayScanner.js'

/** Ids that are kept of a connection's earlier requests. */
const MAX_EARLIER_IDS = 16

/** Progress of an attempt. `refused`: the upstream states that it did not run the request. */
type AttemptStage = 'unsent' | 'sent' | 'refused' | 'buffering' | 'streaming' | 'ended'

/** Options of an attempt. */
export interface ActiveAttemptOptions {
  readonly attemptId: number
  readonly callId: number
  readonly connection: Connection
  readonly request: AttemptRequest
  readonly observer: AttemptObserver<ActiveAttempt>
  readonly clock: Clock
  readonly dialect: Dialect
}

/** An attempt in progress: one request to one upstream. */
export class ActiveAttempt implements ExchangeHandler {
  readonly attemptId: number
  readonly callId: number
  readonly connection: Connection
  /** Whether bytes of the request were sent. */
  wasSent = false
  /** True if the attempt was cancelled before its connection was established; the connection is then not reused. */
  neverSent = false
  /** Why the bytes received are no valid response; undefined unless the attempt failed for that. */
  refusal: BytesRefusal | undefined
  /** The complete response, unless it was streamed. */
  bufferedResponse: BufferedResponse | undefined
  private stage: AttemptStage = 'unsent'
  private head: ResponseHead | undefined
  private report: LoadReport | undefined
  private retryAfterMs: Milliseconds | undefined
  private readonly buffered = BodyBuffer.create()
  private bodyBytes = 0
  private readonly scanner: StrayScanner
  /** Responses that the connection had carried before this attempt. */
  private readonly earlierResponses: number
  /** Responses to other requests that were skipped in this attempt, and the status of the last one. */
  private skippedResponses = 0
  private skippedStatus: number | undefined

  private constructor (private readonly options: ActiveAttemptOptions) {
    this.attemptId = options.attemptId
    this.callId = options.callId
    this.connection = options.connection
    this.scanner = StrayScanner.create([...options.connection.earlierIds])
    this.earlierResponses = options.connection.http.completedResponses
  }

  static create (options: ActiveAttemptOptions): ActiveAttempt {
    return new ActiveAttempt(options)
  }

  /** Whether the caller is still sending a streamed body. */
  get isUploading (): boolean {
    const { body } = this.options.request
    return body !== null && 'readableEnded' in body && !body.readableEnded
  }

  /** The status that the upstream answered with and what its connection had carried, for the log. */
  describe (): AttemptDescription {
    const { head, connection, earlierResponses, skippedResponses, skippedStatus, options: { clock } } = this
    const connectionAgeMs = Math.round(clock.now() - connection.openedAt)
    const skipped = skippedResponses === 0 ? undefined : skippedResponses
    return { upstreamStatus: head?.status, connection: connection.number, connectionAgeMs, earlierResponses, skipped, skippedStatus }
  }

  /** Sends the request. */
  start (): void {
    this.connection.http.send(this.options.request, this)
  }

  /** Cancels the attempt and closes its connection, so that a late response cannot arrive on it. */
  cancel (): void {
    if (this.stage === 'ended') return
    this.neverSent = this.stage === 'unsent'
    this.connection.http.destroy()
    this.finish({ kind: this.neverSent ? 'notRun' : 'cancelled' })
  }

  /** Resumes a paused response. */
  resume (): void {
    if (this.stage === 'streaming') this.connection.http.resume()
  }

  onSent (): void {
    const { earlierIds } = this.connection
    earlierIds.push(this.options.request.echoedId)
    if (earlierIds.length > MAX_EARLIER_IDS) earlierIds.shift()
    this.stage = 'sent'
    this.wasSent = true
  }

  onHead (head: ParsedHead): 'accept' | 'skip' {
    const { dialect } = this.options
    const now = this.options.clock.now()
    const metadata = dialect.readResponseMetadata(head.status, head.rawHeaders, now)
    this.options.observer.onResponse(this, this.connection.lastResponseAt === 0)
    this.connection.lastResponseAt = now
    this.connection.idleTimeoutMs = metadata.idleTimeoutMs
    if (!this.answersAttempt(metadata)) return this.onMismatchedHead(head)
    if (metadata.echoedId === undefined) this.connection.hadResponseWithoutId = true
    this.report = metadata.report
    this.notifyOfRate(metadata)
    this.retryAfterMs = pauseOf(metadata)
    notifyOfSignals(metadata, signals => this.options.observer.onSignals(this, signals))
    const isFramed = this.hasFraming(head)
    this.head = { status: head.status, rawHeaders: head.rawHeaders, isFramed }
    if (metadata.notRun) this.stage = 'refused'
    else if (metadata.isUnsigned) this.fail('unsigned')
    else if (metadata.isUnfoundedPromise && !this.options.request.isRetryable) this.fail('failed')
    else if (isFramed || this.mayAcceptCloseDelimited()) this.startBody(head.rawHeaders)
    else this.fail('truncated')
    return 'accept'
  }

  onBodySent (): void {
    this.options.observer.onProgress(this)
  }

  onData (chunk: Buffer): boolean {
    this.options.observer.onProgress(this)
    this.bodyBytes += chunk.length
    if (this.scanner.finds(chunk)) return this.failCrossed()
    if (this.stage === 'streaming') return this.options.observer.onChunk(this, chunk)
    if (this.stage !== 'buffering') return true
    if (!this.mayBuffer(this.bodyBytes)) return this.startStream([...this.buffered.take(), chunk])
    this.buffered.append(chunk)
    return true
  }

  onComplete (): void {
    this.connection.lastResponseAt = this.options.clock.now()
    if (this.stage === 'refused') return this.finish({ kind: 'notRun', report: this.report, retryAfterMs: this.retryAfterMs })
    if (this.stage !== 'buffering' && this.stage !== 'streaming') return
    const head = this.head as ResponseHead
    if (this.stage === 'buffering') this.bufferedResponse = { head, body: this.buffered.take() }
    this.finish({ kind: 'answered', serverError: head.status >= 500, report: this.report, retryAfterMs: this.retryAfterMs, bytes: this.bodyBytes })
  }

  onFailure (failure: ExchangeFailure, refusal?: BytesRefusal): void {
    if (this.stage === 'ended') return
    this.refusal = refusal
    this.finish({ kind: this.endKindOf(failure), report: this.report, retryAfterMs: this.retryAfterMs })
  }

  /**
   * An upstream that states that it did not run the request may not have read it, so it need not echo the id. On a connection
   * that has carried another response without an id, it may be a second copy of that one.
   */
  private answersAttempt ({ echoedId, notRun }: ResponseMetadata): boolean {
    if (echoedId !== undefined) return echoedId === this.options.request.echoedId
    return notRun && !this.connection.hadResponseWithoutId
  }

  /**
   * Handles a response with another id, or one without an id that may be a copy. On a reused connection it is a late extra
   * response to an earlier request, and the expected one still follows. On a new connection no other response can follow, so
   * the attempt fails.
   */
  private onMismatchedHead ({ status }: ParsedHead): 'accept' | 'skip' {
    this.skippedResponses += 1
    this.skippedStatus = status
    if (this.connection.http.completedResponses > 0) return 'skip'
    this.fail('crossed')
    return 'accept'
  }

  private endKindOf (failure: ExchangeFailure): AttemptEnd['kind'] {
    if (failure === 'unsent' || this.stage === 'unsent' || this.stage === 'refused') return 'notRun'
    if (this.stage === 'buffering' || this.stage === 'streaming') return 'truncated'
    return failure === 'invalid' ? 'failed' : 'crashed'
  }

  /**
   * Whether a close-delimited response may be accepted. A crash of the upstream cannot be distinguished from its
   * end, so a retryable request is sent to another upstream instead.
   */
  private mayAcceptCloseDelimited (): boolean {
    return this.options.dialect.acceptsCloseDelimited && !this.options.request.isRetryable
  }

  /** False for a close-delimited body, which only the close of the connection ends. */
  private hasFraming ({ status, rawHeaders }: ParsedHead): boolean {
    if (this.options.request.method === 'HEAD' || status === 204 || status === 304) return true
    return findHeader(rawHeaders, 'content-length') !== undefined || findHeader(rawHeaders, 'transfer-encoding') !== undefined
  }

  private startBody (headers: readonly string[]): void {
    this.stage = 'buffering'
    const length = Number(findHeader(headers, 'content-length') ?? 0)
    if (this.options.request.method === 'HEAD' || this.mayBuffer(length)) return
    if (!this.startStream([])) this.connection.http.pause()
  }

  private mayBuffer (bytes: number): boolean {
    return bytes <= MAX_BUFFERED_RESPONSE_BYTES || this.options.request.tryHold(bytes)
  }

  /** Passes on `chunks` and what follows them. Returns false to pause reading. */
  private startStream (chunks: readonly Buffer[]): boolean {
    this.stage = 'streaming'
    const decision = this.options.observer.onStream(this, this.head as ResponseHead, chunks)
    if (decision === 'discard') this.cancel()
    return decision === 'flowing'
  }

  /** A refusal may come from a stage that does not know the upstream's rate, so it can name a rate but not withdraw one. */
  private notifyOfRate ({ rateNotice, notRun }: ResponseMetadata): void {
    if (rateNotice === undefined || (notRun && rateNotice.kind === 'unlimited')) return
    this.options.observer.onRateNotice(this, rateNotice)
  }

  private failCrossed (): boolean {
    this.fail('crossed')
    return true
  }

  private fail (kind: 'crossed' | 'failed' | 'truncated' | 'unsigned'): void {
    this.connection.http.destroy()
    this.finish({ kind })
  }

  private finish (end: AttemptEnd): void {
    this.stage = 'ended'
    this.buffered.take()
    this.options.observer.onEnd(this, end)
  }
}
