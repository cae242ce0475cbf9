import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { RandomSource } from '@cowsliplead/core/types/randomSource.js'
import type { EntryVm } from '@cowsliplead/platform/standin/localDeployment.js'

interface Target {
  readonly entry: EntryVm
  isInRotation: boolean
  lastReady: boolean
  readinessChangedAt: Milliseconds
}

/** Delay of the platform's load balancer between a change of readiness and its effect on routing. */
export const ROTATION_LAG_MS = 1000
const POLL_INTERVAL_MS = 200
const POLL_TIMEOUT_MS = 300

/** Stand-in for the platform's load balancer: chooses only VMs whose readiness check passes, with the same delay. */
export class LoadBalancer {
  private readonly targets = new Map<string, Target>()
  private readonly timer: NodeJS.Timeout

  private constructor (private readonly random: RandomSource) {
    this.timer = setInterval(() => void this.poll(), POLL_INTERVAL_MS)
  }

  static create (random: RandomSource): LoadBalancer {
    return new LoadBalancer(random)
  }

  /** Adds a VM; unless added in rotation, it receives calls once it has been ready for `ROTATION_LAG_MS`. */
  add (entry: EntryVm, isInRotation = false): void {
    this.targets.set(entry.id, { entry, isInRotation, lastReady: isInRotation, readinessChangedAt: Date.now() })
  }

  remove (id: string): void {
    this.targets.delete(id)
  }

  isInRotation (id: string): boolean {
    return this.targets.get(id)?.isInRotation ?? false
  }

  /** Chooses a random VM in rotation, avoiding `excludedId` if there is another one. */
  choose (excludedId?: string): EntryVm | undefined {
    const inRotation = [...this.targets.values()].filter(target => target.isInRotation)
    const others = inRotation.filter(({ entry }) => entry.id !== excludedId)
    const candidates = others.length > 0 ? others : inRotation
    return candidates[Math.floor(this.random.next() * candidates.length)]?.entry
  }

  stop (): void {
    clearInterval(this.timer)
  }

  private async poll (): Promise<void> {
    await Promise.all([...this.targets.values()].map(target => this.pollTarget(target)))
  }

  private async pollTarget (target: Target): Promise<void> {
    const isReady = await readReadiness(target.entry)
    if (isReady !== target.lastReady) {
      target.lastReady = isReady
      target.readinessChangedAt = Date.now()
    }
    if (Date.now() - target.readinessChangedAt >= ROTATION_LAG_MS) target.isInRotation = isReady
  }
}

async function readReadiness ({ readinessAddress }: EntryVm): Promise<boolean> {
  try {
    const response = await fetch(`http://${readinessAddress}/-/readiness`, { signal: AbortSignal.timeout(POLL_TIMEOUT_MS) })
    await response.arrayBuffer()
    return response.ok
  } catch {
    return false
  }
}
