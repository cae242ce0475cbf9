import { createServer, type Server } from 'node:http'
import { Server as NetServer, type AddressInfo, type Socket } from 'node:net'
import type { CallerLimits } from '@cowsliplead/core/types/routes.js'
import type { Component } from '../../types/component.js'
import { setHeadLimit } from '../../utils/headLimit.js'
import { listenOn } from '../../utils/listen.js'
import type { Proxy } from '../callers/proxy.js'
import { ConnectionActivity } from '../overload/connectionActivity.js'
import { ConnectionLimit } from '../overload/connectionLimit.js'
import { UnparsedBytes } from '../overload/unparsedBytes.js'

/** Read of a head beyond the configuration's limit, so that one which is somewhat too large gets a numbered refusal. */
const HEAD_MARGIN_BYTES = 4 * 1024

/** Limit of heads before the first configuration. */
const INITIAL_HEAD_BYTES = 16 * 1024

/** How often connections are checked for timeouts. */
const TIMEOUT_CHECK_INTERVAL_MS = 500

/** Added to the idle timeout, so that a caller that reuses a connection just in time does not race with its close. */
const IDLE_MARGIN_MS = 1000

/** Time within which a response that was written to the connection reaches its caller. */
const RESPONSE_DELIVERY_MS = 60

/** Options of the caller server. */
export interface CallerServerOptions {
  readonly address: string
  readonly proxy: Proxy
  readonly maxConnections: number
}

/** Accepts the requests of callers. Uses Node's HTTP server directly, as there is nothing for a framework to route. */
export class CallerServer implements Component {
  readonly name = 'caller server'
  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  private readonly activity = ConnectionActivity.create()
  private readonly limit: ConnectionLimit
  private readonly unparsed = UnparsedBytes.create(this.activity, () => this.headBytes)
  /** How much of a head is read. */
  private headBytes = INITIAL_HEAD_BYTES + HEAD_MARGIN_BYTES

  private constructor (private readonly options: CallerServerOptions) {
    const { proxy, maxConnections } = options
    const serverOptions = { maxHeaderSize: this.headBytes, connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS, requestTimeout: 0, noDelay: true }
    this.server = createServer(serverOptions, (request, response) => {
      this.activity.onRequest(request, response)
      proxy.handle(request, response)
    })
    this.limit = ConnectionLimit.create(this.server, { maximum: maxConnections, stateOf: socket => this.activity.stateOf(socket) })
    this.server.on('connection', socket => this.track(socket))
  }

  static create (options: CallerServerOptions): CallerServer {
    return new CallerServer(options)
  }

  start (onFailure: (error: Error) => void): Promise<void> {
    return listenOn(this.server, this.options.address, onFailure)
  }

  /**
   * Closes the remaining connections immediately; the daemon drains them first. Those with a pending request are reset: where
   * the close ends the body of a response, an orderly one would make the part that was sent look complete.
   */
  async stop (): Promise<void> {
    this.stopListening()
    this.unparsed.stop()
    for (const socket of this.sockets) {
      if (this.options.proxy.idleMs(socket) === 0) socket.resetAndDestroy()
      else socket.destroy()
    }
  }

  /** Port that the server listens on. */
  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  get isListening (): boolean {
    return this.server.listening
  }

  /** Applies the limits of a new configuration. */
  applyLimits (limits: CallerLimits): void {
    this.headBytes = limits.maxHeaderBytes + HEAD_MARGIN_BYTES
    setHeadLimit(this.server, this.headBytes)
    this.server.headersTimeout = limits.headerTimeoutMs
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
  }

  /** Stops listening. Avoids Node's HTTP `close`, which cuts connections whose response is written but not sent yet. */
  stopListening (): void {
    NetServer.prototype.close.call(this.server)
  }

  /**
   * Closes connections without a pending request, so that no request is read that will not be answered. Spares
   * connections that have just sent a response: a request that arrives during the close would reset the connection, and
   * the response would be lost.
   */
  closeIdleConnections (): void {
    for (const socket of this.sockets) {
      if (this.options.proxy.idleMs(socket) > RESPONSE_DELIVERY_MS && socket.writableLength === 0) socket.destroy()
    }
  }

  /** Connections closed since the start because there were too many, or more came on them than the head of a request. */
  get closedConnections (): number {
    return this.limit.closed + this.unparsed.closed
  }

  /** Whether all connections are closed. */
  get isClosed (): boolean {
    return this.sockets.size === 0
  }

  private track (socket: Socket): void {
    this.sockets.add(socket)
    this.activity.add(socket)
    this.unparsed.watch()
    socket.once('close', () => this.sockets.delete(socket))
  }
}
