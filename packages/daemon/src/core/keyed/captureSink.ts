import type { ResultCodeName } from '@cowsliplead/core/types/resultCode.js'
import type { ResponseHead, ResponseSink, StreamDecision } from '../../types/responseSink.js'

/** Responses to keyed calls up to this size are passed between VMs. */
export const CAPTURED_RESPONSE_BYTES = 256 * 1024

/** The outcome of a call in memory. */
export type Captured =
  | { readonly kind: 'response', readonly head: ResponseHead, readonly body: Buffer }
  /** The response was complete and is too long to be kept. */
  | { readonly kind: 'tooLong', readonly status: number }
  | { readonly kind: 'refused', readonly code: ResultCodeName, readonly detail: string }

/** Takes the outcome of a keyed call into memory. */
export class CaptureSink implements ResponseSink {
  private head: ResponseHead | undefined
  private chunks: Buffer[] = []
  private size = 0

  private constructor (private readonly done: (captured: Captured) => void) {}

  static create (done: (captured: Captured) => void): CaptureSink {
    return new CaptureSink(done)
  }

  deliver (head: ResponseHead, body: readonly Buffer[]): void {
    this.done({ kind: 'response', head, body: Buffer.concat(body) })
  }

  startStream (head: ResponseHead, chunks: readonly Buffer[]): StreamDecision {
    this.head = head
    for (const chunk of chunks) this.write(chunk)
    return 'flowing'
  }

  /** Bytes above the limit are dropped, but the response is read to its end: only then did the call surely run. */
  write (chunk: Buffer): boolean {
    this.size += chunk.length
    if (this.size <= CAPTURED_RESPONSE_BYTES) this.chunks.push(chunk)
    else this.chunks = []
    return true
  }

  endStream (): void {
    const head = this.head as ResponseHead
    if (this.size > CAPTURED_RESPONSE_BYTES) this.done({ kind: 'tooLong', status: head.status })
    else this.done({ kind: 'response', head, body: Buffer.concat(this.chunks) })
  }

  breakStream (): void {
    this.done({ kind: 'refused', code: 'answerTruncated', detail: '' })
  }

  refuse (code: ResultCodeName, detail: string): void {
    this.done({ kind: 'refused', code, detail })
  }
}
