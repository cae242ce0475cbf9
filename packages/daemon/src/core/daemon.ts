import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Platform } from '../types/platform.js'
import type { DaemonStatus } from '../types/privateApi.js'
import type { Settings } from '../types/settings.js'
import { SYSTEM_TIMERS } from '../types/timers.js'
import { sleep } from '../utils/sleep.js'
import { CheckpointWriter } from './control/checkpointWriter.js'
import { CONFIG_STREAM } from './control/configKeeper.js'
import { createDaemonState, takeListing, type DaemonState } from './daemonState.js'
import { EventLoopMonitor } from './supervision/eventLoopMonitor.js'
import type { Journal } from './operators/journal.js'
import { KeyedStreamConsumer, type KeyedStream } from './keyed/keyedStreams.js'
import { Metrics } from './operators/metrics.js'
import { OperatorApi } from './operators/operatorApi.js'
import { PrivateServer } from './operators/privateServer.js'
import { ProductDialect } from './productDialect.js'
import { Proxy } from './callers/proxy.js'
import { Publisher } from './control/publisher.js'
import { PublicServer } from './callers/publicServer.js'
import { createRouter } from './operators/router.js'
import { StreamReader } from './control/streamReader.js'
import { Supervisor } from './supervision/supervisor.js'
import { VmListReader } from './control/vmListReader.js'

/** How often a stopping daemon looks whether calls are left. */
const DRAIN_POLL_MS = 20

/** Short against the shortest stall interval of 50 ms. */
const TOUCH_INTERVAL_MS = 20

/** A starting VM waits this long to learn who owns which keys; with the log down it then serves other calls. */
const OWNERSHIP_WAIT_MS = 3000

/** Longest wait for a successor to take over partitions of keys; core gives a handover up after 10 s. */
const HANDOVER_WAIT_MS = 15_000

/** One entry VM's daemon: hosts core's decision logic behind the public and the private port. */
export class Daemon {
  private readonly state: DaemonState
  private readonly proxy: Proxy
  private readonly supervisor: Supervisor
  private readonly monitor: EventLoopMonitor
  private readonly configReader: StreamReader
  private readonly publicServer: PublicServer
  private readonly privateServer: PrivateServer
  private readonly api: OperatorApi
  private readonly startedAt: Milliseconds
  private stalls = 0
  private isStopping = false
  private touchTimer: NodeJS.Timeout | undefined

  private constructor (private readonly settings: Settings, private readonly platform: Platform, private readonly journal: Journal) {
    const { sharedKey, limits, publicAddress, privateAddress } = settings
    this.state = createDaemonState(settings, platform, journal)
    this.startedAt = this.state.clock.now()
    this.supervisor = this.createSupervisor()
    this.configReader = StreamReader.create(platform.log, CONFIG_STREAM, this.state.keeper, this.state.clock)
    this.proxy = this.createProxy()
    this.api = this.createApi(Publisher.create(platform.log, this.state.keeper, limits.publishTimeoutMs))
    this.publicServer = PublicServer.create(publicAddress, this.proxy, () => this.unreadyReasons())
    this.privateServer = PrivateServer.create({
      address: privateAddress,
      sharedKey,
      router: createRouter(this.api),
      metrics: this.createMetrics()
    })
    this.monitor = EventLoopMonitor.create(this.state.clock, length => this.onStall(length))
  }

  static create (settings: Settings, platform: Platform, journal: Journal): Daemon {
    return new Daemon(settings, platform, journal)
  }

  /** The ports that the daemon listens on. */
  get ports (): { readonly public: number, readonly private: number } {
    return { public: this.publicServer.port, private: this.privateServer.port }
  }

  status (): DaemonStatus {
    return this.api.status()
  }

  /** Starts all components: the platform's readers, the state shared with peers, then the servers. */
  async start (): Promise<void> {
    const { state, supervisor, platform } = this
    const { vmListIntervalMs, logRetentionMs } = this.settings.limits
    this.touchTimer = setInterval(() => state.services.touchWaiting(), TOUCH_INTERVAL_MS)
    await supervisor.add(this.configReader)
    for (const stream of ['ownership', 'claims'] as const) await supervisor.add(this.createKeyedReader(stream))
    await supervisor.add(VmListReader.create(platform.vmList, vmListIntervalMs, listing => takeListing(state, listing)))
    await supervisor.add(CheckpointWriter.create(platform.log, state.keeper, state.fleet, logRetentionMs))
    await supervisor.add(state.exchange)
    await supervisor.add(this.privateServer)
    await supervisor.add(this.publicServer)
    this.monitor.start()
  }

