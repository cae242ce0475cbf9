import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Component } from '../../types/component.js'
import { closeImmediately, listenOn } from '../../utils/listen.js'
import { createPlainServer } from '../../utils/plainServer.js'

/** Options of the readiness server. */
export interface ReadinessServerOptions {
  readonly address: string
  readonly maxConnections: number
  readonly path: string
  /** Why the daemon is not ready; empty when it is. */
  readonly unreadyReasons: () => readonly string[]
}

/** Reports to the load balancer in front of the entry VMs whether this VM accepts new connections. */
export class ReadinessServer implements Component {
  readonly name = 'readiness server'
  private readonly server: Server

  private constructor (private readonly options: ReadinessServerOptions) {
    const { path, unreadyReasons } = options
    this.server = createPlainServer(options.maxConnections, (request, response) => {
      if (request.url !== path) return void response.writeHead(404).end()
      const reasons = unreadyReasons()
      response.writeHead(reasons.length === 0 ? 200 : 503, { 'content-type': 'application/json' })
      response.end(JSON.stringify({ ready: reasons.length === 0, reasons }))
    })
  }

  static create (options: ReadinessServerOptions): ReadinessServer {
    return new ReadinessServer(options)
  }

  /** Port that the server listens on. */
  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  start (onFailure: (error: Error) => void): Promise<void> {
    return listenOn(this.server, this.options.address, onFailure)
  }

  async stop (): Promise<void> {
    closeImmediately(this.server)
  }
}
