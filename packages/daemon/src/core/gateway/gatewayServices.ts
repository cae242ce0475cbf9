import type { IncomingMessage } from 'node:http'
import { capPolicies, resolvePolicy, resolvePolicyExceptions, type ServicePolicies } from '@cowsliplead/core/core/configuration/effectivePolicy.js'
import { Dispatcher } from '@cowsliplead/core/core/dispatch/dispatcher.js'
import type { UpstreamReachability } from '@cowsliplead/core/core/handover/upstreamReachability.js'
import { ExpectedDelayPicker } from '@cowsliplead/core/core/routing/expectedDelayPicker.js'
import { RouteTable } from '@cowsliplead/core/core/routing/routeTable.js'
import { RouteKinds } from '@cowsliplead/core/core/routing/routeKinds.js'
import type { RateDivision } from '@cowsliplead/core/core/limits/rateDivision.js'
import type { Clock } from '@cowsliplead/core/types/clock.js'
import type { RandomSource } from '@cowsliplead/core/types/randomSource.js'
import type { ResultCodeName } from '@cowsliplead/core/types/resultCode.js'
import { policyDocumentSchema, type PolicyDocument } from '@cowsliplead/core/types/policyDocument.js'
import type { RoutingPolicy } from '@cowsliplead/core/types/routingPolicy.js'
import type { RouteConfig, ServiceTarget } from '@cowsliplead/core/types/routes.js'
import type { SuspectMark } from '@cowsliplead/core/types/suspectMark.js'
import type { Upstream } from '@cowsliplead/core/types/upstream.js'
import type { Dialect } from '../../types/dialect.js'
import type { LeavingNotice } from '../../types/feedMessage.js'
import type { RequestTarget } from '../callers/proxy.js'
import type { Authenticator } from '../customers/authenticator.js'
import type { ControlTarget } from '../control/controlState.js'
import type { CallObserver } from '../upstreams/callObserver.js'
import type { ContactObserver } from '../upstreams/loadProber.js'
import { ServiceForwarder } from '../upstreams/serviceForwarder.js'
import type { TickTimer } from '../supervision/tickTimer.js'
import { ServiceCounters } from '../upstreams/serviceCounters.js'
import { UpstreamConnections, type ConnectionSettings } from '../upstreams/upstreamConnections.js'

const EMPTY_DOCUMENT: PolicyDocument = policyDocumentSchema.parse({})

/** Options of the gateway services. */
export interface GatewayServicesOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly tickTimer: TickTimer
  readonly dialect: Dialect
  readonly authenticator: Authenticator
  readonly connectionSettings: ConnectionSettings
  readonly vmId: string
  readonly failureDomain: string
  readonly policy: RoutingPolicy
  readonly rateDivision: RateDivision
  /** Returns the observer of the decisions about calls of a service. */
  readonly observerOf: (service: string) => CallObserver
  /** Notified of what reaches upstreams, and of the registered ones. */
  readonly contacts?: ContactObserver & Pick<UpstreamReachability, 'setUpstreams'>
  /** Called when requests are marked as suspect because they crashed an upstream. */
  readonly onSuspects: (marks: readonly SuspectMark[]) => void
  /** See `ServiceForwarderOptions`. */
  readonly onError: (error: Error) => void
  /** Called when an upstream says that it is leaving. */
  readonly onLeaving: (upstreamId: string, incarnation: number | undefined) => void
}

/** One forwarder for each service of the configuration in force, and the route table that selects among them. */
export class GatewayServices implements ControlTarget {
  private routeTable: RouteTable | undefined
  private routeKinds = RouteKinds.create()
  private readonly forwardersByService = new Map<string, ServiceForwarder>()
  /** Undefined until read: if the first list were empty, the actual upstreams would count as newly started. */
  private upstreams: readonly Upstream[] | undefined
  private evacuatedDomains: ReadonlySet<string> = new Set()
  private document = EMPTY_DOCUMENT
  /** Entry VMs known to this one, itself included. */
  private entryVmCount = 1
  /** Forwarders of services that were removed from the configuration, until their last call ends. */
  private retired: ServiceForwarder[] = []

  private constructor (private readonly options: GatewayServicesOptions, private policy: RoutingPolicy) {}

  static create (options: GatewayServicesOptions): GatewayServices {
    return new GatewayServices(options, options.policy)
  }

  get config (): RouteConfig | undefined {
    return this.routeTable?.config
  }

  /** The operators' policy document (defaults and exceptions) in force. */
  get policyDocument (): PolicyDocument {
    return this.document
  }

  forwarders (): ServiceForwarder[] {
    return [...this.forwardersByService.values()]
  }

  /** Applies a new configuration. */
  setConfig (config: RouteConfig): void {
    this.routeTable = RouteTable.create(config, this.routeTable)
    this.routeKinds = RouteKinds.create()
    this.options.authenticator.setConfig(config)
    for (const service of this.forwardersByService.keys()) {
      if (!config.services.has(service)) this.retire(service)
    }
    this.updateForwarders()
  }

  /** Applies a new list of the registered upstreams of all services. */
  setUpstreams (upstreams: readonly Upstream[]): void {
    this.upstreams = upstreams
    this.options.contacts?.setUpstreams(upstreams)
    for (const forwarder of this.forwardersByService.values()) this.updateUpstreams(forwarder)
    this.closeRetired()
  }

  /** Applies a new set of evacuated failure domains, also to the calls of services that were removed. */
  setEvacuatedDomains (domains: ReadonlySet<string>): void {
    this.evacuatedDomains = domains
    for (const forwarder of [...this.forwardersByService.values(), ...this.retired]) forwarder.setEvacuatedDomains(domains)
  }

