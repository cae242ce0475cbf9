import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { AppRouter } from '../../types/appRouter.js'
import { SHARED_KEY_HEADER } from '../../utils/sharedKey.js'
import { timeoutSignal } from '../../utils/timeoutSignal.js'

/** Typed client of one daemon's private port. */
export type PeerClient = TRPCClient<AppRouter>

/** Clients of peers by private address. */
export class PeerClients {
  private readonly clients = new Map<string, PeerClient>()

  private constructor (private readonly sharedKey: string) {}

  static create (sharedKey: string): PeerClients {
    return new PeerClients(sharedKey)
  }

  /** The client for a private address, `host:port`. */
  at (privateAddress: string): PeerClient {
    const known = this.clients.get(privateAddress)
    if (known !== undefined) return known
    const client = createPeerClient(privateAddress, this.sharedKey)
    this.clients.set(privateAddress, client)
    return client
  }
}

/** Sends requests to peers by VM id; a peer that does not answer is ordinary, so it is counted and not raised. */
export class PeerCaller {
  failures = 0
  lastFailure = ''

  private constructor (private readonly clients: PeerClients, private readonly addressOf: (vmId: string) => string | undefined) {}

  static create (clients: PeerClients, addressOf: (vmId: string) => string | undefined): PeerCaller {
    return new PeerCaller(clients, addressOf)
  }

  /** The peer's answer; undefined where there is none in time. */
  async ask<Answer> (vmId: string, timeoutMs: Milliseconds, send: (client: PeerClient, signal: AbortSignal) => Promise<Answer>): Promise<Answer | undefined> {
    const address = this.addressOf(vmId)
    if (address === undefined) return undefined
    try {
      return await send(this.clients.at(address), timeoutSignal(timeoutMs))
    } catch (error) {
      this.failures++
      this.lastFailure = `${vmId}: ${(error as Error).message}`
      return undefined
    }
  }
}

/** A client of the private port at `host:port`. */
export function createPeerClient (privateAddress: string, sharedKey: string): PeerClient {
  const url = `http://${privateAddress}/trpc`
  return createTRPCClient<AppRouter>({ links: [httpLink({ url, headers: { [SHARED_KEY_HEADER]: sharedKey } })] })
}
