import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { ConnectionActivity } from './connectionActivity.js'

/** How often connections without a request are checked while there is one that has not had any yet, and otherwise. */
const NEW_CHECK_INTERVAL_MS: Milliseconds = 100
const CHECK_INTERVAL_MS: Milliseconds = 500

/** What one read of a socket may bring beyond the head of a request. */
const READ_BYTES = 64 * 1024

/**
 * Closes connections on which more bytes have come than the head of a request has, and no request: the parser skips empty lines
 * before a request, however many there are.
 */
export class UnparsedBytes {
  /** Connections closed since the start. */
  closed = 0
  private timer: NodeJS.Timeout | undefined

  private constructor (private readonly activity: ConnectionActivity, private readonly maxHeadBytes: () => number) {}

  static create (activity: ConnectionActivity, maxHeadBytes: () => number): UnparsedBytes {
    return new UnparsedBytes(activity, maxHeadBytes)
  }

  /** Checks the connections, of which one is new, until all are closed. */
  watch (): void {
    this.schedule(NEW_CHECK_INTERVAL_MS)
  }

  stop (): void {
    clearTimeout(this.timer)
  }

  private schedule (delayMs: Milliseconds): void {
    clearTimeout(this.timer)
    this.timer = setTimeout(() => this.check(), delayMs)
    this.timer.unref()
  }

  private check (): void {
    const maximum = this.maxHeadBytes() + READ_BYTES
    let [hasAny, hasNew] = [false, false]
    for (const socket of this.activity.sockets) {
      hasAny = true
      if (this.activity.stateOf(socket) === 'new') hasNew = true
      if (this.activity.unparsedBytes(socket) <= maximum) continue
      this.closed += 1
      socket.destroy()
    }
    if (hasAny) this.schedule(hasNew ? NEW_CHECK_INTERVAL_MS : CHECK_INTERVAL_MS)
  }
}
