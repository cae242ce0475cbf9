import { randomBytes } from 'node:crypto'

/** Longer caller ids are replaced instead of extended. */
const MAX_CALLER_ID_LENGTH = 128

/** Generates ids of requests, unique across VMs and restarts, and of calls, unique within the process. */
export class RequestIds {
  private count = 0

  private constructor (private readonly prefix: string) {}

  /** The random part of the prefix distinguishes the ids from those issued before a restart. */
  static create (vmId: string): RequestIds {
    return new RequestIds(`${vmId}-${randomBytes(6).toString('hex')}`)
  }

  nextCallId (): number {
    return ++this.count
  }

  /** Generates the id of a caller's request. It starts with the caller's id, which need not be unique by itself. */
  next (callerId: string | undefined): string {
    const own = `${this.prefix}-${(++this.count).toString(36)}`
    if (callerId === undefined || callerId === '' || callerId.length > MAX_CALLER_ID_LENGTH) return own
    return `${callerId}~${own}`
  }
}
