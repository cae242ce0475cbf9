import type { Readable } from 'node:stream'
import type { AttemptEnd } from '@cowsliplead/core/types/dispatch.js'
import type { LoadReport } from '@cowsliplead/core/types/upstream.js'
import type { Clock } from '@cowsliplead/core/types/clock.js'
import type { Dialect, ResponseMarks } from '../../types/dialect.js'
import type { ResponseHead, StreamDecision } from '../../types/responseSink.js'
import { findHeader } from '../../utils/headers.js'
import type { Connection } from './connectionSet.js'
import type { ExchangeHandler, ExchangeLoss } from './httpConnection.js'
import type { ParsedHead } from './responseParser.js'

/** Responses up to this size are held until they are complete, so that a cut one can be retried. */
export const HELD_RESPONSE_BYTES = 64 * 1024

/** What is sent to the upstream. */
export interface AttemptRequest {
  readonly method: string
  readonly path: string
  readonly headers: readonly string[]
  readonly body: Buffer | Readable | null
  /** The id that the response has to echo. */
  readonly echoedId: string
  /** Whether the request may be sent to another upstream after this one. */
  readonly isRepeatable: boolean
}

/** The owner of an attempt. */
export interface AttemptObserver {
  /** Bytes were sent or received. */
  onProgress (run: AttemptRun): void
  /** The response is too long to be held; `chunks` is what arrived so far. */
  onStream (run: AttemptRun, head: ResponseHead, chunks: readonly Buffer[]): StreamDecision
  /** More of a streamed response; false pauses until `resume`. */
  onChunk (run: AttemptRun, chunk: Buffer): boolean
  /** Called exactly once. A complete response that was not streamed is in `run.heldResponse`. */
  onEnd (run: AttemptRun, end: AttemptEnd): void
}

/** A complete response in memory. */
export interface HeldResponse {
  readonly head: ResponseHead
  readonly body: readonly Buffer[]
}

/** How far an attempt has come. */
type AttemptStage = 'waiting' | 'sent' | 'refused' | 'holding' | 'streaming' | 'ended'

/** What an attempt is made of. */
export interface AttemptRunOptions {
  readonly attemptId: number
  readonly callId: number
  readonly connection: Connection
  readonly request: AttemptRequest
  readonly observer: AttemptObserver
  readonly clock: Clock
  readonly dialect: Dialect
}

/** One request to one upstream. */
export class AttemptRun implements ExchangeHandler {
  readonly attemptId: number
  readonly callId: number
  readonly connection: Connection
  /** True where the attempt was cancelled before its connection was there; the connection is then of no use. */
  neverSent = false
  /** A complete response that was held back. */
  heldResponse: HeldResponse | undefined
  private stage: AttemptStage = 'waiting'
  private head: ResponseHead | undefined
  private report: LoadReport | undefined
  private held: Buffer[] = []
  private bodyBytes = 0

  private constructor (private readonly options: AttemptRunOptions) {
    this.attemptId = options.attemptId
    this.callId = options.callId
    this.connection = options.connection
  }

  static create (options: AttemptRunOptions): AttemptRun {
    return new AttemptRun(options)
  }

  /** Whether the caller has not sent the whole body yet. */
  get isUploading (): boolean {
    const { body } = this.options.request
    return body !== null && 'readableEnded' in body && !body.readableEnded
  }

  /** Sends the request. */
  start (): void {
    this.connection.http.send(this.options.request, this)
  }

  /** Stops the attempt and closes its connection, on which a late response could otherwise follow. */
  cancel (): void {
    if (this.stage === 'ended') return
    this.neverSent = this.stage === 'waiting'
    this.connection.http.destroy()
    this.finish({ kind: this.neverSent ? 'notRun' : 'cancelled' })
  }

  /** Continues a paused response. */
  resume (): void {
    if (this.stage === 'streaming') this.connection.http.resume()
  }

  onSent (): void {
    this.stage = 'sent'
  }

