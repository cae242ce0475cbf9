import type { Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Component } from '../../types/component.js'
import type { DaemonStatus } from '../../types/daemonStatus.js'
import { closeImmediately, listenOn } from '../../utils/listen.js'
import { createPlainServer } from '../../utils/plainServer.js'
import type { Metrics } from '../operators/metrics.js'

/** Options of the admin server. */
export interface AdminServerOptions {
  readonly address: string
  readonly maxConnections: number
  readonly metrics: Metrics
  readonly status: () => DaemonStatus
  /** Complete state of the daemon. */
  readonly dump: () => unknown
}

/** Serves metrics, the status and a dump of the daemon's state. Read-only and without authentication. */
export class AdminServer implements Component {
  readonly name = 'admin server'
  private readonly server: Server

  private constructor (private readonly options: AdminServerOptions) {
    const { status, dump } = options
    this.server = createPlainServer(options.maxConnections, (request, response) => {
      if (request.url === '/metrics') this.sendMetrics(response).catch((error: Error) => sendFailure(response, error))
      else if (request.url === '/status') sendJson(response, status())
      else if (request.url === '/dump') sendJson(response, dump())
      else response.writeHead(404).end()
    })
  }

  static create (options: AdminServerOptions): AdminServer {
    return new AdminServer(options)
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

  private async sendMetrics (response: ServerResponse): Promise<void> {
    const { text, contentType } = await this.options.metrics.render()
    response.writeHead(200, { 'content-type': contentType })
    response.end(text)
  }
}

/** A metric that cannot be read fails its request; as an unhandled rejection it would end the process. */
function sendFailure (response: ServerResponse, error: Error): void {
  response.writeHead(500, { 'content-type': 'text/plain' })
  response.end(`${error.message}\n`)
}

function sendJson (response: ServerResponse, value: unknown): void {
  response.writeHead(200, { 'content-type': 'application/json' })
  response.end(JSON.stringify(value))
}
