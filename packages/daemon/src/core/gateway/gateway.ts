import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Component } from '../../types/component.js'
import type { DaemonStatus } from '../../types/daemonStatus.js'
import type { GatewaySettings } from '../../types/gatewaySettings.js'
import { Drain } from './drain.js'
import { WorkReport } from '../supervision/workReport.js'
import { createGatewayMetrics } from './gatewayMetrics.js'
import { GatewayParts, type GatewayDependencies } from './gatewayParts.js'
import { StatusReport } from './statusReport.js'
import { StopPlan } from './stopPlan.js'
import { tableReadersOf, workCountersOf } from './workCounters.js'

/** How often attempts that wait for a slow caller report progress; short compared with the shortest stall timeout. */
const PROGRESS_REPORT_INTERVAL_MS: Milliseconds = 50

/** Daemon of one entry VM: forwards the requests of callers to upstreams. */
export class Gateway {
  private readonly parts: GatewayParts
  private readonly report: StatusReport
  private readonly workReport: WorkReport
  /** Set once the daemon is stopping. */
  private stopPlan: StopPlan | undefined
  private stopped: Promise<number> | undefined
  private progressTimer: NodeJS.Timeout | undefined

  private constructor (private readonly settings: GatewaySettings, private readonly dependencies: GatewayDependencies) {
    this.parts = GatewayParts.create(settings, dependencies, {
      metrics: createGatewayMetrics(() => this.parts, () => this.unreadyReasons().length === 0),
      stopPlan: () => this.stopPlan,
      unreadyReasons: () => this.unreadyReasons(),
      status: () => this.status(),
      describe: () => this.report.describe()
    })
    this.workReport = WorkReport.create(this.parts.clock, this.parts.eventLog.logger, () => workCountersOf(this.parts))
    this.report = StatusReport.create(this.parts, settings, () => this.stopPlan !== undefined)
  }

  static create (settings: GatewaySettings, dependencies: GatewayDependencies): Gateway {
    return new Gateway(settings, dependencies)
  }

  /** Ports that the daemon listens on. */
  get ports (): { readonly public: number, readonly readiness: number, readonly admin: number } {
    const { callers, readiness, admin } = this.parts.servers
    return { public: callers.port, readiness: readiness.port, admin: admin.port }
  }

  /** Starts reading the control store and serving requests. */
  async start (): Promise<void> {
    const { services, supervisor, fleet, handover, eventLoopMonitor, eventLog: { logger } } = this.parts
    const { vmId, failureDomain } = this.settings
    this.progressTimer = setInterval(() => services.reportProgressOfWaiting(), PROGRESS_REPORT_INTERVAL_MS)
    for (const component of this.components()) await supervisor.add(component)
    fleet.start()
    handover?.start()
    eventLoopMonitor.start()
    this.workReport.start()
    logger.info('started', { vm: vmId, failureDomain })
  }

  /** Applies the settings that may change while the daemon runs: the routing policy and the retry budget. */
  reload (settings: GatewaySettings): void {
    this.parts.fleetPolicy.reload(settings)
    this.parts.eventLog.logger.info('settings reloaded', { retryBudget: settings.retryBudget })
  }

  /** Logs that a reload failed; the settings in force stay. */
  onReloadFailure (error: Error): void {
    this.parts.eventLog.logger.error('settings reload failed', { error: error.message })
  }

  /**
   * Drains the daemon and stops it; returns the number of requests interrupted at the end of the grace period. Further calls
   * return the outcome of the first.
   */
  stop (): Promise<number> {
    if (this.stopped === undefined) this.stopped = this.drain()
    else this.parts.eventLog.logger.warn('asked to stop again')
    return this.stopped
  }

  /** Why the daemon is not ready; empty when it is. */
  unreadyReasons (): readonly string[] {
    return this.report.unreadyReasons()
  }

  /** Status summary for operators. */
  status (): DaemonStatus {
    return this.report.status()
  }

  /** All supervised components, in the order in which they start. */
  private components (): readonly Component[] {
    const { fleet, servers: { peers, outer } } = this.parts
    const peerServers = peers === undefined ? [] : [peers]
    return [fleet.server, ...peerServers, ...tableReadersOf(this.parts), ...outer]
  }

  private async drain (): Promise<number> {
    const { clock, proxy, servers: { callers }, services, handover, eventLog: { logger } } = this.parts
    const plan = StopPlan.create(clock.now(), this.settings.graceMs)
    this.stopPlan = plan
    logger.info('stopping', { inFlight: proxy.inFlight })
    const interrupted = await Drain.create({ plan, clock, proxy, callerServer: callers, forwarders: () => services.forwarders(), handover }).run()
    logger.info('stopped', { interrupted })
    await this.releaseResources()
    await this.parts.eventLog.flush()
    return interrupted
  }

  private async releaseResources (): Promise<void> {
    const { parts } = this
    clearInterval(this.progressTimer)
    parts.eventLoopMonitor.stop()
    this.workReport.stop()
    parts.handover?.stop()
    await parts.supervisor.stop()
    parts.controlState.close()
    parts.policyRestorer.close()
    parts.fleet.close()
    parts.sharedSuspects.close()
    this.dependencies.store.close()
    parts.services.close()
    parts.quotas.close()
    parts.tickTimer.stop()
  }
}