  onHead (head: ParsedHead): 'take' | 'skip' {
    const { dialect, request } = this.options
    const now = this.options.clock.now()
    const marks = dialect.readResponse(head.status, head.rawHeaders, now)
    this.connection.provenAt = now
    this.connection.idleTimeoutMs = marks.idleTimeoutMs
    if (!isOwn(marks, request.echoedId)) return this.onForeignHead()
    this.report = marks.report
    const isFramed = this.hasFrame(head)
    this.head = { status: head.status, rawHeaders: head.rawHeaders, isFramed }
    if (marks.notRun) this.stage = 'refused'
    else if (isFramed || this.mayTakeUnframed()) this.startBody(head.rawHeaders)
    else this.fail('truncated')
    return 'take'
  }

  onBodySent (): void {
    this.options.observer.onProgress(this)
  }

  onData (chunk: Buffer): boolean {
    this.options.observer.onProgress(this)
    this.bodyBytes += chunk.length
    if (this.stage === 'streaming') return this.options.observer.onChunk(this, chunk)
    if (this.stage !== 'holding') return true
    this.held.push(chunk)
    return this.bodyBytes <= HELD_RESPONSE_BYTES || this.startStream()
  }

  onComplete (): void {
    this.connection.provenAt = this.options.clock.now()
    if (this.stage === 'refused') return this.finish({ kind: 'notRun', report: this.report })
    if (this.stage !== 'holding' && this.stage !== 'streaming') return
    const head = this.head as ResponseHead
    if (this.stage === 'holding') this.heldResponse = { head, body: this.held }
    this.finish({ kind: 'answered', serverError: head.status >= 500, report: this.report, bytes: this.bodyBytes })
  }

  onLost (loss: ExchangeLoss): void {
    if (this.stage === 'ended') return
    this.finish({ kind: this.endOfLoss(loss), report: this.report })
  }

  /**
   * A response with another id on a connection with history is a late extra answer to an earlier request: the own
   * answer still follows. On a new connection nothing else can follow.
   */
  private onForeignHead (): 'take' | 'skip' {
    if (this.connection.http.hasHistory) return 'skip'
    this.fail('crossed')
    return 'take'
  }

  private endOfLoss (loss: ExchangeLoss): AttemptEnd['kind'] {
    if (loss === 'unsent' || this.stage === 'waiting' || this.stage === 'refused') return 'notRun'
    if (this.stage === 'holding' || this.stage === 'streaming') return 'truncated'
    return loss === 'invalid' ? 'failed' : 'crashed'
  }

  /**
   * Whether an answer that ends with its connection is of use. A crash cannot be told from such an end, so a request
   * that may be repeated is sent elsewhere.
   */
  private mayTakeUnframed (): boolean {
    return this.options.dialect.acceptsUnframed && !this.options.request.isRepeatable
  }

  /** False where only the close of the connection marks the end of the body. */
  private hasFrame ({ status, rawHeaders }: ParsedHead): boolean {
    if (this.options.request.method === 'HEAD' || status === 204 || status === 304) return true
    return findHeader(rawHeaders, 'content-length') !== undefined || findHeader(rawHeaders, 'transfer-encoding') !== undefined
  }

  private startBody (headers: readonly string[]): void {
    this.stage = 'holding'
    const length = Number(findHeader(headers, 'content-length') ?? 0)
    if (length <= HELD_RESPONSE_BYTES || this.options.request.method === 'HEAD') return
    if (!this.startStream()) this.connection.http.pause()
  }

  /** Returns false where reading pauses. */
  private startStream (): boolean {
    const chunks = this.held
    this.held = []
    this.stage = 'streaming'
    const decision = this.options.observer.onStream(this, this.head as ResponseHead, chunks)
    if (decision === 'discard') this.cancel()
    return decision === 'flowing'
  }

  private fail (kind: 'crossed' | 'truncated'): void {
    this.connection.http.destroy()
    this.finish({ kind })
  }

  private finish (end: AttemptEnd): void {
    this.stage = 'ended'
    this.held = []
    this.options.observer.onEnd(this, end)
  }
}

/** Refusals come from an upstream that did not take the request in and may not echo its id. */
function isOwn (marks: ResponseMarks, echoedId: string): boolean {
  return marks.echoedId === echoedId || (marks.echoedId === undefined && marks.notRun)
}