  /** Stops without interrupting a call; returns the number of calls that outlasted the drain timeout. */
  async stop (): Promise<number> {
    const { balancerNoticeMs, drainTimeoutMs } = this.settings.limits
    this.isStopping = true
    this.journal.info('stopping', { callsInFlight: this.callsInFlight() })
    await sleep(balancerNoticeMs)
    this.publicServer.stopAccepting()
    await this.handOver()
    await this.waitUntil(() => this.callsInFlight() === 0, drainTimeoutMs)
    const interrupted = this.callsInFlight()
    await this.stopComponents()
    this.journal.info('stopped', { interrupted })
    return interrupted
  }

  /** Gives the partitions of keys to peers while the private port still answers for them. */
  private async handOver (): Promise<void> {
    const { keyedHost, exchange: { membership } } = this.state
    membership.leaving = true
    keyedHost.feed(keyed => keyed.leave())
    const hasSuccessor = (): boolean => membership.liveMembers().length > 0 && this.configReader.isLogAvailable
    await this.waitUntil(() => keyedHost.keyed.ownedCount === 0 || !hasSuccessor(), HANDOVER_WAIT_MS)
    if (keyedHost.keyed.ownedCount > 0) this.journal.warn('partitions were not handed over', { count: keyedHost.keyed.ownedCount })
  }

  private async stopComponents (): Promise<void> {
    clearInterval(this.touchTimer)
    this.monitor.stop()
    await this.supervisor.stop()
    this.state.services.close()
    this.state.tickTimer.stop()
  }

  private async waitUntil (condition: () => boolean, timeoutMs: Milliseconds): Promise<void> {
    const latest = this.state.clock.now() + timeoutMs
    while (!condition() && this.state.clock.now() < latest) await sleep(DRAIN_POLL_MS)
  }

  /** Requests of callers, and keyed calls that peers forwarded. */
  private callsInFlight (): number {
    return this.proxy.inFlight + this.state.keyedHost.forwardedInFlight
  }

  private createKeyedReader (stream: KeyedStream): StreamReader {
    const consumer = KeyedStreamConsumer.create(this.state.keyedHost, stream)
    return StreamReader.create(this.platform.log, stream, consumer, this.state.clock)
  }

  private createProxy (): Proxy {
    const { clock, ids, services, keyedHost } = this.state
    return Proxy.create({
      clock,
      ids,
      dialect: ProductDialect.create(),
      route: request => services.route(request),
      keyed: keyedHost,
      bodyTimeoutMs: this.settings.limits.requestBodyTimeoutMs,
      isStopping: () => this.isStopping,
      onError: error => this.journal.error('a call failed inside the daemon', { error: error.stack })
    })
  }

  private createSupervisor (): Supervisor {
    return Supervisor.create(this.state.clock, SYSTEM_TIMERS, {
      onFailure: (component, error, restartInMs) => {
        this.journal.error('component failed', { component, error: error.stack, restartInMs })
      },
      onStart: (component, restarts) => this.journal.info('component started', { component, restarts })
    })
  }

  private createApi (publisher: Publisher): OperatorApi {
    return OperatorApi.create(this.settings, this.state, publisher, {
      unreadyReasons: () => this.unreadyReasons(),
      callsInFlight: () => this.callsInFlight(),
      components: () => this.supervisor.states(),
      isLogAvailable: () => this.configReader.isLogAvailable,
      stalls: () => this.stalls
    })
  }

  private createMetrics (): Metrics {
    const { services, keeper, keyedHost } = this.state
    return Metrics.create({
      services: () => services.all(),
      revision: () => keeper.state.revision,
      ready: () => this.unreadyReasons().length === 0,
      stalls: () => this.stalls,
      callsInFlight: () => this.callsInFlight(),
      ownedPartitions: () => keyedHost.keyed.ownedCount,
      components: () => this.supervisor.states()
    })
  }

  private unreadyReasons (): string[] {
    const { keeper, fleet, keyedHost, clock } = this.state
    const reasons = this.supervisor.failing().map(name => `${name} fails repeatedly`)
    if (this.isStopping) reasons.push('stopping')
    if (!keeper.isCaughtUp) reasons.push('the configuration was read neither from the log nor from a peer')
    else if (keeper.state.document === undefined) reasons.push('no configuration is in force')
    if (!fleet.isKnown) reasons.push('the VM list was not read yet')
    const isStarting = clock.now() < this.startedAt + OWNERSHIP_WAIT_MS
    if (isStarting && keyedHost.keyed.isInDoubt) reasons.push('the ownership of keys is not known yet')
    return reasons
  }

  private onStall (lengthMs: number): void {
    this.stalls++
    this.journal.warn('event-loop stall', { lengthMs: Math.round(lengthMs) })
  }
}
