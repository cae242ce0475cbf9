import type { IncomingMessage } from 'node:http'
import { findPolicy, findPolicyExceptions } from '@cowsliplead/core/core/configuration/effectiveSettings.js'
import { Dispatcher } from '@cowsliplead/core/core/dispatch/dispatcher.js'
import { ExpectedDelayPicker } from '@cowsliplead/core/core/routing/expectedDelayPicker.js'
import { RequestMatcher } from '@cowsliplead/core/core/routing/requestMatcher.js'
import type { Clock } from '@cowsliplead/core/types/clock.js'
import type { ConfigDocument } from '@cowsliplead/core/types/configDocument.js'
import type { ResultCodeName } from '@cowsliplead/core/types/resultCode.js'
import type { RandomSource } from '@cowsliplead/core/types/randomSource.js'
import type { PolicyExceptions, RoutingPolicy } from '@cowsliplead/core/types/routingPolicy.js'
import type { RequestTarget } from './callers/proxy.js'
import type { Limits } from '../types/settings.js'
import type { Fleet } from './peers/fleet.js'
import { ProductDialect } from './productDialect.js'
import { ServiceHost } from './upstreams/serviceHost.js'
import type { TickTimer } from './supervision/tickTimer.js'
import { UpstreamConnections } from './upstreams/upstreamConnections.js'

/** What services are made of. */
export interface ServicesOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly tickTimer: TickTimer
  readonly fleet: Fleet
  readonly limits: Limits
}

/** Rank of a VM among the entry VMs at work, from 0, and their number. */
export interface Share {
  readonly rank: number
  readonly count: number
}

/** The numbers in force for a service. */
interface ServicePolicy {
  readonly policy: RoutingPolicy
  readonly exceptions: PolicyExceptions
}

/** The service hosts of the configuration in force. */
export class Services {
  /** Called when a request is marked as suspect; the exchange with peers passes the marks on. */
  onSuspects: () => void = () => {}
  /** Undefined until a configuration is in force. */
  matcher: RequestMatcher | undefined
  private readonly hosts = new Map<string, ServiceHost>()
  private readonly policies = new Map<string, ServicePolicy>()
  private share: Share = { rank: 0, count: 1 }
  /** Hosts of services that the configuration no longer has, until their last call ends. */
  private retired: ServiceHost[] = []

  private constructor (private readonly options: ServicesOptions) {}

  static create (options: ServicesOptions): Services {
    return new Services(options)
  }

  hostOf (service: string): ServiceHost | undefined {
    return this.hosts.get(service)
  }

  /** Where a caller's request goes, or why it goes nowhere. */
  route (request: IncomingMessage): RequestTarget | ResultCodeName {
    if (this.matcher === undefined) return 'notReady'
    const match = this.matcher.match(request.headers.host ?? '', request.url as string, request.method as string)
    if (match === undefined) return 'noService'
    if (match.kind === undefined) return 'noKind'
    const host = this.hosts.get(match.service)
    return host === undefined ? 'noUpstream' : { host, service: match.service, kind: match.kind }
  }

  all (): ServiceHost[] {
    return [...this.hosts.values()]
  }

  /** Puts a configuration in force. */
  setDocument (document: ConfigDocument): void {
    for (const service of this.hosts.keys()) {
      if (!(service in document.services)) this.retire(service)
    }
    for (const service of Object.keys(document.services)) {
      this.setPolicy(service, { policy: findPolicy(document, { service }), exceptions: findPolicyExceptions(document, service) })
    }
    this.matcher = RequestMatcher.create(document)
  }

  /** Takes this VM's place among those that share the slots and connections of upstreams. */
  setShare (share: Share): void {
    if (share.rank === this.share.rank && share.count === this.share.count) return
    this.share = share
    for (const host of this.hosts.values()) this.updateUpstreams(host)
  }

  /** Follows the VM list. */
  onListing (): void {
    for (const host of this.hosts.values()) this.updateUpstreams(host)
    this.closeRetired()
  }

  /** Keeps attempts that wait for slow callers from being taken for stalled ones. */
  touchWaiting (): void {
    for (const host of this.hosts.values()) host.touchWaiting()
    for (const host of this.retired) host.touchWaiting()
  }

  close (): void {
    for (const host of [...this.hosts.values(), ...this.retired]) host.close()
  }

  private setPolicy (service: string, numbers: ServicePolicy): void {
    const host = this.hosts.get(service) ?? this.createHost(service, numbers.policy)
    this.hosts.set(service, host)
    this.policies.set(service, numbers)
    this.updateUpstreams(host)
  }

  private createHost (service: string, policy: RoutingPolicy): ServiceHost {
    const { clock, random, tickTimer, limits } = this.options
    return ServiceHost.create({
      service,
      clock,
      tickTimer,
      connections: UpstreamConnections.create(clock, limits),
      dialect: ProductDialect.create(),
      onSuspects: () => this.onSuspects(),
      createDispatcher: port => Dispatcher.create({ service, clock, random, port, picker: ExpectedDelayPicker.create(policy), policy })
    })
  }

  private updateUpstreams (host: ServiceHost): void {
    const { rank, count } = this.share
    const numbers = this.policies.get(host.service)
    if (numbers === undefined) return
    host.setPolicy(numbers.policy, numbers.exceptions)
    host.setUpstreams(this.options.fleet.upstreamsOf(host.service), rank, count)
  }

  private retire (service: string): void {
    const host = this.hosts.get(service)
    this.hosts.delete(service)
    this.policies.delete(service)
    if (host !== undefined) this.retired.push(host)
  }

  private closeRetired (): void {
    const done = this.retired.filter(host => host.callsInFlight === 0)
    for (const host of done) host.close()
    this.retired = this.retired.filter(host => !done.includes(host))
  }
}
