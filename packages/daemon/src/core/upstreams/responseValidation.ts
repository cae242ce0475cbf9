import { validateHeaderName, validateHeaderValue } from 'node:http'

const MIN_STATUS = 100
const SWITCHING_PROTOCOLS = 101
const MAX_STATUS = 599

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
export interface ParserInternals {
  BODY_CHUNKHEAD (): void
  consumeLine (): string | undefined
  parseHeader (line: string, headers: string[]): void
  /** Position in the bytes being parsed, and their end. */
  readonly offset: number
  readonly end: number
}

/** Why bytes are not a valid response. `syntax`: the parser cannot read them; `headTooLong`: what precedes or follows a body has no end. */
export type InvalidReason = 'status' | 'statusLineWithin' | 'headerLine' | 'header' | 'framing' | 'chunkSize' | 'syntax' | 'headTooLong' | 'internal'

/** A response that violates HTTP, or that is not passed on for another reason. */
export class InvalidResponse extends Error {
  private constructor (readonly reason: InvalidReason, message: string, options?: ErrorOptions) {
    super(message, options)
  }

  static create (reason: InvalidReason, message: string, options?: ErrorOptions): InvalidResponse {
    return new InvalidResponse(reason, message, options)
  }
}

/** Throws if a head cannot be passed on to a caller, or leaves the end of its body uncertain. */
export function validateHead (status: number, reason: string, headers: readonly string[]): void {
  validateStatusLine(status, reason)
  validateHeaders(headers)
  validateFraming(headers)
}

/** Has a parser refuse invalid header lines and chunk sizes, which it otherwise reads over. */
export function addLineValidation (parser: ParserInternals): void {
  addHeaderLineValidation(parser)
  addChunkSizeValidation(parser)
}

function validateStatusLine (status: number, reason: string): void {
  if (status < MIN_STATUS || status > MAX_STATUS || status === SWITCHING_PROTOCOLS) throw InvalidResponse.create('status', `invalid status ${status}`)
  if (STATUS_LINE_WITHIN.test(reason)) throw InvalidResponse.create('statusLineWithin', 'a status line within a status line')
}

/** A head that Node refuses to write could not be passed on to the caller. */
function validateHeaders (headers: readonly string[]): void {
  try {
    for (let i = 0; i + 1 < headers.length; i += 2) {
      validateHeaderName(headers[i] as string)
      validateHeaderValue(headers[i] as string, headers[i + 1] as string)
      if (STATUS_LINE_WITHIN.test(headers[i + 1] as string)) throw InvalidResponse.create('statusLineWithin', 'a status line within a header')
    }
  } catch (error) {
    throw error instanceof InvalidResponse ? error : InvalidResponse.create('header', 'invalid header', { cause: error })
  }
}

/** Only a response whose end is stated at most once, by a length or by chunks, has a certain end (RFC 9112 section 6.3). */
function validateFraming (headers: readonly string[]): void {
  const framings: string[] = []
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = (headers[i] as string).toLowerCase()
    const value = headers[i + 1] as string
    if (name === 'content-length' && !LENGTH.test(value)) throw InvalidResponse.create('framing', 'invalid content length')
    if (name === 'transfer-encoding' && value.toLowerCase() !== 'chunked') throw InvalidResponse.create('framing', 'unknown transfer encoding')
    if (name === 'content-length' || name === 'transfer-encoding') framings.push(name)
  }
  if (framings.length > 1) throw InvalidResponse.create('framing', `several framings: ${framings.join()}`)
}

function addHeaderLineValidation (parser: ParserInternals): void {
  const { parseHeader } = parser
  parser.parseHeader = (line, headers) => {
    const isContinuation = headers.length > 0 && CONTINUATION_LINE.test(line)
    if (!HEADER_LINE.test(line) && !isContinuation) throw InvalidResponse.create('headerLine', 'invalid header line')
    parseHeader.call(parser, line, headers)
  }
}

function addChunkSizeValidation (parser: ParserInternals): void {
  const { consumeLine } = parser
  const readChunkHead = parser.BODY_CHUNKHEAD
  parser.BODY_CHUNKHEAD = () => {
    parser.consumeLine = () => {
      const line = consumeLine.call(parser)
      if (line !== undefined && !CHUNK_HEAD.test(line)) throw InvalidResponse.create('chunkSize', 'invalid chunk size line')
      return line
    }
    try {
      readChunkHead.call(parser)
    } finally {
      parser.consumeLine = consumeLine
    }
  }
}
