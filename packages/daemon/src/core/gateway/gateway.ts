import { FleetRateDivision } from '@cowsliplead/core/core/limits/rateDivision.js'
import { FleetMembers } from '@cowsliplead/core/core/membership/fleetMembers.js'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
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
import { Handover } from '../handover/handover.js'
import { PeerServer } from '../peers/peerServer.js'
import { PolicyPublisher } from '../control/policyPublisher.js'
import { Authenticator } from '../customers/authenticator.js'
import { KeyConfirmation } from '../customers/keyConfirmation.js'
import { PolicyRestorer } from '../control/policyRestorer.js'
import { PolicyState, POLICY_KEY } from '../control/policyState.js'
import { SharedSuspects, SUSPECTS_GROUP } from '../control/sharedSuspects.js'
import { Quotas } from '../quotas/quotas.js'
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
import { StopPlan } from './stopPlan.js'
import { routingPolicyOf } from './routingDefaults.js'

/** How often attempts that wait for a slow caller report progress; short compared with the shortest stall timeout. */
const PROGRESS_REPORT_INTERVAL_MS: Milliseconds = 50

const CONNECT_TIMEOUT_MS: Milliseconds = 500

/** Longest time after the start that the daemon waits for the policy document; it then serves with the defaults. */
const POLICY_WAIT_MS: Milliseconds = 3000

/** Longest time for which a VM tries to write the policy record again after a restore of the store. */
const POLICY_RESTORE_TIMEOUT_MS: Milliseconds = 30_000

/** Assumed number of entry VMs until the others are known: this one. */
const INITIAL_FLEET_SIZE = 1

const DRAIN_POLL_MS: Milliseconds = 20

/** External dependencies of the gateway. */
export interface GatewayDependencies {
  readonly store: ControlStore
  readonly dialect: Dialect
  /** Receives the log; standard output by default. */
  readonly output?: BoundedOutput
}

/** Daemon of one entry VM: forwards the requests of callers to upstreams. */
export class Gateway {
  private readonly clock = MonotonicClock.create()
  private readonly random = SeededRandom.create(process.pid ^ Date.now())
  private readonly tickTimer = TickTimer.create(this.clock, error => this.onInternalError('a timer', error))
  private readonly eventLog: EventLog
  /** Undefined if the age of keys is not limited. */
  private readonly keyConfirmation: KeyConfirmation | undefined
  private readonly authenticator: Authenticator
  private readonly services: GatewayServices
  private readonly controlState: ControlState
  private readonly policyState: PolicyState
  private readonly policyRestorer: PolicyRestorer
  private readonly sharedSuspects: SharedSuspects
  private readonly fleetTable: FleetTable
  private readonly fleet: Fleet
  /** Undefined if this VM takes no requests of the others. */
  private readonly peerServer: PeerServer | undefined
  private readonly quotas: Quotas
  /** Undefined if this VM takes no requests of the others. */
  private readonly handover: Handover | undefined
  private readonly proxy: Proxy
  private readonly callerServer: CallerServer
  private readonly readinessServer: ReadinessServer
  private readonly adminServer: AdminServer
  private readonly supervisor: Supervisor
  private readonly eventLoopMonitor: EventLoopMonitor
  private readonly startedAt = this.clock.now()
  private stallCount = 0
  private fleetSize = INITIAL_FLEET_SIZE
  /** Set once the daemon is stopping. */
  private stopPlan: StopPlan | undefined
  private progressTimer: NodeJS.Timeout | undefined

