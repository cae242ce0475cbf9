import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Component } from '../../types/component.js'
import { closeAtOnce, listenOn } from '../../utils/listen.js'

/** What the balancer's question is answered by. */
export interface ReadinessServerOptions {
  readonly address: string
  readonly path: string
  readonly unreadyReasons: () => readonly string[]
}

/** Answers the balancer's question whether this VM takes new connections. */
export class ReadinessServer implements Component {
  readonly name = 'readiness server'
  private readonly server: Server

  private constructor (private readonly options: ReadinessServerOptions) {
    const { path, unreadyReasons } = options
    this.server = createServer((request, response) => {
      if (request.url !== path) return void response.writeHead(404).end()
      const reasons = unreadyReasons()
      response.writeHead(reasons.length === 0 ? 200 : 503, { 'content-type': 'application/json' })
      response.end(JSON.stringify({ ready: reasons.length === 0, reasons }))
    })
  }

  static create (options: ReadinessServerOptions): ReadinessServer {
    return new ReadinessServer(options)
  }

  /** The port that the server listens on. */
  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  start (onFailure: (error: Error) => void): Promise<void> {
    return listenOn(this.server, this.options.address, onFailure)
  }

  async stop (): Promise<void> {
    closeAtOnce(this.server)
  }
}
