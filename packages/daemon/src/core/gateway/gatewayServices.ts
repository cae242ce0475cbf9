import type { IncomingMessage } from 'node:http'
import { boundPolicies, findPolicy, findPolicyExceptions, type ServicePolicies } from '@cowsliplead/core/core/configuration/effectivePolicy.js'
import { Dispatcher } from '@cowsliplead/core/core/dispatch/dispatcher.js'
import { ExpectedDelayPicker } from '@cowsliplead/core/core/routing/expectedDelayPicker.js'
import { RouteTable } from '@cowsliplead/core/core/routing/routeTable.js'
import { requestKindOf } from '@cowsliplead/core/core/routing/requestKinds.js'
import type { Clock } from '@cowsliplead/core/types/clock.js'
import type { RandomSource } from '@cowsliplead/core/types/randomSource.js'
import type { RequestKind } from '@cowsliplead/core/types/requestKind.js'
import type { ResultCodeName } from '@cowsliplead/core/types/resultCode.js'
import { policyDocumentSchema, type PolicyDocument } from '@cowsliplead/core/types/policyDocument.js'
import type { RoutingPolicy } from '@cowsliplead/core/types/routingPolicy.js'
import type { Route, RouteConfig, ServiceTarget } from '@cowsliplead/core/types/routes.js'
import type { SuspectMark } from '@cowsliplead/core/types/suspectMark.js'
import type { Upstream } from '@cowsliplead/core/types/upstream.js'
import type { Dialect } from '../../types/dialect.js'
import type { RequestTarget } from '../callers/proxy.js'
import type { ControlTarget } from '../control/controlState.js'
import { ServiceHost, type CallObserver } from '../upstreams/serviceHost.js'
import type { TickTimer } from '../supervision/tickTimer.js'
import { UpstreamConnections, type ConnectionLimits } from '../upstreams/upstreamConnections.js'

const EMPTY_DOCUMENT: PolicyDocument = policyDocumentSchema.parse({})

/** What the services are made of. */
export interface GatewayServicesOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly tickTimer: TickTimer
  readonly dialect: Dialect
  readonly limits: ConnectionLimits
  readonly vmId: string
  readonly failureDomain: string
  readonly policy: RoutingPolicy
  /** Who hears of the decisions about calls of a service. */
  readonly observerOf: (service: string) => CallObserver
  /** Called when requests are marked because they crashed an upstream. */
  readonly onSuspects: (marks: readonly SuspectMark[]) => void
}

/** The service hosts of the routes in force. */
export class GatewayServices implements ControlTarget {
  private table: RouteTable | undefined
  private readonly kinds = new Map<Route, RequestKind>()
  private readonly hosts = new Map<string, ServiceHost>()
  /** Undefined until the upstreams were read; an empty first list would make the real ones look newly started. */
  private upstreams: readonly Upstream[] | undefined
  private document = EMPTY_DOCUMENT
  /** Known entry VMs; the others are not known at first. */
  private vms = 1
  /** Hosts of services that no configuration names any more, until their last call ends. */
  private retired: ServiceHost[] = []

  private constructor (private readonly options: GatewayServicesOptions, private policy: RoutingPolicy) {}

  static create (options: GatewayServicesOptions): GatewayServices {
    return new GatewayServices(options, options.policy)
  }

  get config (): RouteConfig | undefined {
    return this.table?.config
  }

  /** The operators' defaults and exceptions in force. */
  get policyDocument (): PolicyDocument {
    return this.document
  }

  all (): ServiceHost[] {
    return [...this.hosts.values()]
  }

  /** Puts a configuration in force. */
  setConfig (config: RouteConfig): void {
    this.table = RouteTable.create(config, this.table)
    this.kinds.clear()
    for (const route of config.routes) this.kinds.set(route, requestKindOf(route))
    for (const service of this.hosts.keys()) {
      if (!config.services.has(service)) this.retire(service)
    }
    this.putHosts()
  }

  /** Takes the registered upstreams of all services. */
  setUpstreams (upstreams: readonly Upstream[]): void {
    this.upstreams = upstreams
    for (const host of this.hosts.values()) this.updateUpstreams(host)
    this.closeRetired()
  }

