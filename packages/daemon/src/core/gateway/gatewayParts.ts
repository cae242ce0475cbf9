import { FleetRateDivision } from '@cowsliplead/core/core/limits/rateDivision.js'
import { FleetMembers } from '@cowsliplead/core/core/membership/fleetMembers.js'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { PolicyDocument } from '@cowsliplead/core/types/policyDocument.js'
import type { ControlStore } from '../../types/controlStore.js'
import type { Dialect } from '../../types/dialect.js'
import type { GatewaySettings } from '../../types/gatewaySettings.js'
import { DEFAULT_MACHINE_LIMITS, type MachineLimits } from '../../types/machineLimits.js'
import { SYSTEM_TIMERS } from '../../types/timers.js'
import { Proxy } from '../callers/proxy.js'
import { RequestIds } from '../callers/requestIds.js'
import { ControlState } from '../control/controlState.js'
import { FleetTable } from '../control/fleetTable.js'
import { PolicyPublisher } from '../control/policyPublisher.js'
import { POLICY_KEY } from '../control/policyRecordCodec.js'
import { PolicyRestorer } from '../control/policyRestorer.js'
import { PolicyState } from '../control/policyState.js'
import { SharedSuspects, SUSPECTS_GROUP } from '../control/sharedSuspects.js'
import { Authenticator } from '../customers/authenticator.js'
import { KeyConfirmation } from '../customers/keyConfirmation.js'
import { Fleet } from '../feed/fleet.js'
import { MEMBERS_GROUP } from '../feed/membership.js'
import { Handover } from '../handover/handover.js'
import { BodyBudget } from '../overload/bodyBudget.js'
import { maxConnectionsOf } from '../overload/connectionLimit.js'
import { Quotas } from '../quotas/quotas.js'
import { EventLoopMonitor } from '../supervision/eventLoopMonitor.js'
import { Supervisor } from '../supervision/supervisor.js'
import { TickTimer } from '../supervision/tickTimer.js'
import type { BoundedOutput } from './boundedOutput.js'
import type { GatewayHost } from './gatewayHost.js'
import { CallLog } from './callLog.js'
import { EventLog } from './eventLog.js'
import { FleetPolicy, INITIAL_FLEET_SIZE } from './fleetPolicy.js'
import { GatewayServers } from './gatewayServers.js'
import { GatewayServices } from './gatewayServices.js'
import { MonotonicClock } from './monotonicClock.js'
import { routingPolicyOf } from './routingDefaults.js'

const CONNECT_TIMEOUT_MS: Milliseconds = 500

/** Longest time for which a VM tries to write the policy record again after a restore of the store. */
const POLICY_RESTORE_TIMEOUT_MS: Milliseconds = 30_000

/** External dependencies of the gateway. */
export interface GatewayDependencies {
  readonly store: ControlStore
  readonly dialect: Dialect
  /** Receives the log; standard output by default. */
  readonly output?: BoundedOutput
}

/** The parts of the daemon, created and connected to each other but not started. */
export class GatewayParts {
  readonly clock = MonotonicClock.create()
  private readonly random = SeededRandom.create(process.pid ^ Date.now())
  readonly tickTimer = TickTimer.create(this.clock, error => this.onInternalError('a timer', error))
  readonly eventLog: EventLog
  /** Undefined if the age of keys is not limited. */
  readonly keyConfirmation: KeyConfirmation | undefined
  readonly authenticator: Authenticator
  readonly services: GatewayServices
  readonly fleetPolicy: FleetPolicy
  readonly controlState: ControlState
  readonly policyState: PolicyState
  readonly policyRestorer: PolicyRestorer
  readonly sharedSuspects: SharedSuspects
  readonly fleetTable: FleetTable
  readonly fleet: Fleet
  readonly quotas: Quotas
  /** Undefined if this VM takes no requests of the others. */
  readonly handover: Handover | undefined
  /** What the bodies of callers' requests may take together. */
  readonly bodyBudget: BodyBudget
  readonly proxy: Proxy
  readonly servers: GatewayServers
  readonly supervisor: Supervisor
  readonly eventLoopMonitor: EventLoopMonitor
  /** Stalls of the event loop since the start. */
  stallCount = 0

