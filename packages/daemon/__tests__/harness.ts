import { createServer, request, type IncomingMessage, type RequestListener, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import winston from 'winston'
import { createChange } from '@cowsliplead/core/types/configRecords.js'
import { Daemon } from '../src/core/daemon.js'
import { createPeerClient } from '../src/core/peers/peerClients.js'
import type { JsonValue, Log } from '../src/types/platform.js'
import { SETTINGS_SCHEMA, type Settings } from '../src/types/settings.js'
import { sleep } from '../src/utils/sleep.js'
import { createFakePlatform } from './fakePlatform.js'

export const SHARED_KEY = 'a key for tests only'

/** Partitions of the key space. */
export const PARTITIONS = 64

const KIND = { weight: 1, deadlineMs: 5000, cancellable: true, hedgeable: false }

/** GET is idempotent and POST is not. Every call earns a retry, so that single calls can show one. */
export const DOCUMENT = {
  defaults: { routing: { retryBudgetShare: 1 } },
  services: {
    permits: {
      hosts: ['*'],
      pathPrefix: '/permits',
      kinds: {
        lookup: { ...KIND, method: 'GET', path: '/**', idempotent: true },
        issue: { ...KIND, method: 'POST', path: '/**', idempotent: false }
      }
    }
  }
}

/** An upstream that runs `listener` with the request id already echoed. */
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

export function createSettings (overrides: Partial<Settings> = {}, limits: Partial<Settings['limits']> = {}): Settings {
  return SETTINGS_SCHEMA.parse({
    vmId: 'vm0',
    failureDomain: 'a',
    region: 'r',
    publicAddress: '127.0.0.1:0',
    privateAddress: '127.0.0.1:0',
    platformUrl: 'http://127.0.0.1:1',
    sharedKey: SHARED_KEY,
    limits: { balancerNoticeMs: 0, vmListIntervalMs: 10, drainTimeoutMs: 5000, ...limits },
    ...overrides
  })
}

/** A daemon with its upstreams, on a platform in memory. */
export class Rig {
  readonly platform = createFakePlatform()
  readonly upstreams: Server[] = []
  private readonly daemons: Daemon[] = []
  readonly journal = winston.createLogger({ silent: true })

  static async create (...listeners: RequestListener[]): Promise<Rig> {
    const rig = new Rig()
    for (const listener of listeners) await rig.addUpstream(listener)
    await rig.platform.log.append('config', createChange('first', 0, 'test', DOCUMENT) as unknown as JsonValue)
    return rig
  }

  async addUpstream (listener: RequestListener): Promise<void> {
    const server = await startUpstream(listener)
    this.upstreams.push(server)
    this.platform.vmList.vms.push({
      role: 'upstream', id: `u${this.upstreams.length}`, service: 'permits', address: '127.0.0.1', port: portOf(server),
      failureDomain: `d${this.upstreams.length}`, region: 'r', state: 'live', slots: 4
    })
  }

  /** Starts a daemon and waits until it is ready. */
  async start (settings: Settings = createSettings()): Promise<Daemon> {
    const daemon = await this.startUnready(settings)
    while (!daemon.status().ready) await sleep(2)
    return daemon
  }

  async startUnready (settings: Settings, log: Log = this.platform.log): Promise<Daemon> {
    const daemon = Daemon.create(settings, { log, vmList: this.platform.vmList }, this.journal)
    this.daemons.push(daemon)
    await daemon.start()
    this.platform.vmList.vms.push({
      role: 'entry', id: settings.vmId, address: '127.0.0.1', port: daemon.ports.public,
      privateAddress: `127.0.0.1:${daemon.ports.private}`, failureDomain: 'a', region: 'r', state: 'live'
    })
    return daemon
  }

  /** Starts VMs that share the keys among them. */
  async startFleet (...vmIds: string[]): Promise<Daemon[]> {
    const daemons = await Promise.all(vmIds.map(vmId => this.startUnready(createSettings({ vmId }))))
    const isSettled = (): boolean => daemons.every(daemon => daemon.status().ready && daemon.status().livePeers.length === vmIds.length - 1) &&
      daemons.reduce((sum, daemon) => sum + daemon.status().openPartitions, 0) === PARTITIONS
    while (!isSettled() || !await haveWitnesses(daemons)) await sleep(10)
    return daemons
  }

  async close (): Promise<void> {
    for (const upstream of this.upstreams) {
      upstream.closeAllConnections()
      upstream.close()
    }
    await Promise.all(this.daemons.map(daemon => daemon.stop()))
  }
}

/** Whether the log names a witness for every partition, so that keys can be claimed while the log is down. */
async function haveWitnesses (daemons: readonly Daemon[]): Promise<boolean> {
  const tables = await Promise.all(daemons.map(daemon => createPeerClient(`127.0.0.1:${daemon.ports.private}`, SHARED_KEY).peer.ownershipTable.query()))
  return tables.every(({ table: { entries } }) => entries.length === PARTITIONS && entries.every(entry => entry.witnesses.length > 0))
}

/** A whole response as a caller sees it. */
export interface Reply {
  readonly status: number
  readonly headers: IncomingMessage['headers']
  readonly body: string
}

/** Calls the public port on a connection of its own; rejects where the response is cut. */
export async function call (port: number, method: string, path: string, options: { headers?: Record<string, string>, body?: string | Buffer } = {}): Promise<Reply> {
  const response = await open(port, method, path, options)
  const chunks: Buffer[] = []
  for await (const chunk of response) chunks.push(chunk as Buffer)
  return { status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks).toString() }
}

/** Sends a request and returns the response once its head is there. */
export function open (port: number, method: string, path: string, options: { headers?: Record<string, string>, body?: string | Buffer } = {}): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const outgoing = request({ host: '127.0.0.1', port, method, path, headers: options.headers, agent: false }, resolve)
    outgoing.on('error', reject)
    outgoing.end(options.body)
  })
}

/** Ends a response with its length declared. */
export function reply (response: ServerResponse, body: string | Buffer, status = 200): void {
  response.writeHead(status, { 'content-length': Buffer.byteLength(body) })
  response.end(body)
}
