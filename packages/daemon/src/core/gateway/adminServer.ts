import { createServer, type Server, type ServerResponse } from 'node:http'
import { splitAddress } from '../../utils/address.js'
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

  async listen (address: string): Promise<void> {
    const { host, port } = splitAddress(address)
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen({ host, port }, resolve)
    })
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
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
