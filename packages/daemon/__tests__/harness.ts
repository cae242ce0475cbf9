import { createServer, request, type IncomingMessage, type RequestListener, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Route } from '@cowsliplead/core/types/routes.js'
import { BoundedOutput } from '../src/core/gateway/boundedOutput.js'
import { Gateway } from '../src/core/gateway/gateway.js'
import { ProductDialect } from '../src/core/productDialect.js'
import type { GatewaySettings } from '../src/types/gatewaySettings.js'
import { sleep } from '../src/utils/sleep.js'
import { MemoryStore } from '../src/testing/memoryStore.js'

/** Short, because a stopping daemon waits for part of it until the balancer has noticed. */
const GRACE_MS = 40

const SERVICE = 'permits'

/** Requests under `/permits/` are idempotent; those under `/issues/` must run at most once. */
const ROUTES: readonly Route[] = [
  { ...routeTo('/permits/'), name: 'lookup', kind: 'safe' },
  { ...routeTo('/issues/'), name: 'issue', kind: 'unsafe' }
]

function routeTo (pathPrefix: string): Omit<Route, 'name' | 'kind'> {
  return { host: '127.0.0.1', pathPrefix, timeoutMs: 5000, targetMs: 5000, priority: 0, maxAttempts: 3, shares: [{ service: SERVICE, weight: 1 }] }
}

/** Starts an upstream that echoes the request id and then calls `listener`. */
export async function startUpstream (listener: RequestListener): Promise<Server> {
  const server = createServer((request, response) => {
    response.setHeader('x-request-id', request.headers['x-request-id'] ?? 'none')
    listener(request, response)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return server
}

export function portOf (server: Server): number {
  return (server.address() as AddressInfo).port
}

/** Settings of a daemon. Every call earns a retry, so that a single call can be retried. */
export function createSettings (overrides: Partial<GatewaySettings> = {}): GatewaySettings {
  return {
    vmId: 'vm0',
    failureDomain: 'a',
    publicAddress: '127.0.0.1:0',
    readinessAddress: '127.0.0.1:0',
    readinessPath: '/ready',
    adminAddress: '127.0.0.1:0',
    feedAddress: '127.0.0.1:0',
    graceMs: GRACE_MS,
    renewalMs: 2000,
    bodyTimeoutMs: 30_000,
    probesPerUpstreamSecond: 60,
    retryBudget: { share: 2, calls: 120 },
    routing: { usableSlotShare: 1, probeUpstreams: 0 },
    ...overrides
  }
}

/** Daemons and upstreams on an in-memory store, using the product's default headers. */
export class Rig {
  readonly store = MemoryStore.create()
  readonly upstreams: Server[] = []
  /** Log lines of all daemons. */
  readonly lines: Array<Record<string, unknown>> = []
  private readonly daemons: Gateway[] = []

  static async create (...listeners: RequestListener[]): Promise<Rig> {
    const rig = new Rig()
    for (const listener of listeners) await rig.addUpstream(listener)
    rig.store.putConfig(1, ROUTES, [{ name: SERVICE, healthPath: '/health', maxConnections: 250 }])
    return rig
  }

  async addUpstream (listener: RequestListener): Promise<void> {
    const server = await startUpstream(listener)
    this.upstreams.push(server)
    this.store.putUpstream({
      id: `u${this.upstreams.length}`, service: SERVICE, address: '127.0.0.1', port: portOf(server), failureDomain: 'a',
      slots: 4, state: 'live', incarnation: 1, sequence: 1, warmupLeftMs: 0
    })
  }

  /** Starts a daemon and waits until it is ready. */
  async start (settings: GatewaySettings = createSettings()): Promise<Gateway> {
    const daemon = await this.startUnready(settings)
    while (!daemon.status().ready) await sleep(2)
    return daemon
  }

  async startUnready (settings: GatewaySettings = createSettings()): Promise<Gateway> {
    const output = BoundedOutput.create((bytes, done) => {
      for (const line of bytes.toString().trim().split('\n')) this.lines.push(JSON.parse(line) as Record<string, unknown>)
      done(null, bytes.length)
    })
    const daemon = Gateway.create(settings, { store: this.store, dialect: ProductDialect.create(), output })
    this.daemons.push(daemon)
    await daemon.start()
    return daemon
  }

  async close (): Promise<void> {
    for (const upstream of this.upstreams) {
      upstream.closeAllConnections()
      upstream.close()
    }
    await Promise.all(this.daemons.map(daemon => daemon.stop()))
  }
}

/** A complete response as the caller receives it. */
export interface Reply {
  readonly status: number
  readonly headers: IncomingMessage['headers']
  readonly body: string
}

/** Sends a request on a new connection and reads the whole response; rejects if it is truncated. */
export async function call (port: number, method: string, path: string, options: { headers?: Record<string, string>, body?: string | Buffer } = {}): Promise<Reply> {
  const response = await open(port, method, path, options)
  const chunks: Buffer[] = []
  for await (const chunk of response) chunks.push(chunk as Buffer)
  return { status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks).toString() }
}

/** Sends a request on a new connection and returns the response once its head has arrived. */
export function open (port: number, method: string, path: string, options: { headers?: Record<string, string>, body?: string | Buffer } = {}): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const outgoing = request({ host: '127.0.0.1', port, method, path, headers: options.headers, agent: false }, resolve)
    outgoing.on('error', reject)
    outgoing.end(options.body)
  })
}

/** Sends a complete response with its `content-length`. */
export function reply (response: ServerResponse, body: string | Buffer, status = 200): void {
  response.writeHead(status, { 'content-length': Buffer.byteLength(body) })
  response.end(body)
}

/** Waits until a condition holds; throws if it does not within 5 s. */
export async function waitUntil (condition: () => boolean): Promise<void> {
  for (let i = 0; i < 1000 && !condition(); i++) await sleep(5)
  if (!condition()) throw new Error('condition not met within 5 s')
}

/** Fails the test that meets an unexpected error. */
export function throwError (error: Error): void {
  throw error
}
