import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import { DEFAULT_ROUTING_POLICY, type RoutingPolicy } from '@cowsliplead/core/types/routingPolicy.js'
import type { ControlStore } from '../../types/controlStore.js'
import type { Dialect } from '../../types/dialect.js'
import type { GatewaySettings } from '../../types/gatewaySettings.js'
import { sleep } from '../../utils/sleep.js'
import { Metrics } from '../operators/metrics.js'
import { Proxy } from '../callers/proxy.js'
import { RequestIds } from '../callers/requestIds.js'
import { TickTimer } from '../supervision/tickTimer.js'
import { AdminServer } from './adminServer.js'
import type { BoundedOutput } from './boundedOutput.js'
import { CallLog } from './callLog.js'
import { CallerServer } from './callerServer.js'
import { ControlState } from './controlState.js'
import { EventLog } from './eventLog.js'
import { GatewayServices } from './gatewayServices.js'
import { MonotonicClock } from './monotonicClock.js'
import { retryBudgetOf } from './retryBudgetShare.js'
import { ReadinessServer } from './readinessServer.js'
import { GATEWAY_ROUTING } from './routingDefaults.js'
import { SharedSuspects } from './sharedSuspects.js'

/** Short against the shortest stall interval. */
const TOUCH_INTERVAL_MS = 20

const CONNECT_TIMEOUT_MS = 500

/** Longest time for a request body, and longest pause within a streamed one. */
const BODY_TIMEOUT_MS = 30_000

/** Part of the grace period in which a stopping daemon accepts connections, until the balancer has noticed. */
const ACCEPT_SHARE = 0.55
/** Part of the grace period after which a stopping daemon ends even with requests in flight. */
const EXIT_SHARE = 0.97
const DRAIN_POLL_MS = 20

/** What the daemon is connected to. */
export interface GatewayPeripherals {
  readonly store: ControlStore
  readonly dialect: Dialect
  /** Where the log goes; standard output where absent. */
  readonly output?: BoundedOutput
}

/** One entry VM's daemon: takes requests of callers to upstreams. */
export class Gateway {
  private readonly clock = MonotonicClock.create()
  private readonly tickTimer = TickTimer.create(this.clock)
  private readonly services: GatewayServices
  private readonly control: ControlState
  private readonly suspects: SharedSuspects
  private readonly proxy: Proxy
  private readonly callerServer: CallerServer
  private readonly readinessServer: ReadinessServer
  private readonly adminServer: AdminServer
  private readonly log: EventLog
  private isStopping = false
  private touchTimer: NodeJS.Timeout | undefined

  private constructor (private settings: GatewaySettings, private readonly peripherals: GatewayPeripherals) {
    const { clock, tickTimer } = this
    const { store, dialect } = peripherals
    const log = EventLog.create(settings.vmId, clock, peripherals.output)
    const metrics = this.createMetrics(log)
    const latencies = metrics.createLatencyHistogram()
    this.log = log
    const { failureDomain, renewalMs } = settings
    this.services = GatewayServices.create({
      clock,
      random: SeededRandom.create(process.pid ^ Date.now()),
      tickTimer,
      dialect,
      limits: { connectTimeoutMs: CONNECT_TIMEOUT_MS },
      failureDomain,
      policy: policyOf(settings),
      observerOf: service => CallLog.create(service, log, latencies),
      onSuspects: marks => this.suspects.publish(marks)
    })
    this.control = ControlState.create({
      store, clock, services: this.services, journal: log.journal, renewalMs, onConfig: () => this.callerServer.applyLimits()
    })
    this.suspects = SharedSuspects.create({
      store, clock, journal: log.journal, importMarks: marks => this.services.importSuspects(marks)
    })
    this.proxy = this.createProxy()
    this.callerServer = CallerServer.create(this.proxy, () => this.services.config?.limits)
    this.readinessServer = ReadinessServer.create(settings.readinessPath, () => this.unreadyReasons())
    this.adminServer = AdminServer.create(metrics, () => this.describe())
  }

