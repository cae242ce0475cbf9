import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { QuotaCounters } from '@cowsliplead/core/core/quotas/leaseAccount.js'
import type { HandoverSnapshot } from '../handover/handover.js'
import type { FleetSnapshot } from '../feed/fleet.js'
import type { ServiceForwarder } from '../upstreams/serviceForwarder.js'
import type { ServiceCounters } from '../upstreams/serviceCounters.js'
import { createQueuedByRouteGauge } from './capacityMetrics.js'
import type { ComponentState } from '../supervision/supervisor.js'

/** Source of the metric values, read on each scrape. */
export interface MetricsSource {
  forwarders (): readonly ServiceForwarder[]
  configVersion (): number
  /** Entries of the configuration in force that cannot be used. */
  rejectedEntries (): number
  /** Configurations since the start that could not be used at all. */
  unreadableConfigs (): number
  /** Greatest possible age of the keys in force, in milliseconds; undefined if it is not limited or not known. */
  keyAgeMs (): number | undefined
  /** Requests since the start that were refused for their key, by result code. */
  keyRefusals (): ReadonlyMap<string, number>
  isReady (): boolean
  /** Number of evacuated failure domains. */
  evacuatedDomains (): number
  policyRevision (): number
  /** Event-loop stalls since the start. */
  stallCount (): number
  /** Log lines omitted or dropped since the start. */
  logLinesLost (): number
  callsInFlight (): number
  fleet (): FleetSnapshot
  quotas (): QuotaCounters
  /** Undefined where calls are not handed over. */
  handover (): HandoverSnapshot | undefined
  /** Processor time of the process since its start. */
  processorSeconds (): number
  /** Messages of the feed since the start. */
  feedMessages (): { readonly received: number, readonly sent: number }
  /** Writes to the log's output since the start. */
  logWrites (): number
  /** Callers' connections closed because there were too many, or for bytes that are no request, since the start. */
  closedConnections (): number
  /** Bodies of requests given up for want of memory since the start. */
  evictedBodies (): number
  /** Reads of the store since the start, by table. */
  storeReads (): ReadonlyArray<{ readonly table: string, readonly reads: number }>
  components (): readonly ComponentState[]
}

type CounterField = 'results' | 'attempts' | 'ends' | 'cancels' | 'bytesRefused'

/** Metrics of the daemon, in a registry of their own. */
export class Metrics {
  private readonly registry = new Registry()

