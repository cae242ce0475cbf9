/** Longest response that is held for a caller that pipelines. */
const MAX_RESPONSE_BYTES = 1024 * 1024

/** All responses that are held for one connection. */
const MAX_CONNECTION_BYTES = 4 * 1024 * 1024

/** All responses that are held by the process. */
const MAX_PROCESS_BYTES = 32 * 1024 * 1024

/** Limits the bytes of responses that are held in memory until they are complete or may be sent. */
export class HeldBytes {
  private total = 0

  private constructor (private readonly maximum: number, private readonly parent: HeldBytes | undefined) {}

  static createForProcess (): HeldBytes {
    return new HeldBytes(MAX_PROCESS_BYTES, undefined)
  }

  static createForConnection (parent: HeldBytes): HeldBytes {
    return new HeldBytes(MAX_CONNECTION_BYTES, parent)
  }

  /** Makes room for a response that had `current` bytes of it and now needs `needed`. Returns whether there is room. */
  tryGrow (current: number, needed: number): boolean {
    const total = this.total - current + needed
    if (needed > MAX_RESPONSE_BYTES || total > this.maximum) return false
    if (this.parent?.tryGrow(current, needed) === false) return false
    this.total = total
    return true
  }

  release (bytes: number): void {
    this.total -= bytes
    this.parent?.release(bytes)
  }
}
