import { createServer, type Server, type ServerResponse } from 'node:http'
import { closeAtOnce, listenOn } from '../../utils/listen.js'
import type { Metrics } from '../operators/metrics.js'

/** Serves the metrics and a dump of the process's state. */
export class AdminServer {
  private readonly server: Server

  private constructor (private readonly metrics: Metrics, private readonly dump: () => unknown) {
    this.server = createServer((request, response) => {
      if (request.url === '/metrics') void this.sendMetrics(response)
      else if (request.url === '/dump') sendJson(response, this.dump())
      else response.writeHead(404).end()
    })
  }

  static create (metrics: Metrics, dump: () => unknown): AdminServer {
    return new AdminServer(metrics, dump)
  }

  listen (address: string): Promise<void> {
    return listenOn(this.server, address)
  }

  close (): void {
    closeAtOnce(this.server)
  }

  private async sendMetrics (response: ServerResponse): Promise<void> {
    const { text, contentType } = await this.metrics.render()
    response.writeHead(200, { 'content-type': contentType })
    response.end(text)
  }
}

function sendJson (response: ServerResponse, value: unknown): void {
  response.writeHead(200, { 'content-type': 'application/json' })
  response.end(JSON.stringify(value))
}