  private constructor (private readonly source: MetricsSource) {
    this.addServiceCounter('cowsliplead_calls_total', 'Calls by result', 'result', 'results')
    this.addServiceCounter('cowsliplead_attempts_total', 'Attempts by purpose', 'purpose', 'attempts')
    this.addServiceCounter('cowsliplead_attempt_ends_total', 'Attempts by end', 'end', 'ends')
    this.addServiceCounter('cowsliplead_cancelled_attempts_total', 'Cancelled attempts by reason', 'reason', 'cancels')
    this.addServiceCounter('cowsliplead_refused_bytes_total', 'Connections to upstreams closed for the bytes that arrived on them, by reason', 'reason', 'bytesRefused')
    this.addStrayResponses()
    this.addServiceGauge('cowsliplead_service_calls_in_flight', 'Calls in flight, by service', forwarder => forwarder.callsInFlight)
    this.addServiceGauge('cowsliplead_connections', 'Connections to upstreams', forwarder => forwarder.connectionCount)
    this.addServiceGauge('cowsliplead_queued_calls', 'Calls waiting for an upstream', forwarder => forwarder.dispatcher.snapshot().queued)
    this.registry.registerMetric(createQueuedByRouteGauge(() => source.forwarders()))
    this.addServiceGauge('cowsliplead_reserved_upstream_share', 'Share of the upstreams reserved for urgent routes', forwarder => forwarder.dispatcher.snapshot().reservedShare)
    this.addServiceGauge('cowsliplead_probes', 'Dedicated load probes since the start', forwarder => forwarder.dispatcher.snapshot().counters.probes)
    this.addServiceGauge('cowsliplead_registered_upstreams', 'Registered upstreams', forwarder => forwarder.upstreamCounts.registered)
    this.addServiceGauge('cowsliplead_used_upstreams', 'Registered upstreams that this VM uses', forwarder => forwarder.upstreamCounts.used)
    this.addServiceGauge('cowsliplead_ejected_upstreams', 'Ejected upstreams, which receive trial calls only', forwarder => countUpstreams(forwarder, 'ejected'))
    this.addServiceGauge('cowsliplead_draining_upstreams', 'Draining upstreams, which receive no new calls', forwarder => countUpstreams(forwarder, 'draining'))
    this.addServiceGauge('cowsliplead_rate_limited_upstreams', 'Upstreams that name a request rate', countRateLimited)
    this.addServiceGauge('cowsliplead_cold_upstreams', 'Upstreams that are cold and get a limited number of requests', forwarder => countUpstreams(forwarder, 'isCold'))
    this.addServiceGauge('cowsliplead_leaving_upstreams', 'Upstreams in use that have said that they are leaving', forwarder => countUpstreams(forwarder, 'leaving'))
    this.addServiceGauge('cowsliplead_paused_upstreams', 'Upstreams in use that have asked for a pause', countPaused)
    this.addServiceGauge('cowsliplead_evacuated_upstreams', 'Registered upstreams in evacuated failure domains', forwarder => forwarder.dispatcher.snapshot().evacuatedUpstreams)
    this.addGauge('cowsliplead_evacuated_domains', 'Evacuated failure domains', () => source.evacuatedDomains())
    this.addGauge('cowsliplead_config_revision', 'Version of the configuration in force', () => source.configVersion())
    this.addGauge('cowsliplead_rejected_config_entries', 'Entries of the configuration in force that cannot be used', () => source.rejectedEntries())
    this.addGauge('cowsliplead_unreadable_configs', 'Configurations since the start that could not be used at all', () => source.unreadableConfigs())
    this.addGauge('cowsliplead_ready', '1 if the daemon is ready, 0 otherwise', () => source.isReady() ? 1 : 0)
    this.addGauge('cowsliplead_calls_in_flight', 'Requests of callers in flight', () => source.callsInFlight())
    this.addGauge('cowsliplead_policy_revision', 'Revision of the policy document in force', () => source.policyRevision())
    this.addGauge('cowsliplead_event_loop_stalls', 'Event-loop stalls since the start', () => source.stallCount())
    this.addGauge('cowsliplead_log_lines_lost', 'Log lines omitted or dropped since the start', () => source.logLinesLost())
    this.addGauge('cowsliplead_fleet_vms', 'Known entry VMs, this one included', () => source.fleet().vms)
    this.addGauge('cowsliplead_followed_vms', 'Entry VMs that this one follows for changes of the control store', () => source.fleet().follows.length)
    this.addGauge('cowsliplead_followers', 'Entry VMs that follow this one for changes of the control store', () => source.fleet().followers)
    this.addGauge('cowsliplead_key_age_seconds', 'Greatest possible age of the keys in force; NaN where it is not limited or not known', () => (source.keyAgeMs() ?? NaN) / 1000)
    this.addKeyRefusals(() => source.keyRefusals())
    this.addGauge('cowsliplead_over_quota_requests', 'Requests since the start that were refused because of a quota', () => source.quotas().refused)
    this.addGauge('cowsliplead_quota_allowance_requests', 'Requests since the start that ran by the allowance of a VM without contact to the holders of a quota', () => source.quotas().allowanceUsed)
    this.addOutcomes('cowsliplead_quota_leases_total', 'Requests for tokens of customers, by outcome', () => source.quotas().leases)
    this.addGauge('cowsliplead_cut_off', '1 if this VM reaches no upstream, 0 otherwise', () => source.handover()?.reachability.state === 'cutOff' ? 1 : 0)
    this.addGauge('cowsliplead_cuts', 'Times since the start at which this VM reached no upstream', () => source.handover()?.cuts ?? 0)
    this.addOutcomes('cowsliplead_handed_over_calls_total', 'Calls handed to other VMs, by outcome', () => source.handover()?.sent.outcomes)
    this.addOutcomes('cowsliplead_taken_over_calls_total', 'Calls of other VMs, by outcome', () => source.handover()?.taken.outcomes)
    this.addGauge('cowsliplead_processor_seconds', 'Processor time of the process since its start', () => source.processorSeconds())
    this.addGauge('cowsliplead_feed_messages_received', 'Messages from the VMs that this one follows, since the start', () => source.feedMessages().received)
    this.addGauge('cowsliplead_feed_messages_sent', 'Messages to the VMs that follow this one, since the start', () => source.feedMessages().sent)
    this.addGauge('cowsliplead_closed_caller_connections', 'Connections of callers closed since the start because there were too many, or for bytes that are no request', () => source.closedConnections())
    this.addGauge('cowsliplead_evicted_bodies', 'Bodies of requests given up since the start because all together took too much memory', () => source.evictedBodies())
    this.addGauge('cowsliplead_log_writes', 'Writes to the output of the log since the start', () => source.logWrites())
    this.addStoreReads(() => source.storeReads())
    this.addRestarts(() => source.components())
  }

