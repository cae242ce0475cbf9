import { randomBytes } from 'node:crypto'

/** Longer ids of callers are replaced, not extended. */
const LONGEST_CALLER_ID = 128

/** Ids of requests and calls, unique across VMs and restarts. */
export class RequestIds {
  private count = 0

  private constructor (private readonly prefix: string) {}

  /** Ids of a new incarnation of the VM. */
  static create (vmId: string): RequestIds {
    return new RequestIds(`${vmId}-${randomBytes(6).toString('hex')}`)
  }

  nextCallId (): number {
    return ++this.count
  }

  /** An id for a caller's request. It starts with the caller's own id, which alone need not be unique. */
  next (callerId: string | undefined): string {
    const own = `${this.prefix}-${(++this.count).toString(36)}`
    if (callerId === undefined || callerId === '' || callerId.length > LONGEST_CALLER_ID) return own
    return `${callerId}~${own}`
  }
}
