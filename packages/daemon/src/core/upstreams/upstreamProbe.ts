import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { LoadReport, RateNotice, ResponseSignals } from '@cowsliplead/core/types/upstream.js'
import type { Dialect } from '../../types/dialect.js'
import { notifyOfSignals } from '../../utils/responseSignals.js'
import type { Connection } from './connectionPool.js'
import type { ExchangeHandler } from './exchangeHandler.js'
import type { ParsedHead } from './responseParser.js'

/** Time after which a probe has failed and its connection is closed, because it may be broken. */
const PROBE_TIMEOUT_MS: Milliseconds = 250

/** What the response to a probe says. */
export interface ProbeReport {
  readonly kind: 'report'
  readonly report: LoadReport
  readonly rateNotice: RateNotice | undefined
  /** How long the upstream stays cold; undefined if it does not say. */
  readonly warmupLeftMs: Milliseconds | undefined
}

/**
 * Result of a probe. `failed`: the upstream was not reached or sent no load report, or a different one answered; `hasResponded`
 * tells whether anything did.
 */
export type ProbeResult = ProbeReport | { readonly kind: 'failed', readonly hasResponded: boolean }

/** Options of a probe. */
export interface UpstreamProbeOptions {
  readonly connection: Connection
  readonly path: string
  readonly upstreamId: string
  readonly dialect: Dialect
  readonly clock: Clock
  /** Called with the head of the response if it says that the upstream is leaving or asks for a pause. */
  readonly onSignals: (signals: ResponseSignals) => void
}

/** Requests the load report of one upstream. The health that it reports is ignored, as it may be wrong either way. */
export class UpstreamProbe implements ExchangeHandler {
  private report: LoadReport | undefined
  private hasResponded = false
  private rateNotice: RateNotice | undefined
  private warmupLeftMs: Milliseconds | undefined
  private readonly timer: NodeJS.Timeout

  private constructor (private readonly options: UpstreamProbeOptions, private readonly done: (result: ProbeResult) => void) {
    this.timer = setTimeout(() => this.onTimeout(), PROBE_TIMEOUT_MS)
  }

  /** Sends a probe; `done` is called once. */
  static send (options: UpstreamProbeOptions, done: (result: ProbeResult) => void): void {
    const { connection, path, dialect, upstreamId } = options
    const probe = new UpstreamProbe(options, done)
    connection.hadResponseWithoutId = true
    connection.http.send({ method: 'GET', path, headers: dialect.probeHeaders(upstreamId), body: null }, probe)
  }

  onSent (): void {}

  onBodySent (): void {}

  onHead ({ status, rawHeaders }: ParsedHead): 'accept' | 'skip' {
    const { connection, dialect, clock } = this.options
    this.hasResponded = true
    const metadata = dialect.readResponseMetadata(status, rawHeaders, clock.now())
    // Only responses to callers' requests echo an id, so this is a late extra response to an earlier request.
    if (metadata.echoedId !== undefined) return 'skip'
    connection.lastResponseAt = clock.now()
    connection.idleTimeoutMs = metadata.idleTimeoutMs
    if (!metadata.isFromOtherUpstream) this.report = metadata.report
    this.rateNotice = metadata.rateNotice
    this.warmupLeftMs = metadata.warmupLeftMs
    notifyOfSignals(metadata, this.options.onSignals)
    return 'accept'
  }

  onData (): boolean {
    return true
  }

  onComplete (): void {
    this.end()
  }

  onFailure (): void {
    this.report = undefined
    this.end()
  }

  private onTimeout (): void {
    this.options.connection.http.destroy()
    this.onFailure()
  }

  private end (): void {
    clearTimeout(this.timer)
    const { report, rateNotice, warmupLeftMs } = this
    this.done(report === undefined ? { kind: 'failed', hasResponded: this.hasResponded } : { kind: 'report', report, rateNotice, warmupLeftMs })
  }
}