  static create (source: MetricsSource): Metrics {
    return new Metrics(source)
  }

  /** Renders the metrics in the Prometheus text format. */
  async render (): Promise<{ readonly text: string, readonly contentType: string }> {
    return { text: await this.registry.metrics(), contentType: this.registry.contentType }
  }

  private addServiceCounter (name: string, help: string, label: string, field: CounterField): void {
    const { source } = this
    this.registry.registerMetric(new Counter({
      name,
      help,
      labelNames: ['service', label],
      registers: [],
      collect () {
        this.reset()
        for (const { service, counters } of source.forwarders()) {
          for (const [key, value] of (counters as ServiceCounters)[field]) this.inc({ service, [label]: key }, value)
        }
      }
    }))
  }

  private addStrayResponses (): void {
    const { source } = this
    this.registry.registerMetric(new Counter({
      name: 'cowsliplead_stray_responses_total',
      help: 'Responses to other requests that were skipped on connections to upstreams',
      labelNames: ['service'],
      registers: [],
      collect () {
        this.reset()
        for (const { service, counters } of source.forwarders()) this.inc({ service }, counters.strayResponses)
      }
    }))
  }

  private addServiceGauge (name: string, help: string, read: (forwarder: ServiceForwarder) => number): void {
    const { source } = this
    this.registry.registerMetric(new Gauge({
      name,
      help,
      labelNames: ['service'],
      registers: [],
      collect () {
        this.reset()
        for (const forwarder of source.forwarders()) this.set({ service: forwarder.service }, read(forwarder))
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

  /** Creates the histogram of call latencies, which the caller updates. */
  createLatencyHistogram (): Histogram<'service' | 'result'> {
    return new Histogram({
      name: 'cowsliplead_call_seconds',
      help: 'Time from arrival to result',
      labelNames: ['service', 'result'],
      buckets: [0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1, 1.5, 2, 3],
      registers: [this.registry]
    })
  }

  private addKeyRefusals (keyRefusals: MetricsSource['keyRefusals']): void {
    this.registry.registerMetric(new Counter({
      name: 'cowsliplead_key_refusals_total',
      help: 'Requests refused for their key, by result',
      labelNames: ['result'],
      registers: [],
      collect () {
        this.reset()
        for (const [result, count] of keyRefusals()) this.inc({ result }, count)
      }
    }))
  }

  private addOutcomes (name: string, help: string, read: () => Readonly<Record<string, number>> | undefined): void {
    this.registry.registerMetric(new Counter({
      name,
      help,
      labelNames: ['outcome'],
      registers: [],
      collect () {
        this.reset()
        for (const [outcome, count] of Object.entries(read() ?? {})) this.inc({ outcome }, count)
      }
    }))
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

function countUpstreams (forwarder: ServiceForwarder, state: 'ejected' | 'draining' | 'isCold' | 'leaving'): number {
  return forwarder.dispatcher.snapshot().upstreams.filter(upstream => upstream[state]).length
}

function countRateLimited (forwarder: ServiceForwarder): number {
  return forwarder.dispatcher.snapshot().upstreams.filter(({ requestsPerSecond }) => requestsPerSecond !== undefined).length
}

function countPaused (forwarder: ServiceForwarder): number {
  return forwarder.dispatcher.snapshot().upstreams.filter(({ pauseLeftMs }) => pauseLeftMs > 0).length
}
