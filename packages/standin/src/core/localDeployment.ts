import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { createPeerClient, type PeerClient } from '@cowsliplead/daemon/core/peers/peerClients.js'
import type { EntryVm, UpstreamVm, Vm } from '@cowsliplead/daemon/types/platform.js'
import type { PlatformOptionsInput } from '../types/platformOptions.js'
import type { UpstreamOptionsInput } from '../types/upstreamOptions.js'
import { ProcessGroup } from './processGroup.js'

/** The upstreams of one service. */
export interface ServicePlan {
  readonly service: string
  readonly count: number
  /** Options of upstream number `index`; its id and port are filled in. */
  readonly upstream: (index: number) => UpstreamOptionsInput
}

/** A deployment on loopback: stand-ins of the platform and of upstreams, and real daemons. */
export interface DeploymentPlan {
  readonly entryCount: number
  readonly failureDomains: readonly string[]
  readonly services: readonly ServicePlan[]
  /** Limits of the daemons' settings files. */
  readonly limits?: Record<string, number>
  readonly platform?: PlatformOptionsInput
}

const HOST = '127.0.0.1'
const REGION = 'loopback'
const READY_TIMEOUT_MS = 20_000
const SHARED_KEY = 'loopback-demo-shared-key'
const SCRIPTS = {
  platform: scriptPath('@cowsliplead/standin/platformMain.js'),
  upstream: scriptPath('@cowsliplead/standin/upstreamMain.js'),
  daemon: scriptPath('@cowsliplead/daemon/main.js')
}

/** Starts and stops the processes of a deployment; every port is a free one. */
export class LocalDeployment {
  readonly processes = ProcessGroup.create()
  readonly entries: EntryVm[] = []
  readonly upstreams: UpstreamVm[] = []
  platformUrl = ''
  private readonly upstreamOptions = new Map<string, UpstreamOptionsInput>()
  private directory = ''

  private constructor (private readonly plan: DeploymentPlan) {}

  static create (plan: DeploymentPlan): LocalDeployment {
    return new LocalDeployment(plan)
  }

  /** File with the shared key, for the operators' client. */
  get keyFile (): string {
    return join(this.directory, 'key')
  }

  /** Origins for callers, one for each daemon. */
  get publicOrigins (): string[] {
    return this.entries.map(entry => `http://${entry.address}:${entry.port}`)
  }

  /** Private `host:port` of each daemon. */
  get privateAddresses (): string[] {
    return this.entries.map(entry => entry.privateAddress)
  }

  /** Starts every process; daemons are live but not ready until a configuration is published. */
  async start (): Promise<void> {
    this.directory = await mkdtemp(join(tmpdir(), 'cowsliplead-'))
    await writeFile(this.keyFile, SHARED_KEY, { mode: 0o600 })
    await this.planVms()
    await this.startPlatform()
    await Promise.all(this.upstreams.map(vm => this.startUpstream(vm)))
    await Promise.all(this.entries.map(entry => this.startDaemon(entry)))
  }

  /** Waits until every daemon has a configuration in force. */
  async waitServing (): Promise<void> {
    await Promise.all(this.entries.map(entry =>
      this.processes.waitReady(entry.id, `http://${entry.address}:${entry.port}/-/ready`, READY_TIMEOUT_MS)))
  }

  /** Client of the private port of the daemon at `privateAddress`. */
  operatorClient (privateAddress: string): PeerClient {
    return createPeerClient(privateAddress, SHARED_KEY)
  }

  /** Publishes a document as the first revision and waits until every daemon serves. */
  async publish (document: object): Promise<void> {
    const change = { id: 'first-revision', base: 0, author: 'local-deployment', document }
    const verdict = await this.operatorClient(this.privateAddresses[0] as string).operator.publish.mutate(change)
    if (verdict.kind !== 'applied') throw new Error(`the first revision was not applied: ${JSON.stringify(verdict)}`)
    await this.waitServing()
  }

  /** Starts a daemon under the settings of `entry`, for the first time or again. */
  async startDaemon (entry: EntryVm): Promise<void> {
    const file = await this.writeJson(`${entry.id}.json`, this.daemonSettings(entry))
    this.processes.start({ name: entry.id, script: SCRIPTS.daemon, args: ['--settings', file] })
    await this.processes.waitReady(entry.id, `http://${entry.address}:${entry.port}/-/live`, READY_TIMEOUT_MS)
  }

