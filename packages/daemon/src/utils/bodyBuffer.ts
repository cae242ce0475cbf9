/** Smallest capacity of a buffer that chunks are copied to. */
const MIN_CAPACITY_BYTES = 4 * 1024

/** How many times its length the memory of a chunk may be that is kept as it is. */
const MAX_WASTE_FACTOR = 4

const EMPTY = Buffer.alloc(0)

/**
 * Collects the chunks of a body. They are copied together, because a chunk may be one byte long: kept one by one, such chunks
 * would take a hundred times their length, and each could hold the bytes among which it arrived.
 */
export class BodyBuffer {
  private content: Buffer = EMPTY
  private size = 0

  private constructor () {}

  static create (): BodyBuffer {
    return new BodyBuffer()
  }

  /** Number of bytes collected. */
  get length (): number {
    return this.size
  }

  /** Bytes of memory that are held for what was collected. */
  get capacity (): number {
    return this.content.length
  }

  append (chunk: Buffer): void {
    // Most short bodies have one chunk. It is kept as it is, unless it is a small part of what one read of the socket has filled.
    if (this.size === 0 && chunk.buffer.byteLength <= MAX_WASTE_FACTOR * chunk.length) this.content = chunk
    else this.copyIn(chunk)
    this.size += chunk.length
  }

  /** Returns what was collected as at most one chunk, and starts anew. */
  take (): Buffer[] {
    const taken = this.content.subarray(0, this.size)
    this.content = EMPTY
    this.size = 0
    return taken.length === 0 ? [] : [taken]
  }

  private copyIn (chunk: Buffer): void {
    const needed = this.size + chunk.length
    if (needed > this.content.length) this.grow(needed)
    chunk.copy(this.content, this.size)
  }

  private grow (needed: number): void {
    const grown = Buffer.allocUnsafeSlow(Math.max(2 * needed, MIN_CAPACITY_BYTES))
    this.content.copy(grown, 0, 0, this.size)
    this.content = grown
  }
}