  /** Takes over numbers of the settings that changed, and the number of entry VMs. */
  setPolicy (policy: RoutingPolicy, vms: number): void {
    this.policy = policy
    this.vms = vms
    this.putHosts()
  }

  /** Puts the operators' defaults and exceptions in force. */
  setDocument (document: PolicyDocument): void {
    this.document = document
    this.putHosts()
  }

  /** Takes other VMs' marks of requests that crashed upstreams. */
  importSuspects (marks: readonly SuspectMark[]): void {
    for (const host of this.hosts.values()) host.dispatcher.importSuspects(marks)
  }

  /** Where a caller's request goes, or why it goes nowhere. */
  route (request: IncomingMessage): RequestTarget | ResultCodeName {
    if (this.table === undefined) return 'notReady'
    if (headBytes(request) > this.table.config.limits.maxHeaderBytes) return 'headTooLarge'
    const match = this.table.match(request.headers.host ?? '', request.url as string)
    if (match === undefined) return 'noService'
    const host = this.hosts.get(match.service)
    if (host === undefined) return 'noUpstream'
    return { host, kind: this.kinds.get(match.route) as RequestKind }
  }

  /** Keeps attempts that wait for slow callers from being taken for stalled ones. */
  touchWaiting (): void {
    for (const host of this.hosts.values()) host.touchWaiting()
    for (const host of this.retired) host.touchWaiting()
  }

  close (): void {
    for (const host of [...this.hosts.values(), ...this.retired]) host.close()
  }

  private putHosts (): void {
    for (const target of this.config?.services.values() ?? []) this.putHost(target)
  }

  private putHost (target: ServiceTarget): void {
    const { policy, exceptions } = this.policiesOf(target)
    const host = this.hosts.get(target.name) ?? this.createHost(target, policy)
    this.hosts.set(target.name, host)
    host.setPolicy(policy, exceptions)
    host.setHealthPath(target.healthPath)
    this.updateUpstreams(host)
  }

  /** Operators may tighten the bounds that the platform sets, not widen them. */
  private policiesOf ({ name, maxConnections }: ServiceTarget): ServicePolicies {
    const { retryBudgetShare, retryBudgetCalls, measuringMessagesPerUpstreamSecond } = this.policy
    const base = { ...this.policy, connectionsPerUpstream: maxConnections }
    const policies = { policy: findPolicy(base, this.document, { service: name }), exceptions: findPolicyExceptions(base, this.document, name) }
    return boundPolicies(policies, {
      connectionsPerUpstream: maxConnections, retryBudgetShare, retryBudgetCalls, measuringMessagesPerUpstreamSecond
    })
  }

  private createHost ({ name }: ServiceTarget, policy: RoutingPolicy): ServiceHost {
    const { clock, random, tickTimer, dialect, limits, vmId, failureDomain } = this.options
    return ServiceHost.create({
      service: name,
      clock,
      tickTimer,
      dialect,
      connections: UpstreamConnections.create(clock, limits),
      onSuspects: this.options.onSuspects,
      observer: this.options.observerOf(name),
      createDispatcher: port => Dispatcher.create({
        service: name, vmId, clock, random, port, picker: ExpectedDelayPicker.create(policy), policy, failureDomain
      })
    })
  }

  private updateUpstreams (host: ServiceHost): void {
    if (this.upstreams === undefined) return
    const own = this.upstreams.filter(({ service }) => service === host.service)
    host.setUpstreams(own, this.vms)
  }

  private retire (service: string): void {
    const host = this.hosts.get(service)
    this.hosts.delete(service)
    if (host !== undefined) this.retired.push(host)
  }

  private closeRetired (): void {
    const done = this.retired.filter(host => host.callsInFlight === 0)
    for (const host of done) host.close()
    this.retired = this.retired.filter(host => !done.includes(host))
  }
}

/** Size of a request's head as it came on the wire. */
function headBytes ({ method, url, rawHeaders }: IncomingMessage): number {
  const separators = 2 * rawHeaders.length
  return rawHeaders.reduce((sum, part) => sum + part.length, (method ?? '').length + (url ?? '').length + separators)
}
