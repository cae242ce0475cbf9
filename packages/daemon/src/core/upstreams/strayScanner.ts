/** How every status line begins. */
const STATUS_LINE_START = 'HTTP/1.'

/** Bytes of a head within which its id is expected. */
const HEAD_WINDOW_BYTES = 4096

/**
 * Finds the head of a response to an earlier request within a body: a late copy that an upstream writes between two parts of
 * another response would otherwise count as a part of its body.
 */
export class StrayScanner {
  /** The end of the bytes before, in which such a head may have begun. */
  private tail: Buffer = Buffer.alloc(0)

  private constructor (private readonly earlierIds: readonly string[]) {}

  /** `earlierIds` are those of the requests that the connection has carried before. */
  static create (earlierIds: readonly string[]): StrayScanner {
    return new StrayScanner(earlierIds)
  }

  /** Whether the body, up to and with this chunk, contains such a head. */
  finds (chunk: Buffer): boolean {
    if (this.earlierIds.length === 0) return false
    const bytes = this.tail.length === 0 ? chunk : Buffer.concat([this.tail, chunk])
    const first = bytes.indexOf(STATUS_LINE_START)
    this.tail = bytes.subarray(first < 0 ? -(STATUS_LINE_START.length - 1) : -HEAD_WINDOW_BYTES)
    return first >= 0 && this.earlierIds.some(id => isInHead(bytes, id, first))
  }
}

function isInHead (bytes: Buffer, id: string, first: number): boolean {
  const position = bytes.indexOf(id, first, 'latin1')
  return position >= 0 && position - bytes.lastIndexOf(STATUS_LINE_START, position) < HEAD_WINDOW_BYTES
}
