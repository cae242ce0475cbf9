import type { PickContext, Picker, UpstreamView } from '@cowsliplead/core/types/picker.js'
import type { LoadReport } from '@cowsliplead/core/types/upstream.js'
import { pickCheapest, preferOtherDomains, pickOne } from './selection.js'

const PROBES_PER_CALL = 2
const POOL_SIZE = 16
/** A probe is reused for several picks, so that fewer probes are needed. */
const USES_PER_PROBE = 3
const MAX_PROBE_AGE_MS = 50
/** Probes at or above this quantile of the pool's loads are hot; they are used only if no probe is cold. */
const HOT_QUANTILE = 0.75

interface Probe {
  readonly upstreamId: string
  readonly receivedAt: number
  /** Requests at the upstream: the reported ones plus the picks made with this probe since. */
  load: number
  usesLeft: number
}

/**
 * Keeps a pool of recent probes and reuses them. Avoids hot upstreams, those with the most requests, and picks the cold
 * one with the lowest expected latency.
 */
export class ProbePoolPicker implements Picker {
  private pool: Probe[] = []

  private constructor () {}

  static create (): ProbePoolPicker {
    return new ProbePoolPicker()
  }

  selectProbeTargets (candidates: readonly UpstreamView[], context: PickContext): readonly string[] {
    const targets = new Set<string>()
    for (let count = 0; count < PROBES_PER_CALL; count += 1) {
      const target = pickOne(candidates, context.random)
      if (target !== undefined) targets.add(target.upstream.id)
    }
    return [...targets]
  }

  onProbeReport (upstreamId: string, report: LoadReport): void {
    if (report.draining) return
    const load = report.inFlight + report.queued
    this.pool.push({ upstreamId, receivedAt: report.receivedAt, load, usesLeft: USES_PER_PROBE })
    if (this.pool.length > POOL_SIZE) this.pool.shift()
  }

  pick (candidates: readonly UpstreamView[], context: PickContext): UpstreamView | undefined {
    const eligible = preferOtherDomains(candidates, context)
    const views = new Map(eligible.map(view => [view.upstream.id, view]))
    this.pool = this.pool.filter(probe => probe.usesLeft > 0 && context.now - probe.receivedAt <= MAX_PROBE_AGE_MS)
    const probes = this.pool.filter(probe => views.has(probe.upstreamId))
    const probe = this.selectProbe(probes, views, context)
    if (probe === undefined) return pickOne(eligible, context.random)
    probe.usesLeft -= 1
    probe.load += 1
    return views.get(probe.upstreamId)
  }

  private selectProbe (
    probes: readonly Probe[],
    views: ReadonlyMap<string, UpstreamView>,
    context: PickContext
  ): Probe | undefined {
    const loads = probes.map(probe => probe.load).sort((a, b) => a - b)
    const hotThreshold = loads[Math.floor(HOT_QUANTILE * loads.length)] ?? 0
    const cold = probes.filter(probe => probe.load < hotThreshold)
    if (cold.length === 0) return pickCheapest(probes, probe => probe.load, context.random)
    return pickCheapest(cold, probe => expectedMs(probe, views.get(probe.upstreamId)!), context.random)
  }
}

/** Expected latency: the learned service time, scaled up when requests exceed the slots. */
function expectedMs (probe: Probe, view: UpstreamView): number {
  const rounds = Math.max(1, (probe.load + 1) / (view.slots ?? 1))
  return (view.serviceTimeMs ?? 1) * rounds
}
