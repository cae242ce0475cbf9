import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { CallerLimits } from '@cowsliplead/core/types/routes.js'
import type { Component } from '../../types/component.js'
import { ConnectionActivity } from '../overload/connectionActivity.js'
import { ConnectionLimit } from '../overload/connectionLimit.js'
import { splitAddress } from '../../utils/address.js'
import { dropRest } from '../../utils/dropRest.js'
import { setHeadLimit } from '../../utils/headLimit.js'
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
  readonly maxConnections: number
  readonly handlers: Partial<Record<PeerPurpose, PeerHandler>>
  readonly onError: (error: Error) => void
}

/** What the head of a request that is handed over has beyond the configuration's limit for callers: the headers between VMs. */
const HEAD_MARGIN_BYTES = 8 * 1024

/** Limit of callers' heads before the first configuration. */
const INITIAL_HEAD_BYTES = 16 * 1024

/** Takes the requests of the other entry VMs. Callers do not know its address. */
export class PeerServer implements Component {
  readonly name = 'peer server'
  private readonly server: Server
  private readonly activity = ConnectionActivity.create()

  private constructor (private readonly options: PeerServerOptions) {
    this.server = createServer({ maxHeaderSize: INITIAL_HEAD_BYTES + HEAD_MARGIN_BYTES, requestTimeout: 0 }, (request, response) => this.handle(request, response))
    this.server.on('connection', socket => this.activity.add(socket))
    ConnectionLimit.create(this.server, { maximum: options.maxConnections, stateOf: socket => this.activity.stateOf(socket) })
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

  /** Applies the limits of a new configuration. */
  applyLimits ({ maxHeaderBytes, headerTimeoutMs }: CallerLimits): void {
    setHeadLimit(this.server, maxHeaderBytes + HEAD_MARGIN_BYTES)
    this.server.headersTimeout = headerTimeoutMs
  }

  async stop (): Promise<void> {
    closeImmediately(this.server)
  }

  /** An exception in one request must not end the process. */
  private handle (request: IncomingMessage, response: ServerResponse): void {
    this.activity.onRequest(request, response)
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
