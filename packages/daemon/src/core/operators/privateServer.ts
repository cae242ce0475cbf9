import type { IncomingHttpHeaders } from 'node:http'
import type { AddressInfo } from 'node:net'
import fastify, { type FastifyInstance } from 'fastify'
import { fastifyTRPCPlugin, type FastifyTRPCPluginOptions } from '@trpc/server/adapters/fastify'
import type { AppRouter } from '../../types/appRouter.js'
import type { Component } from '../../types/component.js'
import { splitAddress } from '../../utils/address.js'
import { SHARED_KEY_HEADER, sharedKeyCheck } from '../../utils/sharedKey.js'
import type { Metrics } from './metrics.js'

/** Covers a handover of 4 MB of responses with 100,000 keys and as many refusals, each with a key of 256 characters. */
const BODY_LIMIT_BYTES = 96 * 1024 * 1024

/** Without the shared key, a body is refused before more than this is held. */
const UNAUTHORIZED_BODY_BYTES = 64 * 1024

/** Time for a request to arrive whole; peers give a handover up sooner. */
const REQUEST_TIMEOUT_MS = 10_000

/** What the private server is made of. */
export interface PrivateServerOptions {
  readonly address: string
  readonly sharedKey: string
  readonly router: AppRouter
  readonly metrics: Metrics
}

/** The port for peers, operators and the metrics collector. */
export class PrivateServer implements Component {
  readonly name = 'privateServer'
  private server: FastifyInstance | undefined

  private constructor (private readonly options: PrivateServerOptions) {}

  static create (options: PrivateServerOptions): PrivateServer {
    return new PrivateServer(options)
  }

  async start (onFailure: (error: Error) => void): Promise<void> {
    const server = fastify({
      logger: false,
      bodyLimit: BODY_LIMIT_BYTES,
      requestTimeout: REQUEST_TIMEOUT_MS,
      forceCloseConnections: true,
      routerOptions: { maxParamLength: 5000 }
    })
    this.server = server
    this.addProcedures(server)
    server.get('/metrics', async (_request, reply) => {
      const { text, contentType } = await this.options.metrics.render()
      return reply.type(contentType).send(text)
    })
    await server.listen(splitAddress(this.options.address))
    server.server.once('error', onFailure)
  }

  /** The port that the server listens on. */
  get port (): number {
    return (this.server?.server.address() as AddressInfo).port
  }

  async stop (): Promise<void> {
    await this.server?.close()
    this.server = undefined
  }

  private addProcedures (server: FastifyInstance): void {
    const isKey = sharedKeyCheck(this.options.sharedKey)
    const options: FastifyTRPCPluginOptions<AppRouter> = {
      prefix: '/trpc',
      trpcOptions: {
        router: this.options.router,
        createContext: ({ req }) => ({ isAuthorized: isKey(req.headers[SHARED_KEY_HEADER]) })
      }
    }
    server.addHook('onRequest', async (request, reply) => {
      if (isKey(request.headers[SHARED_KEY_HEADER]) || isShort(request.headers)) return
      return reply.code(413).header('connection', 'close').send()
    })
    void server.register(fastifyTRPCPlugin, options)
  }
}

function isShort (headers: IncomingHttpHeaders): boolean {
  return headers['transfer-encoding'] === undefined && Number(headers['content-length'] ?? 0) <= UNAUTHORIZED_BODY_BYTES
}
