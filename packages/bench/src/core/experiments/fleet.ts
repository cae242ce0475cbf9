import { setTimeout as delay } from 'node:timers/promises'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import { LocalDeployment, type EntryVm, type UpstreamVm } from '@cowsliplead/platform/standin/localDeployment.js'
import type { RunReport } from '@cowsliplead/standin/core/runCounts.js'
import type { RunTally } from '../../types/experiments.js'
import { Balancer } from './balancer.js'
import { EXPERIMENT_ROUTES } from './callPlans.js'

/** Sizes of the fleet of one experiment. */
export interface FleetPlan {
  readonly seed: number
  readonly entryCount: number
  readonly registerUpstreams: number
  readonly mapUpstreams: number
  readonly graceS: number
}

/** Enough to lose one daemon of three, and small enough for every test run. */
export const SMALL_FLEET: Omit<FleetPlan, 'seed'> = { entryCount: 3, registerUpstreams: 6, mapUpstreams: 1, graceS: 1 }

const MEAN_SERVICE_MS = 5
const MAP_SLOTS = 16
const CONTROL_TIMEOUT_MS = 5000

/** Real daemons with the stand-ins' controls for faults. */
export class Fleet {
  readonly balancer: Balancer
  /** Counts of upstreams that were killed, read just before. */
  private readonly lostCounts: RunReport[] = []
  private readonly killedUpstreams = new Set<string>()

  private constructor (readonly deployment: LocalDeployment, seed: number) {
    this.balancer = Balancer.create(SeededRandom.create(seed + 1))
  }

  /** Runs `use` with a fleet that serves; ends every process afterwards. */
  static async with<T> (plan: FleetPlan, use: (fleet: Fleet) => Promise<T>): Promise<T> {
    const deployment = createDeployment(plan)
    const fleet = new Fleet(deployment, plan.seed)
    try {
      await deployment.start()
      await deployment.publishRoutes(EXPERIMENT_ROUTES)
      await deployment.waitServing()
      for (const entry of deployment.entries) fleet.balancer.add(entry, true)
      return await use(fleet)
    } finally {
      fleet.balancer.stop()
      await deployment.stop()
    }
  }

  get entries (): readonly EntryVm[] {
    return this.deployment.entries
  }

  get killed (): ReadonlySet<string> {
    return this.killedUpstreams
  }

  upstream (id: string): UpstreamVm {
    const found = this.deployment.upstreams.find(vm => vm.id === id)
    if (found === undefined) throw new Error(`no upstream is named ${id}`)
    return found
  }

  async setUpstreamFaults (id: string, faults: object): Promise<void> {
    await this.control(`${controlUrl(this.upstream(id))}/faults`, 'PUT', faults)
  }

  /** Lets an upstream go on without an entry in the store, as one that leaves without a word. */
  async deregister (id: string): Promise<void> {
    await this.setUpstreamFaults(id, { registered: false })
  }

  /** Makes the connections of an upstream that are open now silent for good. */
  async silence (id: string): Promise<void> {
    await this.control(`${controlUrl(this.upstream(id))}/silence`, 'POST', { share: 1 })
  }

  async runsOf (id: string): Promise<RunReport> {
    return await this.control(`${controlUrl(this.upstream(id))}/runs`, 'GET') as RunReport
  }

  /** Ends an upstream at once. Runs between the reading of its counts and its end are not known. */
  async killUpstream (id: string): Promise<void> {
    this.lostCounts.push(await this.runsOf(id))
    this.killedUpstreams.add(id)
    this.deployment.processes.signal(id, 'SIGKILL')
  }

  /** Runs on all upstreams. */
  async tallyRuns (): Promise<RunTally> {
    const running = this.deployment.upstreams.filter(({ id }) => !this.killedUpstreams.has(id))
    this.assertRunning(running)
    const reports = [...this.lostCounts, ...await Promise.all(running.map(({ id }) => this.runsOf(id)))]
    const bySend = new Map<string, number>()
    for (const { byRequestId, overflow } of reports) {
      if (overflow) throw new Error('an upstream saw more ids than it counts')
      for (const [id, count] of Object.entries(byRequestId)) bySend.set(id, (bySend.get(id) ?? 0) + count)
    }
    return { bySend }
  }

  /** Waits until the balancer sends calls to a VM. */
  async waitUsed (id: string, timeoutMs = 20_000): Promise<void> {
    const giveUpAt = Date.now() + timeoutMs
    while (!this.balancer.isUsed(id)) {
      if (Date.now() > giveUpAt) throw new Error(`${id} was not ready within ${timeoutMs} ms:\n${this.deployment.processes.tailOf(id)}`)
      await delay(50)
    }
  }

  /** Where an upstream has ended, another process may have answered on its port, and counts would be wrong. */
  private assertRunning (upstreams: readonly UpstreamVm[]): void {
    const { processes } = this.deployment
    const ended = upstreams.find(({ id }) => !processes.isRunning(id))
    if (ended !== undefined) throw new Error(`the stand-in ${ended.id} ended, so the run proves nothing:\n${processes.tailOf(ended.id)}`)
  }

  private async control (url: string, method: string, body?: object): Promise<unknown> {
    const signal = AbortSignal.timeout(CONTROL_TIMEOUT_MS)
    const content = body === undefined ? {} : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }
    const response = await fetch(url, { method, signal, ...content })
    const text = await response.text()
    if (!response.ok) throw new Error(`${method} ${url}: ${response.status} ${text}`)
    return text === '' ? undefined : JSON.parse(text)
  }
}

function createDeployment ({ seed, entryCount, registerUpstreams, mapUpstreams, graceS }: FleetPlan): LocalDeployment {
  return LocalDeployment.create({
    entryCount,
    failureDomains: ['a', 'b', 'c'],
    graceS,
    services: [
      {
        service: 'register',
        count: registerUpstreams,
        upstream: index => ({ slots: 4, seed: seed * 100 + index, serviceTime: { distribution: 'exponential', meanMs: MEAN_SERVICE_MS } })
      },
      { service: 'maps', count: mapUpstreams, upstream: index => ({ slots: MAP_SLOTS, seed: seed * 100 + 50 + index }) }
    ]
  })
}

function controlUrl ({ address }: UpstreamVm): string {
  return `http://${address}/control`
}
