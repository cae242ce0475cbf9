import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import { DEFAULT_ROUTING_POLICY, type RoutingPolicy } from '@cowsliplead/core/types/routingPolicy.js'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Component } from '../../types/component.js'
import type { ControlStore } from '../../types/controlStore.js'
import type { DaemonStatus } from '../../types/daemonStatus.js'
import type { Dialect } from '../../types/dialect.js'
import type { GatewaySettings } from '../../types/gatewaySettings.js'
import { SYSTEM_TIMERS } from '../../types/timers.js'
import { sleep } from '../../utils/sleep.js'
import { Proxy } from '../callers/proxy.js'
import { RequestIds } from '../callers/requestIds.js'
import { ControlState } from '../control/controlState.js'
import { FleetTable } from '../control/fleetTable.js'
import { Fleet } from '../feed/fleet.js'
import { MEMBERS_GROUP } from '../feed/membership.js'
import { PolicyState, POLICY_KEY } from '../control/policyState.js'
import { SharedSuspects, SUSPECTS_GROUP } from '../control/sharedSuspects.js'
import type { TableReader } from '../control/tableReader.js'
import { Metrics } from '../operators/metrics.js'
import { EventLoopMonitor } from '../supervision/eventLoopMonitor.js'
import { Supervisor } from '../supervision/supervisor.js'
import { TickTimer } from '../supervision/tickTimer.js'
import { AdminServer } from './adminServer.js'
import type { BoundedOutput } from './boundedOutput.js'
import { CallLog } from './callLog.js'
import { CallerServer } from './callerServer.js'
import { EventLog } from './eventLog.js'
import { GatewayServices } from './gatewayServices.js'
import { MonotonicClock } from './monotonicClock.js'
import { ReadinessServer } from './readinessServer.js'
import { vmShareOf } from './vmShare.js'
import { GATEWAY_ROUTING } from './routingDefaults.js'

/** Short against the shortest stall interval. */
const TOUCH_INTERVAL_MS: Milliseconds = 20

const CONNECT_TIMEOUT_MS: Milliseconds = 500

/** Longest time after the start for which a VM waits for the policy document; it then serves with the defaults. */
const POLICY_WAIT_MS: Milliseconds = 3000

/** Number of VMs before the others are known. */
const SOLE_VM = 1

