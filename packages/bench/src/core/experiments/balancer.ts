import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { RandomSource } from '@cowsliplead/core/types/randomSource.js'
import type { EntryVm } from '@cowsliplead/platform/standin/localDeployment.js'

interface Target {
  readonly entry: EntryVm
  isUsed: boolean
  wasReady: boolean
  changedAt: Milliseconds
}

/** Time from a change of readiness to its effect, as the platform's balancer has it. */
export const BALANCER_LAG_MS = 1000
const POLL_MS = 200
const POLL_TIMEOUT_MS = 300

/** Stand-in for the platform's balancer: sends calls only to daemons that are ready, with its lag. */
export class Balancer {
  private readonly targets = new Map<string, Target>()
  private readonly timer: NodeJS.Timeout

  private constructor (private readonly random: RandomSource) {
    this.timer = setInterval(() => void this.poll(), POLL_MS)
  }

  static create (random: RandomSource): Balancer {
    return new Balancer(random)
  }

  /** Adds a VM; calls go there once it has been ready for the lag. */
  add (entry: EntryVm, isUsed = false): void {
    this.targets.set(entry.id, { entry, isUsed, wasReady: isUsed, changedAt: Date.now() })
  }

  remove (id: string): void {
    this.targets.delete(id)
  }

  isUsed (id: string): boolean {
    return this.targets.get(id)?.isUsed ?? false
  }

  /** A VM in use, another one than `except` where there is one. */
  choose (except?: string): EntryVm | undefined {
    const used = [...this.targets.values()].filter(target => target.isUsed)
    const others = used.filter(({ entry }) => entry.id !== except)
    const candidates = others.length > 0 ? others : used
    return candidates[Math.floor(this.random.next() * candidates.length)]?.entry
  }

  stop (): void {
    clearInterval(this.timer)
  }

  private async poll (): Promise<void> {
    await Promise.all([...this.targets.values()].map(target => this.pollOne(target)))
  }

  private async pollOne (target: Target): Promise<void> {
    const isReady = await askReady(target.entry)
    if (isReady !== target.wasReady) {
      target.wasReady = isReady
      target.changedAt = Date.now()
    }
    if (Date.now() - target.changedAt >= BALANCER_LAG_MS) target.isUsed = isReady
  }
}

async function askReady ({ readinessAddress }: EntryVm): Promise<boolean> {
  try {
    const response = await fetch(`http://${readinessAddress}/-/readiness`, { signal: AbortSignal.timeout(POLL_TIMEOUT_MS) })
    await response.arrayBuffer()
    return response.ok
  } catch {
    return false
  }
}