  private constructor (private settings: GatewaySettings, private readonly dependencies: GatewayDependencies) {
    const { clock } = this
    const { store } = dependencies
    this.eventLog = EventLog.create(settings.vmId, clock, dependencies.output)
    const { logger } = this.eventLog
    this.keyConfirmation = KeyConfirmation.create(settings.maxKeyAgeMs, logger)
    this.authenticator = Authenticator.create(dependencies.dialect, this.keyConfirmation?.age)
    const metrics = this.createMetrics()
    const members = FleetMembers.create(settings.vmId)
    this.handover = this.createHandover(members)
    this.services = this.createServices(metrics, members)
    this.fleet = Fleet.create({
      vmId: settings.vmId,
      members,
      failureDomain: settings.failureDomain,
      address: settings.feedAddress,
      peerAddress: () => this.peerServer?.address,
      store,
      clock,
      logger,
      onSizeChange: vms => {
        this.quotas.onMembersChange()
        this.onFleetSizeChange(vms)
      },
      confirmations: this.keyConfirmation?.exchange,
      onLeaving: notice => this.services.markLeaving(notice)
    })
    const { feed, membership } = this.fleet
    this.controlState = ControlState.create({
      store, clock, services: this.services, logger, feed, keyConfirmation: this.keyConfirmation, renewalMs: settings.renewalMs, onConfig: () => this.callerServer.applyLimits()
    })
    this.policyRestorer = this.createPolicyRestorer()
    this.policyState = PolicyState.create({
      logger, restorer: this.policyRestorer, onDocument: document => this.services.setPolicyDocument(document)
    })
    this.sharedSuspects = SharedSuspects.create({ store, clock, logger, importMarks: marks => this.services.importSuspects(marks) })
    this.fleetTable = FleetTable.create({
      store,
      clock,
      logger,
      feed,
      consumers: { [POLICY_KEY]: this.policyState, [SUSPECTS_GROUP]: this.sharedSuspects, [MEMBERS_GROUP]: membership }
    })
    this.quotas = Quotas.create({ settings, members, clock, random: this.random, logger, config: () => this.services.config })
    this.proxy = this.createProxy()
    this.peerServer = this.createPeerServer()
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
    this.eventLoopMonitor = EventLoopMonitor.create(clock, lengthMs => this.onStall(lengthMs))
  }

  static create (settings: GatewaySettings, dependencies: GatewayDependencies): Gateway {
    return new Gateway(settings, dependencies)
  }

  /** Ports that the daemon listens on. */
  get ports (): { readonly public: number, readonly readiness: number, readonly admin: number } {
    return { public: this.callerServer.port, readiness: this.readinessServer.port, admin: this.adminServer.port }
  }

  /** Starts reading the control store and serving requests. */
  async start (): Promise<void> {
    const { services, settings, eventLog: { logger } } = this
    this.progressTimer = setInterval(() => services.reportProgressOfWaiting(), PROGRESS_REPORT_INTERVAL_MS)
    for (const component of this.components()) await this.supervisor.add(component)
    this.fleet.start()
    this.handover?.start()
    this.eventLoopMonitor.start()
    logger.info('started', { vm: settings.vmId, failureDomain: settings.failureDomain })
  }

  /** Applies the settings that may change while the daemon runs: the routing policy and the retry budget. */
  reload (settings: GatewaySettings): void {
    this.settings = { ...this.settings, routing: settings.routing, retryBudget: settings.retryBudget }
    this.services.setPolicy(routingPolicyOf(this.settings, this.fleetSize), this.fleetSize)
    this.eventLog.logger.info('settings reloaded', { retryBudget: settings.retryBudget })
  }

  /** Logs that a reload failed; the settings in force stay. */
  onReloadFailure (error: Error): void {
    this.eventLog.logger.error('settings reload failed', { error: error.message })
  }

  /** Drains the daemon and stops it; returns the number of requests interrupted at the end of the grace period. */
  async stop (): Promise<number> {
    const plan = StopPlan.create(this.clock.now(), this.settings.graceMs)
    this.stopPlan = plan
    this.eventLog.logger.info('stopping', { inFlight: this.proxy.inFlight })
    await sleep(plan.listensUntil - this.clock.now())
    this.callerServer.stopListening()
    while ((!this.callerServer.isClosed || this.proxy.inFlight > 0) && this.clock.now() < plan.exitsAt) {
      this.callerServer.closeIdleConnections()
      await sleep(DRAIN_POLL_MS)
    }
    const interrupted = this.proxy.inFlight
    this.eventLog.logger.info('stopped', { interrupted })
    await this.releaseResources()
    return interrupted
  }

