import { createServer, type Server } from 'node:http'
import { Server as NetServer, type AddressInfo, type Socket } from 'node:net'
import type { CallerLimits } from '@cowsliplead/core/types/routes.js'
import type { Component } from '../../types/component.js'
import { listenOn } from '../../utils/listen.js'
import type { Proxy } from '../callers/proxy.js'

/** Largest head that is read; the configuration bounds what is accepted below it. */
const LARGEST_HEAD_BYTES = 256 * 1024

/** How often connections are checked against the limits on time. */
const CHECK_INTERVAL_MS = 500

/** Callers that reuse a connection just as its idle time ends must not meet its close. */
const IDLE_MARGIN_MS = 1000

/** Time in which a response that was handed to the connection reaches its caller. */
const DELIVERY_MS = 60

/** What the server is made of. */
export interface CallerServerOptions {
  readonly address: string
  readonly proxy: Proxy
  /** Limits in force; undefined until a configuration is known. */
  readonly limits: () => CallerLimits | undefined
}

/** The port for callers. Node's server is used directly: the framework's routing has nothing to route here. */
export class CallerServer implements Component {
  readonly name = 'caller server'
  private readonly server: Server
  private readonly sockets = new Set<Socket>()

  private constructor (private readonly options: CallerServerOptions) {
    const { proxy } = options
    const serverOptions = { maxHeaderSize: LARGEST_HEAD_BYTES, connectionsCheckingInterval: CHECK_INTERVAL_MS, requestTimeout: 0, noDelay: true }
    this.server = createServer(serverOptions, (request, response) => proxy.handle(request, response))
    this.server.on('connection', socket => this.track(socket))
  }

  static create (options: CallerServerOptions): CallerServer {
    return new CallerServer(options)
  }

  start (onFailure: (error: Error) => void): Promise<void> {
    return listenOn(this.server, this.options.address, onFailure)
  }

  /** Cuts what is left; a graceful stop comes before. */
  async stop (): Promise<void> {
    this.stopListening()
    for (const socket of this.sockets) socket.destroy()
  }

  /** The port that the server listens on. */
  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  /** Takes over limits of a new configuration. */
  applyLimits (): void {
    const limits = this.options.limits()
    if (limits === undefined) return
    this.server.headersTimeout = limits.headerTimeoutMs
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
  }

  /** Stops listening. Node's own `close` cuts connections whose response is written but not sent yet. */
  stopListening (): void {
    NetServer.prototype.close.call(this.server)
  }

  /**
   * Closes connections without a request at once, so that none is read that will not be answered. One whose response
   * has just left is spared: a request that arrives as it closes would reset it and take the response along.
   */
  closeIdle (): void {
    for (const socket of this.sockets) {
      if (this.options.proxy.idleMs(socket) > DELIVERY_MS && socket.writableLength === 0) socket.destroy()
    }
  }

  /** Whether every connection is closed. */
  get isClosed (): boolean {
    return this.sockets.size === 0
  }

  private track (socket: Socket): void {
    this.sockets.add(socket)
    socket.once('close', () => this.sockets.delete(socket))
  }
}
