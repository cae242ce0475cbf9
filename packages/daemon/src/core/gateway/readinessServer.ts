import { createServer, type Server } from 'node:http'
import { closeAtOnce, listenOn } from '../../utils/listen.js'

/** Answers the balancer's question whether this VM takes new connections. */
export class ReadinessServer {
  private readonly server: Server

  private constructor (path: string, unreadyReasons: () => readonly string[]) {
    this.server = createServer((request, response) => {
      if (request.url !== path) return void response.writeHead(404).end()
      const reasons = unreadyReasons()
      response.writeHead(reasons.length === 0 ? 200 : 503, { 'content-type': 'application/json' })
      response.end(JSON.stringify({ ready: reasons.length === 0, reasons }))
    })
  }

  static create (path: string, unreadyReasons: () => readonly string[]): ReadinessServer {
    return new ReadinessServer(path, unreadyReasons)
  }

  listen (address: string): Promise<void> {
    return listenOn(this.server, address)
  }

  close (): void {
    closeAtOnce(this.server)
  }
}