  /** Adds an entry VM under a new id; its daemon is not started and the platform does not know it yet. */
  async addEntry (): Promise<EntryVm> {
    const entry = await this.planEntry(this.entries.length)
    this.entries.push(entry)
    return entry
  }

  /** Ends every process and removes the files that were written. */
  async stop (): Promise<void> {
    await this.processes.stopAll()
    if (this.directory !== '') await rm(this.directory, { recursive: true })
  }

  private async planVms (): Promise<void> {
    for (let index = 0; index < this.plan.entryCount; index++) await this.addEntry()
    for (const service of this.plan.services) {
      for (let index = 0; index < service.count; index++) this.upstreams.push(await this.planUpstream(service, index))
    }
  }

  private async planEntry (index: number): Promise<EntryVm> {
    const [port, privatePort] = [await freePort(), await freePort()]
    return {
      role: 'entry', id: `entry-${index + 1}`, address: HOST, port, privateAddress: `${HOST}:${privatePort}`,
      failureDomain: this.domain(index), region: REGION, state: 'live'
    }
  }

  private async planUpstream ({ service, upstream }: ServicePlan, index: number): Promise<UpstreamVm> {
    const [id, port] = [`${service}-${index + 1}`, await freePort()]
    const options = { ...upstream(index), id, port }
    this.upstreamOptions.set(id, options)
    return {
      role: 'upstream', id, service, address: HOST, port, failureDomain: this.domain(index), region: REGION,
      state: 'live', ...(options.slots === undefined ? {} : { slots: options.slots })
    }
  }

  private domain (index: number): string {
    return this.plan.failureDomains[index % this.plan.failureDomains.length] as string
  }

  private async startPlatform (): Promise<void> {
    const port = await freePort()
    const vms: Vm[] = [...this.entries, ...this.upstreams]
    const file = await this.writeJson('platform.json', { ...this.plan.platform, port, vms })
    this.platformUrl = `http://${HOST}:${port}`
    this.processes.start({ name: 'platform', script: SCRIPTS.platform, args: ['--options', file] })
    await this.processes.waitReady('platform', `${this.platformUrl}/vms`, READY_TIMEOUT_MS)
  }

  private async startUpstream (vm: UpstreamVm): Promise<void> {
    const file = await this.writeJson(`${vm.id}.json`, this.upstreamOptions.get(vm.id) ?? {})
    this.processes.start({ name: vm.id, script: SCRIPTS.upstream, args: ['--options', file] })
    await this.processes.waitReady(vm.id, `http://${HOST}:${vm.port}/control/runs`, READY_TIMEOUT_MS)
  }

  private daemonSettings (entry: EntryVm): object {
    return {
      vmId: entry.id,
      failureDomain: entry.failureDomain,
      region: entry.region,
      publicAddress: `${entry.address}:${entry.port}`,
      privateAddress: entry.privateAddress,
      platformUrl: this.platformUrl,
      sharedKey: SHARED_KEY,
      limits: this.plan.limits ?? {}
    }
  }

  private async writeJson (name: string, value: object): Promise<string> {
    const file = join(this.directory, name)
    await writeFile(file, JSON.stringify(value), { mode: 0o600 })
    return file
  }
}

function scriptPath (module: string): string {
  return fileURLToPath(import.meta.resolve(module))
}

/** Below the range from which Linux takes the ports of outgoing connections, which could occupy a port before its process listens. */
const LOWEST_PORT = 20_000
const PORT_COUNT = 12_000

/** Ports of processes that may not listen yet. */
const givenPorts = new Set<number>()

async function freePort (): Promise<number> {
  for (;;) {
    const port = LOWEST_PORT + Math.floor(Math.random() * PORT_COUNT)
    if (givenPorts.has(port) || !await isFree(port)) continue
    givenPorts.add(port)
    return port
  }
}

async function isFree (port: number): Promise<boolean> {
  const server = createServer()
  const listens = await new Promise<boolean>(resolve => {
    server.once('error', () => resolve(false))
    server.listen(port, HOST, () => resolve(true))
  })
  if (listens) await new Promise(resolve => server.close(resolve))
  return listens
}
