import { validateHeaderName, validateHeaderValue } from 'node:http'
import { HTTPParser } from 'http-parser-js'

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

const MIN_STATUS = 100
const SWITCHING_PROTOCOLS = 101
const MAX_STATUS = 599

// Callers get header values byte for byte, whatever encoding the upstream uses.
HTTPParser.encoding = 'latin1'

/** A header line begins with a token (RFC 9110 section 5.6.2). */
const HEADER_LINE = /^[\w!#$%&'*+.^`|~-]+:/
const CONTINUATION_LINE = /^[ \t]/

/** The beginning of another response within a line: what came before was only the beginning of a stray one. */
const STATUS_LINE_WITHIN = /HTTP\/1\.[01] \d{3}/

const CHUNK_HEAD = /^[0-9a-f]{1,8}[ \t]*(;.*)?$/i
const LENGTH = /^\d{1,15}$/

/**
 * Internals of `HTTPParser`. It treats any chunk-size line that is not a number as the end of the body, and skips lines of
 * a head that are no header lines.
 */
interface ParserInternals {
  BODY_CHUNKHEAD (): void
  consumeLine (): string | undefined
  parseHeader (line: string, headers: string[]): void
  /** Position in the bytes being parsed, and their end. */
  readonly offset: number
  readonly end: number
}

/** A response that violates HTTP, or that is not passed on for another reason. */
class InvalidResponse extends Error {}

/** Parses the responses on one connection. Interim responses (1xx) are dropped. */
export class ResponseParser {
  private readonly parser = new HTTPParser('RESPONSE')
  private isInterim = false
  /** Bytes since the last byte of a body or the last complete response. */
  private framingBytes = 0

  private constructor (events: ParserEvents, isHead: () => boolean) {
    const { parser } = this
    const internals = parser as unknown as ParserInternals
    addChunkSizeValidation(internals)
    addHeaderLineValidation(internals)
    parser[HTTPParser.kOnHeadersComplete] = info => {
      validateStatusLine(info.statusCode, info.statusMessage)
      validateHeaders(info.headers)
      validateFraming(info.headers)
      this.isInterim = info.statusCode < 200
      if (this.isInterim) return 0
      events.onHead({ status: info.statusCode, rawHeaders: info.headers, keepsConnection: info.shouldKeepAlive })
      return isHead() ? 1 : 0
    }
    parser[HTTPParser.kOnBody] = (chunk, offset, length) => {
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
    try {
      return typeof this.parser.execute(chunk) === 'number' && this.framingBytes <= MAX_FRAMING_BYTES
    } catch (error) {
      if (error instanceof InvalidResponse) return false
      throw error
    }
  }

  /** Signals an orderly end of the connection, which completes a response without a length. */
  end (): void {
    this.parser.finish()
  }
}

function validateStatusLine (status: number, reason: string): void {
  if (status < MIN_STATUS || status > MAX_STATUS || status === SWITCHING_PROTOCOLS) throw new InvalidResponse(`invalid status ${status}`)
  if (STATUS_LINE_WITHIN.test(reason)) throw new InvalidResponse('a status line within a status line')
}

/** A head that Node refuses to write could not be passed on to the caller. */
function validateHeaders (headers: readonly string[]): void {
  try {
    for (let i = 0; i + 1 < headers.length; i += 2) {
      validateHeaderName(headers[i] as string)
      validateHeaderValue(headers[i] as string, headers[i + 1] as string)
      if (STATUS_LINE_WITHIN.test(headers[i + 1] as string)) throw new Error('a status line within a header')
    }
  } catch (error) {
    throw new InvalidResponse('invalid header', { cause: error })
  }
}

/** Only a response whose end is stated at most once, by a length or by chunks, has a certain end (RFC 9112 section 6.3). */
function validateFraming (headers: readonly string[]): void {
  const framings: string[] = []
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = (headers[i] as string).toLowerCase()
    const value = headers[i + 1] as string
    if (name === 'content-length' && !LENGTH.test(value)) throw new InvalidResponse('invalid content length')
    if (name === 'transfer-encoding' && value.toLowerCase() !== 'chunked') throw new InvalidResponse('unknown transfer encoding')
    if (name === 'content-length' || name === 'transfer-encoding') framings.push(name)
  }
  if (framings.length > 1) throw new InvalidResponse(`several framings: ${framings.join()}`)
}

function addHeaderLineValidation (parser: ParserInternals): void {
  const { parseHeader } = parser
  parser.parseHeader = (line, headers) => {
    const isContinuation = headers.length > 0 && CONTINUATION_LINE.test(line)
    if (!HEADER_LINE.test(line) && !isContinuation) throw new InvalidResponse('invalid header line')
    parseHeader.call(parser, line, headers)
  }
}

function addChunkSizeValidation (parser: ParserInternals): void {
  const { consumeLine } = parser
  const readChunkHead = parser.BODY_CHUNKHEAD
  parser.BODY_CHUNKHEAD = () => {
    parser.consumeLine = () => {
      const line = consumeLine.call(parser)
      if (line !== undefined && !CHUNK_HEAD.test(line)) throw new InvalidResponse('invalid chunk size line')
      return line
    }
    try {
      readChunkHead.call(parser)
    } finally {
      parser.consumeLine = consumeLine
    }
  }
}
