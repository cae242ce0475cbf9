import { setTimeout as delay } from 'node:timers/promises'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import { LocalDeployment, type EntryVm, type UpstreamVm } from '@cowsliplead/platform/standin/localDeployment.js'
import type { RunReport } from '@cowsliplead/standin/core/runCounts.js'
import type { RunTally } from '../../types/experiments.js'
import { LoadBalancer } from './loadBalancer.js'
import { EXPERIMENT_ROUTES } from './callPlans.js'

/** Size and settings of the fleet of one experiment. */
export interface FleetOptions {
  readonly seed: number
  readonly entryCount: number
  readonly registerUpstreams: number
  readonly mapUpstreams: number
  readonly graceS: number
}

/** Can lose one of three daemons, and is small enough to start in every test run. */
export const SMALL_FLEET: Omit<FleetOptions, 'seed'> = { entryCount: 3, registerUpstreams: 6, mapUpstreams: 1, graceS: 1 }

const MEAN_SERVICE_MS = 5
const MAP_SLOTS = 16
const CONTROL_TIMEOUT_MS = 5000

/** Daemon processes with stand-ins for upstreams and the store, and controls to inject faults into them. */
export class Fleet {
  readonly balancer: LoadBalancer
  /** Run reports of killed upstreams, read just before each was killed. */
  private readonly killedUpstreamReports: RunReport[] = []
  private readonly killedUpstreamIds = new Set<string>()

  private constructor (readonly deployment: LocalDeployment, seed: number) {
    this.balancer = LoadBalancer.create(SeededRandom.create(seed + 1))
  }

  /** Starts a fleet, calls `run` once it is ready, and stops every process afterwards. */
  static async with<T> (options: FleetOptions, run: (fleet: Fleet) => Promise<T>): Promise<T> {
    const deployment = createDeployment(options)
    const fleet = new Fleet(deployment, options.seed)
    try {
      await deployment.start()
      await deployment.publishRoutes(EXPERIMENT_ROUTES)
      await deployment.waitUntilReady()
      for (const entry of deployment.entries) fleet.balancer.add(entry, true)
      return await run(fleet)
    } finally {
      fleet.balancer.stop()
      await deployment.stop()
    }
  }

  get entries (): readonly EntryVm[] {
    return this.deployment.entries
  }

  get killedUpstreams (): ReadonlySet<string> {
    return this.killedUpstreamIds
  }

  findUpstream (id: string): UpstreamVm {
    const upstream = this.deployment.upstreams.find(vm => vm.id === id)
    if (upstream === undefined) throw new Error(`unknown upstream id ${id}`)
    return upstream
  }

  async setUpstreamFaults (id: string, faults: object): Promise<void> {
    await this.requestControl(`${controlUrl(this.findUpstream(id))}/faults`, 'PUT', faults)
  }

  /** Removes an upstream's entry from the store while it keeps running, as if it left without a drain notice. */
  async deregister (id: string): Promise<void> {
    await this.setUpstreamFaults(id, { registered: false })
  }

  /** Makes an upstream stop answering on all connections that are open now, without closing them. */
  async silenceConnections (id: string): Promise<void> {
    await this.requestControl(`${controlUrl(this.findUpstream(id))}/silence`, 'POST', { share: 1 })
  }

  async readRunReport (id: string): Promise<RunReport> {
    return await this.requestControl(`${controlUrl(this.findUpstream(id))}/runs`, 'GET') as RunReport
  }

  /** Kills an upstream. Runs between the reading of its run report and the kill are not counted. */
  async killUpstream (id: string): Promise<void> {
    this.killedUpstreamReports.push(await this.readRunReport(id))
    this.killedUpstreamIds.add(id)
    this.deployment.processes.signal(id, 'SIGKILL')
  }

  /** Sums the run counts of all upstreams, including those read before upstreams were killed. */
  async tallyRuns (): Promise<RunTally> {
    const runningUpstreams = this.deployment.upstreams.filter(({ id }) => !this.killedUpstreamIds.has(id))
    this.assertAllRunning(runningUpstreams)
    const reports = [...this.killedUpstreamReports, ...await Promise.all(runningUpstreams.map(({ id }) => this.readRunReport(id)))]
    const bySend = new Map<string, number>()
    for (const { byRequestId, overflow } of reports) {
      if (overflow) throw new Error('an upstream saw more request ids than it can count one by one')
      for (const [id, count] of Object.entries(byRequestId)) bySend.set(id, (bySend.get(id) ?? 0) + count)
    }
    return { bySend }
  }

  /** Waits until the load balancer sends calls to a VM. */
  async waitUntilInRotation (id: string, timeoutMs = 20_000): Promise<void> {
    const timeoutAt = Date.now() + timeoutMs
    while (!this.balancer.isInRotation(id)) {
      if (Date.now() > timeoutAt) throw new Error(`${id} was not in rotation within ${timeoutMs} ms:\n${this.deployment.processes.outputTail(id)}`)
      await delay(50)
    }
  }

  /** If an upstream has exited, another process may answer on its port, and the counts would be wrong. */
  private assertAllRunning (upstreams: readonly UpstreamVm[]): void {
    const { processes } = this.deployment
    const ended = upstreams.find(({ id }) => !processes.isRunning(id))
    if (ended !== undefined) throw new Error(`the upstream stand-in ${ended.id} exited unexpectedly; the result is invalid:\n${processes.outputTail(ended.id)}`)
  }

  private async requestControl (url: string, method: string, body?: object): Promise<unknown> {
    const signal = AbortSignal.timeout(CONTROL_TIMEOUT_MS)
    const bodyOptions = body === undefined ? {} : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }
    const response = await fetch(url, { method, signal, ...bodyOptions })
    const text = await response.text()
    if (!response.ok) throw new Error(`${method} ${url}: ${response.status} ${text}`)
    return text === '' ? undefined : JSON.parse(text)
  }
}

function createDeployment ({ seed, entryCount, registerUpstreams, mapUpstreams, graceS }: FleetOptions): LocalDeployment {
  return LocalDeployment.create({
    entryCount,
    failureDomains: ['a', 'b', 'c'],
    graceS,
    services: [
      {
        service: 'register',
        count: registerUpstreams,
        optionsFor: index => ({ slots: 4, seed: seed * 100 + index, serviceTime: { distribution: 'exponential', meanMs: MEAN_SERVICE_MS } })
      },
      { service: 'maps', count: mapUpstreams, optionsFor: index => ({ slots: MAP_SLOTS, seed: seed * 100 + 50 + index }) }
    ]
  })
}

function controlUrl ({ address }: UpstreamVm): string {
  return `http://${address}/control`
}
