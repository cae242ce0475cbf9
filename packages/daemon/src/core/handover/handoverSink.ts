import { RESULT_CODES, type ResultCodeName } from '@cowsliplead/core/types/resultCode.js'
import type { ErrorResponseOptions, ResponseHead, ResponseSink, StreamDecision } from '../../types/responseSink.js'

/** Results of calls that another VM may be able to run. */
const REMEDIABLE: ReadonlySet<ResultCodeName> = new Set(['noUpstream', 'shed', 'queueFull', 'deadlineUnreachable'])

/** Options of a handover sink. */
export interface HandoverSinkOptions {
  readonly inner: ResponseSink
  /** Whether a call that has provably not run may be handed over now. */
  readonly mayHandOver: () => boolean
  /** Hands the call over; `refuse` sends the original error. */
  readonly handOver: (refuse: () => void) => void
}

/** Sends the outcome of a call to its caller, except that a call that this VM could not run is handed to another one. */
export class HandoverSink implements ResponseSink {
  private constructor (private readonly options: HandoverSinkOptions) {}

  static create (options: HandoverSinkOptions): HandoverSink {
    return new HandoverSink(options)
  }

  get sentStatus (): number | undefined {
    return this.options.inner.sentStatus
  }

  deliver (head: ResponseHead, body: readonly Buffer[]): void {
    this.options.inner.deliver(head, body)
  }

  startStream (head: ResponseHead, chunks: readonly Buffer[], resume: () => void): StreamDecision {
    return this.options.inner.startStream(head, chunks, resume)
  }

  write (chunk: Buffer): boolean {
    return this.options.inner.write(chunk)
  }

  endStream (): void {
    this.options.inner.endStream()
  }

  abortStream (): void {
    this.options.inner.abortStream()
  }

  tryHold (bytes: number): boolean {
    return this.options.inner.tryHold(bytes)
  }

  sendError (code: ResultCodeName, detail: string, options?: ErrorResponseOptions): void {
    const { inner, mayHandOver, handOver } = this.options
    const hasNotRun = RESULT_CODES[code].outcome === 'notRun' && REMEDIABLE.has(code)
    if (hasNotRun && mayHandOver()) handOver(() => inner.sendError(code, detail, options))
    else inner.sendError(code, detail, options)
  }
}