/** Part of the grace period in which a stopping daemon accepts connections, until the balancer has noticed. */
const ACCEPT_SHARE = 0.55
/** Part of the grace period after which a stopping daemon ends even with requests in flight. */
const EXIT_SHARE = 0.97
const DRAIN_POLL_MS: Milliseconds = 20

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
  private readonly log: EventLog
  private readonly services: GatewayServices
  private readonly control: ControlState
  private readonly policy: PolicyState
  private readonly suspects: SharedSuspects
  private readonly fleetTable: FleetTable
  private readonly fleet: Fleet
  private readonly proxy: Proxy
  private readonly callerServer: CallerServer
  private readonly readinessServer: ReadinessServer
  private readonly adminServer: AdminServer
  private readonly supervisor: Supervisor
  private readonly monitor: EventLoopMonitor
  private readonly startedAt = this.clock.now()
  private stalls = 0
  private fleetSize = SOLE_VM
  private isStopping = false
  private touchTimer: NodeJS.Timeout | undefined

  private constructor (private settings: GatewaySettings, private readonly peripherals: GatewayPeripherals) {
    const { clock } = this
    const { store } = peripherals
    this.log = EventLog.create(settings.vmId, clock, peripherals.output)
    const { journal } = this.log
    const metrics = this.createMetrics()
    this.services = this.createServices(metrics)
    this.fleet = Fleet.create({
      vmId: settings.vmId, address: settings.feedAddress, store, clock, journal, onSize: vms => this.onFleetSize(vms)
    })
    const { feed, membership } = this.fleet
    this.control = ControlState.create({
      store, clock, services: this.services, journal, feed, renewalMs: settings.renewalMs, onConfig: () => this.callerServer.applyLimits()
    })
    this.policy = PolicyState.create({ journal, onDocument: document => this.services.setDocument(document) })
    this.suspects = SharedSuspects.create({ store, clock, journal, importMarks: marks => this.services.importSuspects(marks) })
    this.fleetTable = FleetTable.create({
      store, clock, journal, feed, consumers: { [POLICY_KEY]: this.policy, [SUSPECTS_GROUP]: this.suspects, [MEMBERS_GROUP]: membership }
    })
    this.proxy = this.createProxy()
    this.callerServer = CallerServer.create({
      address: settings.publicAddress, proxy: this.proxy, limits: () => this.services.config?.limits
    })
    this.readinessServer = ReadinessServer.create({
      address: settings.readinessAddress, path: settings.readinessPath, unreadyReasons: () => this.unreadyReasons()
    })
    this.adminServer = AdminServer.create({
      address: settings.adminAddress, metrics, status: () => this.status(), dump: () => this.describe()
    })
    this.supervisor = this.createSupervisor()
    this.monitor = EventLoopMonitor.create(clock, lengthMs => this.onStall(lengthMs))
  }

  static create (settings: GatewaySettings, peripherals: GatewayPeripherals): Gateway {
    return new Gateway(settings, peripherals)
  }

  /** The ports that the daemon listens on. */
  get ports (): { readonly public: number, readonly readiness: number, readonly admin: number } {
    return { public: this.callerServer.port, readiness: this.readinessServer.port, admin: this.adminServer.port }
  }

  /** Starts to read the control store and to serve. */
  async start (): Promise<void> {
    const { services, settings, log: { journal } } = this
    this.touchTimer = setInterval(() => services.touchWaiting(), TOUCH_INTERVAL_MS)
    for (const component of this.components()) await this.supervisor.add(component)
    this.fleet.start()
    this.monitor.start()
    journal.info('started', { vm: settings.vmId, failureDomain: settings.failureDomain })
  }

  /** Takes over settings that may change while the daemon runs: the routing numbers and the retry budget. */
  reload (settings: GatewaySettings): void {
    this.settings = { ...this.settings, routing: settings.routing, retryBudget: settings.retryBudget }
    this.services.setPolicy(policyOf(this.settings, this.fleetSize), this.fleetSize)
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
    await this.release()
    return interrupted
  }

  /** What keeps the daemon from being ready; empty when it is ready. */
  unreadyReasons (): readonly string[] {
    if (this.isStopping) return ['stopping']
    const reasons = this.supervisor.failing().map(name => `${name} fails repeatedly`)
    reasons.push(...this.control.missing())
    const waitsForPolicy = this.clock.now() < this.startedAt + POLICY_WAIT_MS
    if (waitsForPolicy && !this.fleetTable.isKnown) reasons.push('the policy is not known')
    return reasons
  }

  /** Short state for operators. */
  status (): DaemonStatus {
    const { vmId, failureDomain } = this.settings
    const reasons = [...this.unreadyReasons()]
    return {
      vmId,
      failureDomain,
      ready: reasons.length === 0,
      reasons,
      policyRevision: this.policy.revision,
      configVersion: this.services.config?.version,
      storeAgeMs: this.control.storeAgeMs,
      callsInFlight: this.proxy.inFlight,
      components: this.supervisor.states()
    }
  }

  /** Divides what the fleet is allowed anew. */
  private onFleetSize (vms: number): void {
    if (vms === this.fleetSize) return
    this.fleetSize = vms
    this.services.setPolicy(policyOf(this.settings, vms), vms)
  }

  private readers (): readonly TableReader[] {
    return [...this.control.readers, this.fleetTable.reader]
  }

  /** In the order of their start. */
  private components (): readonly Component[] {
    return [this.fleet.server, ...this.readers(), this.callerServer, this.readinessServer, this.adminServer]
  }

  private async release (): Promise<void> {
    clearInterval(this.touchTimer)
    this.monitor.stop()
    await this.supervisor.stop()
    this.control.close()
    this.fleet.close()
    this.suspects.close()
    this.peripherals.store.close()
    this.services.close()
    this.tickTimer.stop()
  }

  private createServices (metrics: Metrics): GatewayServices {
    const { clock, tickTimer, settings, log } = this
    const latencies = metrics.createLatencyHistogram()
    return GatewayServices.create({
      clock,
      random: SeededRandom.create(process.pid ^ Date.now()),
      tickTimer,
      dialect: this.peripherals.dialect,
      limits: { connectTimeoutMs: CONNECT_TIMEOUT_MS },
      vmId: settings.vmId,
      failureDomain: settings.failureDomain,
      policy: policyOf(settings, SOLE_VM),
      observerOf: service => CallLog.create(service, log, latencies),
      onSuspects: marks => this.suspects.publish(marks)
    })
  }

  private createProxy (): Proxy {
    return Proxy.create({
      clock: this.clock,
      ids: RequestIds.create(this.settings.vmId),
      dialect: this.peripherals.dialect,
      route: request => this.services.route(request),
      bodyTimeoutMs: this.settings.bodyTimeoutMs,
      maxBodyBytes: () => this.services.config?.limits.maxBodyBytes ?? Infinity,
      isStopping: () => this.isStopping,
      onError: error => this.log.journal.error('a request failed inside the daemon', { error: error.stack })
    })
  }

  private createSupervisor (): Supervisor {
    const { journal } = this.log
    return Supervisor.create(this.clock, SYSTEM_TIMERS, {
      onFailure: (component, error, restartInMs) => journal.error('component failed', { component, error: error.stack, restartInMs }),
      onStart: (component, restarts) => {
        if (restarts > 0) journal.info('component started again', { component, restarts })
      }
    })
  }

  private createMetrics (): Metrics {
    return Metrics.create({
      services: () => this.services.all(),
      revision: () => this.services.config?.version ?? 0,
      policyRevision: () => this.policy.revision,
      ready: () => this.unreadyReasons().length === 0,
      callsInFlight: () => this.proxy.inFlight,
      logLinesLost: () => this.log.omitted + this.log.dropped,
      stalls: () => this.stalls,
      fleet: () => this.fleet.snapshot(),
      storeReads: () => this.readers().map(({ table, reads }) => ({ table, reads })),
      components: () => this.supervisor.states()
    })
  }

  private onStall (lengthMs: Milliseconds): void {
    this.stalls += 1
    this.log.journal.warn('event-loop stall', { lengthMs: Math.round(lengthMs) })
  }

  /** The state for the dump. */
  private describe (): Record<string, unknown> {
    return {
      ...this.status(),
      control: this.control.describe(),
      fleet: this.fleet.snapshot(),
      policy: this.services.policyDocument,
      services: Object.fromEntries(this.services.all().map(host => [host.service, host.describe()]))
    }
  }
}

function policyOf (settings: GatewaySettings, fleetSize: number): RoutingPolicy {
  return { ...DEFAULT_ROUTING_POLICY, ...GATEWAY_ROUTING, ...settings.routing, ...vmShareOf(settings, fleetSize) }
}