  /** Applies a changed routing policy and number of entry VMs. */
  setPolicy (policy: RoutingPolicy, entryVmCount: number): void {
    this.policy = policy
    this.entryVmCount = entryVmCount
    this.updateForwarders()
  }

  /** Applies the operators' defaults and exceptions. */
  setPolicyDocument (document: PolicyDocument): void {
    this.document = document
    this.updateForwarders()
  }

  /** Imports other VMs' marks of requests that crashed upstreams. */
  importSuspects (marks: readonly SuspectMark[]): void {
    for (const forwarder of this.forwardersByService.values()) forwarder.dispatcher.importSuspects(marks)
  }

  /** Stops new work for an upstream that has told another VM that it is leaving. */
  markLeaving ({ upstreamId, incarnation }: LeavingNotice): void {
    for (const forwarder of [...this.forwardersByService.values(), ...this.retired]) forwarder.markLeaving(upstreamId, incarnation)
  }

  /** Returns the forwarder, kind and customer of a caller's request, or the result code with which it is refused. */
  route (request: IncomingMessage): RequestTarget | ResultCodeName {
    if (this.routeTable === undefined) return 'notReady'
    if (headBytesOf(request) > this.routeTable.config.limits.maxHeaderBytes) return 'headTooLarge'
    const match = this.routeTable.match(request.headers.host ?? '', request.url as string)
    if (match === undefined) return 'noService'
    if (match.service === undefined) return 'routeUnavailable'
    const { authenticator } = this.options
    const customer = authenticator.identify(request, match.route)
    if (typeof customer === 'string') return customer
    const forwarder = this.forwardersByService.get(match.service)
    if (forwarder === undefined) return 'noUpstream'
    return { forwarder, kind: this.routeKinds.kindOf(match.route, customer?.priority), customer, hidesCredentials: authenticator.isActive }
  }

  /** Reports progress for attempts that wait for slow callers, so that they are not treated as stalled. */
  reportProgressOfWaiting (): void {
    for (const forwarder of this.forwardersByService.values()) forwarder.reportProgressOfWaiting()
    for (const forwarder of this.retired) forwarder.reportProgressOfWaiting()
  }

  close (): void {
    for (const forwarder of [...this.forwardersByService.values(), ...this.retired]) forwarder.close()
  }

  private updateForwarders (): void {
    for (const target of this.config?.services.values() ?? []) this.updateForwarder(target)
  }

  private updateForwarder (target: ServiceTarget): void {
    const { policy, exceptions } = this.resolvePolicies(target)
    const forwarder = this.forwardersByService.get(target.name) ?? this.createForwarder(target, policy)
    this.forwardersByService.set(target.name, forwarder)
    forwarder.setPolicy(policy, exceptions)
    forwarder.setHealthPath(target.healthPath)
    forwarder.dispatcher.setWarmup(target.warmup)
    this.updateUpstreams(forwarder)
  }

  /** Resolves the service's policies. Operators may lower the limits that the platform sets, but not raise them. */
  private resolvePolicies ({ name, maxConnections }: ServiceTarget): ServicePolicies {
    const { retryBudgetShare, retryBudgetCalls, measuringMessagesPerUpstreamSecond } = this.policy
    const basePolicy = { ...this.policy, connectionsPerUpstream: maxConnections }
    const policies = {
      policy: resolvePolicy(basePolicy, this.document, { service: name }),
      exceptions: resolvePolicyExceptions(basePolicy, this.document, name)
    }
    return capPolicies(policies, {
      connectionsPerUpstream: maxConnections, retryBudgetShare, retryBudgetCalls, measuringMessagesPerUpstreamSecond
    })
  }

  private createForwarder ({ name }: ServiceTarget, policy: RoutingPolicy): ServiceForwarder {
    const { clock, random, tickTimer, dialect, connectionSettings, vmId, failureDomain, rateDivision } = this.options
    const counters = ServiceCounters.create()
    const forwarder = ServiceForwarder.create({
      service: name,
      clock,
      tickTimer,
      dialect,
      connections: UpstreamConnections.create(clock, { ...connectionSettings, observer: counters }),
      counters,
      onError: this.options.onError,
      onSuspects: this.options.onSuspects,
      onLeaving: this.options.onLeaving,
      contacts: this.options.contacts,
      observer: this.options.observerOf(name),
      createDispatcher: port => Dispatcher.create({
        service: name, vmId, clock, random, port, picker: ExpectedDelayPicker.create(policy), policy, failureDomain, rateDivision
      })
    })
    forwarder.setEvacuatedDomains(this.evacuatedDomains)
    return forwarder
  }

  private updateUpstreams (forwarder: ServiceForwarder): void {
    if (this.upstreams === undefined) return
    const upstreamsOfService = this.upstreams.filter(({ service }) => service === forwarder.service)
    forwarder.setUpstreams(upstreamsOfService, this.entryVmCount)
  }

  private retire (service: string): void {
    const forwarder = this.forwardersByService.get(service)
    this.forwardersByService.delete(service)
    if (forwarder !== undefined) this.retired.push(forwarder)
  }

  private closeRetired (): void {
    const idleForwarders = this.retired.filter(forwarder => forwarder.callsInFlight === 0)
    for (const forwarder of idleForwarders) forwarder.close()
    this.retired = this.retired.filter(forwarder => !idleForwarders.includes(forwarder))
  }
}

/** Approximate size of a request's head on the wire. */
function headBytesOf ({ method, url, rawHeaders }: IncomingMessage): number {
  const separators = 2 * rawHeaders.length
  return rawHeaders.reduce((sum, part) => sum + part.length, (method ?? '').length + (url ?? '').length + separators)
}
