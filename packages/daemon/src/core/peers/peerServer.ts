import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Component } from '../../types/component.js'
import { splitAddress } from '../../utils/address.js'
import { dropRest } from '../../utils/dropRest.js'
import { PEER_PURPOSE_HEADER } from '../../utils/headers.js'
import { closeImmediately, listenOn } from '../../utils/listen.js'

/** What a VM asks of another one. */
export type PeerPurpose = 'quota' | 'handover'

/** Handles the requests of one purpose; must end the response. */
export type PeerHandler = (request: IncomingMessage, response: ServerResponse) => void

/** Options of the peer server. */
export interface PeerServerOptions {
  /** IP address and port to listen on. */
  readonly address: string
  readonly handlers: Partial<Record<PeerPurpose, PeerHandler>>
  readonly onError: (error: Error) => void
}

/** Callers' requests that are handed over may have heads of this size, as at the caller server. */
const MAX_HEAD_BYTES = 260 * 1024

/** Takes the requests of the other entry VMs. Callers do not know its address. */
export class PeerServer implements Component {
  readonly name = 'peer server'
  private readonly server: Server

  private constructor (private readonly options: PeerServerOptions) {
    this.server = createServer({ maxHeaderSize: MAX_HEAD_BYTES, requestTimeout: 0 }, (request, response) => this.handle(request, response))
  }

  static create (options: PeerServerOptions): PeerServer {
    return new PeerServer(options)
  }

  /** Address of the server, with the bound port once it listens. */
  get address (): string {
    const bound = this.server.address() as AddressInfo | null
    const { host } = splitAddress(this.options.address)
    return bound === null ? this.options.address : `${host}:${bound.port}`
  }

  start (onFailure: (error: Error) => void): Promise<void> {
    return listenOn(this.server, this.options.address, onFailure)
  }

  async stop (): Promise<void> {
    closeImmediately(this.server)
  }

  /** An exception in one request must not end the process. */
  private handle (request: IncomingMessage, response: ServerResponse): void {
    const handler = this.options.handlers[request.headers[PEER_PURPOSE_HEADER] as PeerPurpose]
    if (handler === undefined) {
      dropRest(request, response)
      return void response.writeHead(404).end()
    }
    try {
      handler(request, response)
    } catch (error) {
      this.options.onError(error as Error)
      response.destroy()
    }
  }
}