  /** Why the daemon is not ready; empty when it is. */
  unreadyReasons (): readonly string[] {
    if (this.stopPlan !== undefined) return ['stopping']
    const reasons = this.supervisor.failingComponents().map(name => `${name} fails repeatedly`)
    reasons.push(...this.controlState.missing())
    reasons.push(...this.keyConfirmation?.missing() ?? [])
    const isWaitingForPolicy = this.clock.now() < this.startedAt + POLICY_WAIT_MS
    if (isWaitingForPolicy && !this.fleetTable.isLoaded) reasons.push('the policy is not known')
    return reasons
  }

  /** Status summary for operators. */
  status (): DaemonStatus {
    const { vmId, failureDomain } = this.settings
    const reasons = [...this.unreadyReasons()]
    return {
      vmId,
      failureDomain,
      ready: reasons.length === 0,
      reasons,
      policyRevision: this.policyState.revision,
      configVersion: this.services.config?.version,
      rejectedEntries: this.services.config?.rejectedEntries?.map(entry => ({ ...entry })),
      evacuatedDomains: this.controlState.evacuations.domains(),
      storeAgeMs: this.controlState.storeAgeMs,
      keyAgeMs: this.keyConfirmation?.roundedAgeMs,
      callsInFlight: this.proxy.inFlight,
      components: this.supervisor.componentStates()
    }
  }

  /** Recomputes this VM's share of the fleet's budgets. */
  private onFleetSizeChange (vms: number): void {
    if (vms === this.fleetSize) return
    this.fleetSize = vms
    this.services.setPolicy(routingPolicyOf(this.settings, vms), vms)
  }

  private tableReaders (): readonly TableReader[] {
    return [...this.controlState.readers, this.fleetTable.reader]
  }

  /** All supervised components, in the order in which they start. */
  private components (): readonly Component[] {
    const peerServers = this.peerServer === undefined ? [] : [this.peerServer]
    return [this.fleet.server, ...peerServers, ...this.tableReaders(), this.callerServer, this.readinessServer, this.adminServer]
  }

  private async releaseResources (): Promise<void> {
    clearInterval(this.progressTimer)
    this.eventLoopMonitor.stop()
    this.handover?.stop()
    await this.supervisor.stop()
    this.controlState.close()
    this.policyRestorer.close()
    this.fleet.close()
    this.sharedSuspects.close()
    this.dependencies.store.close()
    this.services.close()
    this.quotas.close()
    this.tickTimer.stop()
  }

  private createServices (metrics: Metrics, members: FleetMembers): GatewayServices {
    const { clock, tickTimer, settings, eventLog } = this
    const latencyHistogram = metrics.createLatencyHistogram()
    const onError = (error: Error): void => this.onInternalError('a response', error)
    return GatewayServices.create({
      clock,
      random: this.random,
      tickTimer,
      dialect: this.dependencies.dialect,
      authenticator: this.authenticator,
      connectionSettings: { connectTimeoutMs: CONNECT_TIMEOUT_MS, onError },
      onError,
      vmId: settings.vmId,
      failureDomain: settings.failureDomain,
      policy: routingPolicyOf(settings, INITIAL_FLEET_SIZE),
      rateDivision: FleetRateDivision.create(members, settings.vmId),
      observerOf: service => CallLog.create(service, eventLog, latencyHistogram),
      onSuspects: marks => this.sharedSuspects.publish(marks),
      onLeaving: (upstreamId, incarnation) => this.fleet.leaving.add(upstreamId, incarnation),
      ...(this.handover === undefined ? {} : { contacts: this.handover.reachability })
    })
  }

  private createHandover (members: FleetMembers): Handover | undefined {
    const { settings, clock, random, eventLog, dependencies: { dialect } } = this
    const { vmId, failureDomain, bodyTimeoutMs } = settings
    if (settings.peerAddress === undefined) return undefined
    return Handover.create({
      vmId, failureDomain, bodyTimeoutMs, members, clock, random, dialect, eventLog,
      maxBodyBytes: () => this.services.config?.limits.maxBodyBytes ?? Infinity,
      forwarders: () => this.services.forwarders(),
      inFlight: () => this.proxy.inFlight,
      stopPlan: () => this.stopPlan,
      serve: (request, response, elapsedMs) => this.proxy.handle(request, response, elapsedMs)
    })
  }

