import { Agent, request } from 'undici'
import type { LeasePort } from '@cowsliplead/core/core/quotas/leaseAccount.js'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { FleetMember } from '@cowsliplead/core/types/fleetMember.js'
import type { LeaseAnswer, LeaseRequest, LeaseResult } from '@cowsliplead/core/types/quota.js'
import { parseJson } from '@cowsliplead/core/utils/parseJson.js'
import { PEER_PURPOSE_HEADER } from '../../utils/headers.js'
import { LEASE_ANSWERS, MAX_CUSTOMERS, MAX_MESSAGE_BYTES } from './leaseMessages.js'

/** Time after which a holder counts as unreachable: callers wait for it, and event loops of busy VMs lag by tens of ms. */
const ANSWER_TIMEOUT_MS: Milliseconds = 60

/** Time limit of the exchange. Tokens of an answer later than that have expired. */
const EXCHANGE_TIMEOUT_MS: Milliseconds = 300

/** Connections to one holder. */
const CONNECTIONS = 4

interface PendingLease {
  readonly request: LeaseRequest
  readonly done: (result: LeaseResult) => void
}

/** Options of the client. */
export interface LeaseClientOptions {
  readonly vmId: string
  /** Answers requests for tokens of which this VM is a holder itself. */
  readonly grantLocally: (request: LeaseRequest) => LeaseAnswer
  readonly onError: (error: Error) => void
}

/** Asks holders for tokens. The requests for several customers that come up at the same time are sent in one message. */
export class LeaseClient implements LeasePort {
  private readonly agent = new Agent({
    connections: CONNECTIONS, pipelining: 1, connect: { timeout: EXCHANGE_TIMEOUT_MS }, maxResponseSize: MAX_MESSAGE_BYTES
  })

  private readonly pendingByAddress = new Map<string, PendingLease[]>()

  private constructor (private readonly options: LeaseClientOptions) {}

  static create (options: LeaseClientOptions): LeaseClient {
    return new LeaseClient(options)
  }

  requestLease ({ vmId, peerAddress }: FleetMember, leaseRequest: LeaseRequest, done: (result: LeaseResult) => void): void {
    if (vmId === this.options.vmId) return done(this.options.grantLocally(leaseRequest))
    if (peerAddress === undefined) return done({ kind: 'unreachable' })
    const pending = this.pendingByAddress.get(peerAddress)
    if (pending !== undefined && pending.length < MAX_CUSTOMERS) return void pending.push({ request: leaseRequest, done })
    const batch = [{ request: leaseRequest, done }]
    this.pendingByAddress.set(peerAddress, batch)
    setImmediate(() => {
      if (this.pendingByAddress.get(peerAddress) === batch) this.pendingByAddress.delete(peerAddress)
      void this.send(peerAddress, batch)
    })
  }

  /** Closes all connections. */
  close (): void {
    void this.agent.destroy().catch(this.options.onError)
  }

  private async send (address: string, batch: readonly PendingLease[]): Promise<void> {
    let isLate = false
    const timer = setTimeout(() => {
      isLate = true
      this.complete(batch, undefined)
    }, ANSWER_TIMEOUT_MS)
    const answers = await this.exchange(address, batch).catch(() => undefined)
    clearTimeout(timer)
    if (!isLate || answers !== undefined) this.complete(batch, answers)
  }

  /** Returns undefined if the answer cannot be used. */
  private async exchange (address: string, batch: readonly PendingLease[]): Promise<readonly LeaseAnswer[] | undefined> {
    const { statusCode, body } = await request(`http://${address}/`, {
      method: 'POST',
      headers: { [PEER_PURPOSE_HEADER]: 'quota', 'content-type': 'application/json' },
      body: JSON.stringify({ vmId: this.options.vmId, leases: batch.map(({ request: { customer, tokens } }) => ({ customer, tokens })) }),
      dispatcher: this.agent,
      signal: AbortSignal.timeout(EXCHANGE_TIMEOUT_MS)
    })
    const text = await body.text()
    if (statusCode !== 200) return undefined
    const answers = LEASE_ANSWERS.safeParse(parseJson(text)).data?.answers
    return answers?.length === batch.length ? answers : undefined
  }

  /** An exception in one call must not end the process. */
  private complete (batch: readonly PendingLease[], answers: readonly LeaseAnswer[] | undefined): void {
    batch.forEach(({ done }, index) => {
      try {
        done(answers?.[index] ?? { kind: 'unreachable' })
      } catch (error) {
        this.options.onError(error as Error)
      }
    })
  }
}