  private constructor (
    private readonly settings: GatewaySettings,
    private readonly dependencies: GatewayDependencies,
    private readonly host: GatewayHost
  ) {
    const { clock, dependencies: { store } } = this
    this.eventLog = EventLog.create(settings.vmId, clock, dependencies.output)
    const { logger } = this.eventLog
    this.keyConfirmation = KeyConfirmation.create(settings.maxKeyAgeMs, logger)
    this.authenticator = Authenticator.create(dependencies.dialect, this.keyConfirmation?.age)
    this.bodyBudget = BodyBudget.create(this.machine)
    const members = FleetMembers.create(settings.vmId)
    this.handover = this.createHandover(members)
    this.services = this.createServices(members)
    this.fleetPolicy = FleetPolicy.create(settings, this.services)
    this.fleet = this.createFleet(members)
    const { feed, membership } = this.fleet
    this.controlState = ControlState.create({
      store, clock, services: this.services, logger, feed, keyConfirmation: this.keyConfirmation, renewalMs: settings.renewalMs,
      onStoreContact: () => this.fleet.retryLost(),
      onConfig: limits => this.servers.applyLimits(limits)
    })
    this.policyRestorer = this.createPolicyRestorer()
    const onDocument = (document: PolicyDocument): void => this.services.setPolicyDocument(document)
    this.policyState = PolicyState.create({ logger, restorer: this.policyRestorer, onDocument })
    this.sharedSuspects = SharedSuspects.create({ store, clock, logger, importMarks: marks => this.services.importSuspects(marks) })
    const consumers = { [POLICY_KEY]: this.policyState, [SUSPECTS_GROUP]: this.sharedSuspects, [MEMBERS_GROUP]: membership }
    this.fleetTable = FleetTable.create({ store, clock, logger, feed, consumers })
    this.quotas = Quotas.create({ settings, members, clock, random: this.random, logger, config: () => this.services.config })
    this.proxy = this.createProxy()
    this.servers = this.createServers()
    this.supervisor = this.createSupervisor()
    this.eventLoopMonitor = EventLoopMonitor.create(clock, lengthMs => this.onStall(lengthMs))
  }

  static create (settings: GatewaySettings, dependencies: GatewayDependencies, host: GatewayHost): GatewayParts {
    return new GatewayParts(settings, dependencies, host)
  }

  private get machine (): MachineLimits {
    return this.settings.machine ?? DEFAULT_MACHINE_LIMITS
  }

  private createServices (members: FleetMembers): GatewayServices {
    const { clock, tickTimer, settings, eventLog } = this
    const latencyHistogram = this.host.metrics.createLatencyHistogram()
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

  private createFleet (members: FleetMembers): Fleet {
    const { settings, clock, eventLog: { logger }, dependencies: { store } } = this
    return Fleet.create({
      vmId: settings.vmId,
      members,
      failureDomain: settings.failureDomain,
      address: settings.feedAddress,
      maxConnections: maxConnectionsOf(this.machine, 'feed'),
      peerAddress: () => this.servers.peers?.address,
      store,
      clock,
      logger,
      onSizeChange: vms => {
        this.quotas.onMembersChange()
        this.fleetPolicy.onFleetSizeChange(vms)
      },
      confirmations: this.keyConfirmation?.exchange,
      onLeaving: notice => this.services.markLeaving(notice)
    })
  }

  private createHandover (members: FleetMembers): Handover | undefined {
    const { settings, clock, random, eventLog, dependencies: { dialect } } = this
    const { vmId, failureDomain, bodyTimeoutMs } = settings
    if (settings.peerAddress === undefined) return undefined
    return Handover.create({
      vmId, failureDomain, bodyTimeoutMs, members, clock, random, dialect, eventLog,
      maxBodyBytes: () => this.services.config?.limits.maxBodyBytes ?? Infinity,
      bodyBudget: this.bodyBudget,
      forwarders: () => this.services.forwarders(),
      inFlight: () => this.proxy.inFlight,
      stopPlan: () => this.host.stopPlan(),
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
      bodyBudget: this.bodyBudget,
      stopPlan: () => this.host.stopPlan(),
      handover: this.handover,
      onRefused: (request, outcome) => this.eventLog.logRequest('result', { request, outcome }),
      onError: error => this.onInternalError('a request', error)
    })
  }

  private createServers (): GatewayServers {
    return GatewayServers.create({
      settings: this.settings,
      machine: this.machine,
      host: this.host,
      proxy: this.proxy,
      peerHandlers: {
        quota: this.quotas.handler,
        handover: (request, response) => this.handover?.handlePeer(request, response)
      },
      onPeerError: error => this.onInternalError('a request of another VM', error)
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

  private onInternalError (handled: string, error: Error): void {
    this.eventLog.logger.error(`internal error while handling ${handled}`, { error: error.stack })
  }

  private onStall (lengthMs: Milliseconds): void {
    this.stallCount += 1
    this.eventLog.logger.warn('event loop stalled', { lengthMs: Math.round(lengthMs) })
  }
}