  static create (settings: GatewaySettings, peripherals: GatewayPeripherals): Gateway {
    return new Gateway(settings, peripherals)
  }

  /** The port for callers. */
  get publicPort (): number {
    return this.callerServer.port
  }

  /** Starts to read the control store and to serve. */
  async start (): Promise<void> {
    const { services, settings, log: { journal } } = this
    this.touchTimer = setInterval(() => services.touchWaiting(), TOUCH_INTERVAL_MS)
    this.control.start()
    this.suspects.start()
    await this.callerServer.listen(settings.publicAddress)
    await this.readinessServer.listen(settings.readinessAddress)
    await this.adminServer.listen(settings.adminAddress)
    journal.info('started', { vm: settings.vmId, failureDomain: settings.failureDomain })
  }

  /** Takes over settings that may change while the daemon runs: the routing numbers and the retry budget. */
  reload (settings: GatewaySettings): void {
    this.settings = { ...this.settings, routing: settings.routing, retryBudget: settings.retryBudget }
    this.services.setPolicy(policyOf(this.settings))
    this.log.journal.info('settings reloaded', { retryBudget: settings.retryBudget })
  }

  /** A reload failed; the settings in force stay. */
  onReloadFailure (error: Error): void {
    this.log.journal.error('settings cannot be reloaded', { error: error.message })
  }

  /** Stops without interrupting a request; returns the number of requests that outlasted the grace period. */
  async stop (): Promise<number> {
    const { graceMs } = this.settings
    const startedAt = this.clock.now()
    this.isStopping = true
    this.log.journal.info('stopping', { inFlight: this.proxy.inFlight })
    await sleep(graceMs * ACCEPT_SHARE)
    this.callerServer.stopListening()
    while (!this.callerServer.isClosed && this.clock.now() < startedAt + graceMs * EXIT_SHARE) {
      this.callerServer.closeIdle()
      await sleep(DRAIN_POLL_MS)
    }
    const interrupted = this.proxy.inFlight
    this.log.journal.info('stopped', { interrupted })
    this.release()
    return interrupted
  }

  private release (): void {
    clearInterval(this.touchTimer)
    this.control.stop()
    this.suspects.stop()
    this.peripherals.store.close()
    this.readinessServer.close()
    this.adminServer.close()
    this.services.close()
    this.tickTimer.stop()
  }

  /** What keeps the daemon from being ready; empty when it is ready. */
  unreadyReasons (): readonly string[] {
    return this.isStopping ? ['stopping'] : this.control.missing()
  }

  private createProxy (): Proxy {
    return Proxy.create({
      clock: this.clock,
      ids: RequestIds.create(this.settings.vmId),
      dialect: this.peripherals.dialect,
      route: request => this.services.route(request),
      bodyTimeoutMs: BODY_TIMEOUT_MS,
      maxBodyBytes: () => this.services.config?.limits.maxBodyBytes ?? Infinity,
      isStopping: () => this.isStopping,
      onError: error => this.log.journal.error('a request failed inside the daemon', { error: error.stack })
    })
  }

  private createMetrics (log: EventLog): Metrics {
    return Metrics.create({
      services: () => this.services.all(),
      revision: () => this.services.config?.version ?? 0,
      ready: () => this.unreadyReasons().length === 0,
      callsInFlight: () => this.proxy.inFlight,
      logLinesLost: () => log.omitted + log.dropped
    })
  }

  /** The state for the dump. */
  private describe (): Record<string, unknown> {
    const { vmId, failureDomain } = this.settings
    return {
      vmId,
      failureDomain,
      unreadyReasons: this.unreadyReasons(),
      inFlight: this.proxy.inFlight,
      control: this.control.describe(),
      services: Object.fromEntries(this.services.all().map(host => [host.service, host.describe()]))
    }
  }
}

function policyOf (settings: GatewaySettings): RoutingPolicy {
  return { ...DEFAULT_ROUTING_POLICY, ...GATEWAY_ROUTING, ...settings.routing, ...retryBudgetOf(settings.retryBudget) }
}
