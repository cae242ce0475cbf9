import { HTTPParser } from 'http-parser-js'

/** Head of a response as it arrived. */
export interface ParsedHead {
  readonly status: number
  /** Name, value, name, value. */
  readonly rawHeaders: readonly string[]
  /** False where the upstream closes the connection after this response. */
  readonly keepsConnection: boolean
}

/** Receives the parts of responses in order. */
export interface ParserEvents {
  onHead (head: ParsedHead): void
  onData (chunk: Buffer): void
  onComplete (): void
}

const CHUNK_HEAD = /^[0-9a-f]{1,8}[ \t]*(;.*)?$/i
const LENGTH = /^\d{1,15}$/

/** The parser's own handling of a chunk head, which takes any text that is no number for the end of the body. */
interface ChunkHeadState {
  BODY_CHUNKHEAD (): void
  consumeLine (): string | undefined
}

/** Parses the responses on one connection. Interim responses (1xx) are dropped. */
export class ResponseParser {
  private readonly parser = new HTTPParser('RESPONSE')
  private isInterim = false

  private constructor (events: ParserEvents, isHead: () => boolean) {
    const { parser } = this
    rejectBadChunkHeads(parser as unknown as ChunkHeadState)
    parser[HTTPParser.kOnHeadersComplete] = info => {
      rejectBadLengths(info.headers)
      this.isInterim = info.statusCode < 200
      if (this.isInterim) return 0
      events.onHead({ status: info.statusCode, rawHeaders: info.headers, keepsConnection: info.shouldKeepAlive })
      return isHead() ? 1 : 0
    }
    parser[HTTPParser.kOnBody] = (chunk, offset, length) => events.onData(chunk.subarray(offset, offset + length))
    parser[HTTPParser.kOnMessageComplete] = () => {
      if (!this.isInterim) events.onComplete()
    }
  }

  /** `isHead` tells whether the response answers a HEAD request and so has no body whatever its headers say. */
  static create (events: ParserEvents, isHead: () => boolean): ResponseParser {
    return new ResponseParser(events, isHead)
  }

  /** Returns false where the bytes are no response. */
  take (chunk: Buffer): boolean {
    try {
      return typeof this.parser.execute(chunk) === 'number'
    } catch {
      return false
    }
  }

  /** The upstream ended the connection in order, which completes a response without a length. */
  end (): void {
    this.parser.finish()
  }
}

function rejectBadLengths (headers: readonly string[]): void {
  for (let i = 0; i + 1 < headers.length; i += 2) {
    if ((headers[i] as string).toLowerCase() !== 'content-length') continue
    if (!LENGTH.test(headers[i + 1] as string)) throw new Error('invalid content length')
  }
}

function rejectBadChunkHeads (parser: ChunkHeadState): void {
  const { consumeLine } = parser
  const readChunkHead = parser.BODY_CHUNKHEAD
  parser.BODY_CHUNKHEAD = () => {
    parser.consumeLine = () => {
      const line = consumeLine.call(parser)
      if (line !== undefined && !CHUNK_HEAD.test(line)) throw new Error('invalid chunk head')
      return line
    }
    try {
      readChunkHead.call(parser)
    } finally {
      parser.consumeLine = consumeLine
    }
  }
}