  private createPolicyRestorer (): PolicyRestorer {
    const { clock, random, eventLog: { logger }, dependencies: { store } } = this
    const publisher = PolicyPublisher.create({ store, clock, timeoutMs: POLICY_RESTORE_TIMEOUT_MS })
    return PolicyRestorer.create({ publisher, random, logger })
  }

  private createProxy (): Proxy {
    return Proxy.create({
      clock: this.clock,
      ids: RequestIds.create(this.settings.vmId),
      dialect: this.dependencies.dialect,
      route: request => this.services.route(request),
      admit: (customer, decide) => this.quotas.admit(customer, decide),
      bodyTimeoutMs: this.settings.bodyTimeoutMs,
      maxBodyBytes: () => this.services.config?.limits.maxBodyBytes ?? Infinity,
      stopPlan: () => this.stopPlan,
      handover: this.handover,
      onRefused: (request, outcome) => this.eventLog.logRequest('result', { request, outcome }),
      onError: error => this.onInternalError('a request', error)
    })
  }

  private createPeerServer (): PeerServer | undefined {
    const { peerAddress } = this.settings
    return peerAddress === undefined
      ? undefined
      : PeerServer.create({
          address: peerAddress,
          handlers: {
            quota: this.quotas.handler,
            handover: (request, response) => this.handover?.handlePeer(request, response)
          },
          onError: error => this.onInternalError('a request of another VM', error)
        })
  }

  private createSupervisor (): Supervisor {
    const { logger } = this.eventLog
    return Supervisor.create(this.clock, SYSTEM_TIMERS, {
      onFailure: (component, error, restartInMs) => logger.error('component failed', { component, error: error.stack, restartInMs }),
      onStart: (component, restarts) => {
        if (restarts > 0) logger.info('component started again', { component, restarts })
      }
    })
  }

  private createMetrics (): Metrics {
    return Metrics.create({
      forwarders: () => this.services.forwarders(),
      configVersion: () => this.services.config?.version ?? 0,
      rejectedEntries: () => this.services.config?.rejectedEntries?.length ?? 0,
      unreadableConfigs: () => this.controlState.unreadableConfigs,
      evacuatedDomains: () => this.controlState.evacuations.count,
      policyRevision: () => this.policyState.revision,
      keyAgeMs: () => this.keyConfirmation?.roundedAgeMs,
      keyRefusals: () => this.authenticator.refusals,
      isReady: () => this.unreadyReasons().length === 0,
      callsInFlight: () => this.proxy.inFlight,
      logLinesLost: () => this.eventLog.omitted + this.eventLog.dropped,
      stallCount: () => this.stallCount,
      fleet: () => this.fleet.snapshot(),
      quotas: () => this.quotas.counters,
      handover: () => this.handover?.snapshot(),
      storeReads: () => this.tableReaders().map(({ table, reads }) => ({ table, reads })),
      components: () => this.supervisor.componentStates()
    })
  }

  private onInternalError (handled: string, error: Error): void {
    this.eventLog.logger.error(`internal error while handling ${handled}`, { error: error.stack })
  }

  private onStall (lengthMs: Milliseconds): void {
    this.stallCount += 1
    this.eventLog.logger.warn('event loop stalled', { lengthMs: Math.round(lengthMs) })
  }

  /** Complete state for the dump. */
  private describe (): Record<string, unknown> {
    return {
      ...this.status(),
      control: this.controlState.describe(),
      fleet: this.fleet.snapshot(),
      quotas: this.quotas.describe(),
      handover: this.handover?.snapshot(),
      policy: this.services.policyDocument,
      services: Object.fromEntries(this.services.forwarders().map(forwarder => [forwarder.service, forwarder.describe()]))
    }
  }
}
