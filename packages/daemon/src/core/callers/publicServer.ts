import type { AddressInfo } from 'node:net'
import fastify, { type FastifyInstance } from 'fastify'
import type { Component } from '../../types/component.js'
import { splitAddress } from '../../utils/address.js'
import type { Proxy } from './proxy.js'

/** What keeps the daemon from being ready; empty when it is ready. */
export type Readiness = () => readonly string[]

/** The port for callers: the proxy, and the two health endpoints. */
export class PublicServer implements Component {
  readonly name = 'publicServer'
  private server: FastifyInstance | undefined

  private constructor (
    private readonly address: string,
    private readonly proxy: Proxy,
    private readonly readiness: Readiness
  ) {}

  static create (address: string, proxy: Proxy, readiness: Readiness): PublicServer {
    return new PublicServer(address, proxy, readiness)
  }

  async start (onFailure: (error: Error) => void): Promise<void> {
    const server = fastify({
      logger: false,
      // Calls on connections that are still open are served until the end.
      return503OnClosing: false,
      forceCloseConnections: false,
      routerOptions: { ignoreTrailingSlash: false, maxParamLength: 65_536 }
    })
    this.addHealth(server)
    this.addProxy(server)
    this.server = server
    await server.listen(splitAddress(this.address))
    server.server.once('error', onFailure)
  }

  /** The port that the server listens on. */
  get port (): number {
    return (this.server?.server.address() as AddressInfo).port
  }

  /** Stops listening; open connections are served until they end. */
  stopAccepting (): void {
    this.server?.close().catch(() => {})
  }

  async stop (): Promise<void> {
    this.server?.server.closeAllConnections()
    await this.server?.close()
    this.server = undefined
  }

  private addHealth (server: FastifyInstance): void {
    server.get('/-/live', async () => ({ live: true }))
    server.get('/-/ready', async (_request, reply) => {
      const reasons = this.readiness()
      return reply.code(reasons.length === 0 ? 200 : 503).send({ ready: reasons.length === 0, reasons })
    })
  }

  /** The proxy takes over before fastify would parse the body. */
  private addProxy (server: FastifyInstance): void {
    server.route({
      method: server.supportedMethods,
      url: '*',
      onRequest: (request, reply, _done) => {
        reply.hijack()
        this.proxy.handle(request.raw, reply.raw)
      },
      handler: () => {}
    })
  }
}
