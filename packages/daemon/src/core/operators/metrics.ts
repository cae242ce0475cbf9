import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { FleetSnapshot } from '../feed/fleet.js'
import type { ServiceHost } from '../upstreams/serviceHost.js'
import type { ServiceCounters } from '../upstreams/serviceCounters.js'
import type { ComponentState } from '../supervision/supervisor.js'

/** Where the metrics come from; read only when they are asked for. */
export interface MetricsSource {
  services (): readonly ServiceHost[]
  revision (): number
  ready (): boolean
  policyRevision (): number
  /** Stalls of the event loop since the start. */
  stalls (): number
  /** Log lines left out or dropped. */
  logLinesLost (): number
  callsInFlight (): number
  fleet (): FleetSnapshot
  /** Reads of the store since the start, by table. */
  storeReads (): ReadonlyArray<{ readonly table: string, readonly reads: number }>
  components (): readonly ComponentState[]
}

type CountName = 'results' | 'attempts' | 'ends' | 'cancels'

/** Counters and gauges for the metrics collector. */
export class Metrics {
  private readonly registry = new Registry()

  private constructor (private readonly source: MetricsSource) {
    this.addServiceCounter('cowsliplead_calls_total', 'Calls by result', 'result', 'results')
    this.addServiceCounter('cowsliplead_attempts_total', 'Attempts by purpose', 'purpose', 'attempts')
    this.addServiceCounter('cowsliplead_attempt_ends_total', 'Attempts by end', 'end', 'ends')
    this.addServiceCounter('cowsliplead_cancelled_attempts_total', 'Cancelled attempts by reason', 'reason', 'cancels')
    this.addServiceGauge('cowsliplead_service_calls_in_flight', 'Calls without a result', host => host.callsInFlight)
    this.addServiceGauge('cowsliplead_connections', 'Connections to upstreams', host => host.connectionCount)
    this.addServiceGauge('cowsliplead_queued_calls', 'Calls that wait for an upstream', host => host.dispatcher.snapshot().queued)
    this.addServiceGauge('cowsliplead_probes', 'Dedicated load probes since the start', host => host.dispatcher.snapshot().counters.probes)
    this.addServiceGauge('cowsliplead_registered_upstreams', 'Upstreams that are registered', host => host.upstreamCounts.registered)
    this.addServiceGauge('cowsliplead_used_upstreams', 'Registered upstreams that this VM uses', host => host.upstreamCounts.used)
    this.addServiceGauge('cowsliplead_ejected_upstreams', 'Upstreams that get trial calls only', host => countUpstreams(host, 'ejected'))
    this.addServiceGauge('cowsliplead_draining_upstreams', 'Upstreams that get no new work', host => countUpstreams(host, 'draining'))
    this.addGauge('cowsliplead_config_revision', 'Version of the routes in force', () => source.revision())
    this.addGauge('cowsliplead_ready', '1 where the daemon is ready', () => source.ready() ? 1 : 0)
    this.addGauge('cowsliplead_calls_in_flight', 'Requests of callers under way', () => source.callsInFlight())
    this.addGauge('cowsliplead_policy_revision', 'Policy revision in force', () => source.policyRevision())
    this.addGauge('cowsliplead_event_loop_stalls', 'Event-loop stalls since the start', () => source.stalls())
    this.addGauge('cowsliplead_log_lines_lost', 'Log lines left out or dropped since the start', () => source.logLinesLost())
    this.addGauge('cowsliplead_fleet_vms', 'Known entry VMs, this one included', () => source.fleet().vms)
    this.addGauge('cowsliplead_followed_vms', 'Entry VMs that this one is connected to for changes of the store', () => source.fleet().follows.length)
    this.addGauge('cowsliplead_followers', 'Entry VMs that take changes of the store from this one', () => source.fleet().followers)
    this.addStoreReads(() => source.storeReads())
    this.addRestarts(() => source.components())
  }

  static create (source: MetricsSource): Metrics {
    return new Metrics(source)
  }

  /** The metrics in the text format of the collector. */
  async render (): Promise<{ readonly text: string, readonly contentType: string }> {
    return { text: await this.registry.metrics(), contentType: this.registry.contentType }
  }

  private addServiceCounter (name: string, help: string, label: string, counts: CountName): void {
    const { source } = this
    this.registry.registerMetric(new Counter({
      name,
      help,
      labelNames: ['service', label],
      registers: [],
      collect () {
        this.reset()
        for (const { service, counters } of source.services()) {
          for (const [key, value] of (counters as ServiceCounters)[counts]) this.inc({ service, [label]: key }, value)
        }
      }
    }))
  }

  private addServiceGauge (name: string, help: string, read: (host: ServiceHost) => number): void {
    const { source } = this
    this.registry.registerMetric(new Gauge({
      name,
      help,
      labelNames: ['service'],
      registers: [],
      collect () {
        this.reset()
        for (const host of source.services()) this.set({ service: host.service }, read(host))
      }
    }))
  }

  private addGauge (name: string, help: string, read: () => number): void {
    this.registry.registerMetric(new Gauge({
      name,
      help,
      registers: [],
      collect () {
        this.set(read())
      }
    }))
  }

  /** A histogram that the caller fills. */
  createLatencyHistogram (): Histogram<'service' | 'result'> {
    return new Histogram({
      name: 'cowsliplead_call_seconds',
      help: 'Time from arrival to result',
      labelNames: ['service', 'result'],
      buckets: [0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1, 1.5, 2, 3],
      registers: [this.registry]
    })
  }

  private addStoreReads (storeReads: MetricsSource['storeReads']): void {
    this.registry.registerMetric(new Counter({
      name: 'cowsliplead_store_reads_total',
      help: 'Reads of the control store',
      labelNames: ['table'],
      registers: [],
      collect () {
        this.reset()
        for (const { table, reads } of storeReads()) this.inc({ table }, reads)
      }
    }))
  }

  private addRestarts (components: () => readonly ComponentState[]): void {
    this.registry.registerMetric(new Counter({
      name: 'cowsliplead_component_restarts_total',
      help: 'Restarts of supervised components',
      labelNames: ['component'],
      registers: [],
      collect () {
        this.reset()
        for (const { name, restarts } of components()) this.inc({ component: name }, restarts)
      }
    }))
  }
}

function countUpstreams (host: ServiceHost, state: 'ejected' | 'draining'): number {
  return host.dispatcher.snapshot().upstreams.filter(upstream => upstream[state]).length
}
