import { HTTPParser } from 'http-parser-js'
import { addLineValidation, InvalidResponse, validateHead, type InvalidReason, type ParserInternals } from './responseValidation.js'

/** Status and headers of a response. */
export interface ParsedHead {
  readonly status: number
  /** Alternating names and values. */
  readonly rawHeaders: readonly string[]
  /** False if the upstream closes the connection after this response. */
  readonly keepsConnection: boolean
}

/** Receives the parts of responses in order. */
export interface ParserEvents {
  onHead (head: ParsedHead): void
  onData (chunk: Buffer): void
  /** `hasMore`: the bytes being parsed go on beyond the end of the response. */
  onComplete (hasMore: boolean): void
}

/**
 * Bytes that an upstream may send in a row without a byte of a body or a complete response: heads, chunk-size lines,
 * trailers and interim responses. Without a limit, one upstream could fill the memory of the VM.
 */
const MAX_FRAMING_BYTES = 64 * 1024

// Callers get header values byte for byte, whatever encoding the upstream uses.
HTTPParser.encoding = 'latin1'

/** Parses the responses on one connection. Interim responses (1xx) are dropped. */
export class ResponseParser {
  private readonly parser = new HTTPParser('RESPONSE')
  /** Why bytes were refused; undefined if none were. */
  invalidReason: InvalidReason | undefined
  private isInterim = false
  /** Bytes since the last byte of a body or the last complete response. */
  private framingBytes = 0

  private constructor (events: ParserEvents, isHead: () => boolean) {
    const { parser } = this
    const internals = parser as unknown as ParserInternals
    addLineValidation(internals)
    parser[HTTPParser.kOnHeadersComplete] = info => {
      validateHead(info.statusCode, info.statusMessage, info.headers)
      this.isInterim = info.statusCode < 200
      if (this.isInterim) return 0
      events.onHead({ status: info.statusCode, rawHeaders: info.headers, keepsConnection: info.shouldKeepAlive })
      return isHead() ? 1 : 0
    }
    parser[HTTPParser.kOnBody] = (chunk, offset, length) => {
      if (this.isInterim) return
      this.framingBytes = 0
      events.onData(chunk.subarray(offset, offset + length))
    }
    parser[HTTPParser.kOnMessageComplete] = () => {
      if (this.isInterim) return
      this.framingBytes = 0
      events.onComplete(internals.offset < internals.end)
    }
  }

  /** `isHead` returns whether the response answers a HEAD request and so has no body, regardless of its headers. */
  static create (events: ParserEvents, isHead: () => boolean): ResponseParser {
    return new ResponseParser(events, isHead)
  }

  /** Returns false if the bytes are not a valid response, or exceed a limit. Throws what a receiver of the parts throws. */
  parse (chunk: Buffer): boolean {
    this.framingBytes += chunk.length
    this.invalidReason = this.execute(chunk)
    return this.invalidReason === undefined
  }

  private execute (chunk: Buffer): InvalidReason | undefined {
    try {
      if (typeof this.parser.execute(chunk) !== 'number') return 'syntax'
      return this.framingBytes > MAX_FRAMING_BYTES ? 'headTooLong' : undefined
    } catch (error) {
      if (error instanceof InvalidResponse) return error.reason
      throw error
    }
  }

  /** Signals an orderly end of the connection, which completes a response without a length. */
  end (): void {
    this.parser.finish()
  }
}
