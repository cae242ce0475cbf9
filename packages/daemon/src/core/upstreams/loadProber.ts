import type { Dispatcher } from '@cowsliplead/core/core/dispatch/dispatcher.js'
import type { UpstreamReachability } from '@cowsliplead/core/core/handover/upstreamReachability.js'
import type { Clock } from '@cowsliplead/core/types/clock.js'
import type { Dialect } from '../../types/dialect.js'
import type { Connection } from './connectionPool.js'
import type { UpstreamConnections } from './upstreamConnections.js'
import { UpstreamProbe, type ProbeReport, type ProbeResult } from './upstreamProbe.js'

/** Notified of the contact with the upstreams of all services; see `UpstreamReachability`. */
export type ContactObserver = Pick<UpstreamReachability, 'onStart' | 'onResponse' | 'onEnd'>

/** Options of a load prober. */
export interface LoadProberOptions {
  readonly dispatcher: Dispatcher
  readonly connections: UpstreamConnections
  readonly clock: Clock
  readonly dialect: Dialect
  readonly contacts: ContactObserver | undefined
  /** Called when the dispatcher has received the result of a probe. */
  readonly onEnd: () => void
}

/** Sends the load probes of one service and passes their results to its dispatcher. */
export class LoadProber {
  /** Request path of probes. */
  healthPath = '/'

  private constructor (private readonly options: LoadProberOptions) {}

  static create (options: LoadProberOptions): LoadProber {
    return new LoadProber(options)
  }

  /** Probes an upstream, unless the limit on its connections is reached. */
  send (upstreamId: string): void {
    const { dispatcher, connections, clock, dialect, contacts } = this.options
    const pool = connections.poolFor(upstreamId)
    const connection = pool?.acquire({ proven: false })
    if (pool === undefined || connection === undefined) return
    const isNewConnection = connection.lastResponseAt === 0
    contacts?.onStart(connection, upstreamId, 'probe')
    UpstreamProbe.send({
      connection, path: this.healthPath, upstreamId, dialect, clock, onSignals: signals => dispatcher.onProbeSignals(upstreamId, signals)
    }, result => {
      pool.release(connection)
      this.reportContact(connection, isNewConnection, result)
      if (result.kind === 'report') this.onReport(upstreamId, result)
      else dispatcher.onProbeFailed(upstreamId)
      this.options.onEnd()
    })
  }

  private reportContact (connection: Connection, isNewConnection: boolean, result: ProbeResult): void {
    const { contacts } = this.options
    if (result.kind === 'report' || result.hasResponded) contacts?.onResponse(connection, isNewConnection)
    else contacts?.onEnd(connection, isNewConnection ? 'unconnected' : 'silent')
  }

  private onReport (upstreamId: string, { report, rateNotice, warmupLeftMs }: ProbeReport): void {
    const { dispatcher } = this.options
    if (warmupLeftMs !== undefined) dispatcher.onWarmupNotice(upstreamId, warmupLeftMs)
    dispatcher.onProbeReport(upstreamId, report, rateNotice)
  }
}
