import type { Milliseconds } from '../../types/clock.js'
import type { Upstream } from '../../types/upstream.js'

/** One failure domain of upstreams may be down as a whole. */
const CUT_DOMAINS = 2

/** One service may be down as a whole. */
const CUT_SERVICES = 2

/** The registered upstreams, and whether failures of some say something about all. */
export class UpstreamCoverage {
  private upstreams: ReadonlyMap<string, Upstream> = new Map()
  private domainCount = 0
  private serviceCount = 0

  private constructor () {}

  static create (): UpstreamCoverage {
    return new UpstreamCoverage()
  }

  get size (): number {
    return this.upstreams.size
  }

  set (upstreams: readonly Upstream[]): void {
    this.upstreams = new Map(upstreams.map(upstream => [upstream.id, upstream]))
    this.domainCount = domainsOf(upstreams).size
    this.serviceCount = servicesOf(upstreams).size
  }

  get (id: string): Upstream | undefined {
    return this.upstreams.get(id)
  }

  has (id: string): boolean {
    return this.upstreams.has(id)
  }

  values (): Iterable<Upstream> {
    return this.upstreams.values()
  }

  /** Whether there are enough different upstreams among those that failed, of enough failure domains and services. */
  coversEnough (failures: ReadonlyMap<string, Milliseconds>, count: number): boolean {
    const needed = Math.max(1, Math.min(count, this.upstreams.size))
    if (failures.size < needed) return false
    const failed = [...failures.keys()].map(id => this.upstreams.get(id)).filter(upstream => upstream !== undefined)
    return failed.length >= needed &&
      domainsOf(failed).size >= Math.min(CUT_DOMAINS, this.domainCount) &&
      servicesOf(failed).size >= Math.min(CUT_SERVICES, this.serviceCount)
  }
}

function domainsOf (upstreams: readonly Upstream[]): ReadonlySet<string> {
  return new Set(upstreams.map(({ failureDomain }) => failureDomain))
}

function servicesOf (upstreams: readonly Upstream[]): ReadonlySet<string> {
  return new Set(upstreams.map(({ service }) => service))
}
