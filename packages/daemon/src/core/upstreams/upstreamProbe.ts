import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { LoadReport } from '@cowsliplead/core/types/upstream.js'
import type { Dialect } from '../../types/dialect.js'
import type { Connection } from './connectionSet.js'
import type { ExchangeHandler } from './httpConnection.js'
import type { ParsedHead } from './responseParser.js'

/** A probe without an answer after this time has failed; its connection may have gone silent. */
const PROBE_TIMEOUT_MS: Milliseconds = 250

/** How a probe ended. `lost`: the upstream was not reached, does not report, or another one answered. */
export type ProbeEnd = { readonly kind: 'report', readonly report: LoadReport } | { readonly kind: 'lost' }

/** What a probe is made of. */
export interface UpstreamProbeOptions {
  readonly connection: Connection
  readonly path: string
  readonly upstreamId: string
  readonly dialect: Dialect
  readonly clock: Clock
}

/** Asks one upstream for its load. Its word on its own health is not used: it may be wrong either way. */
export class UpstreamProbe implements ExchangeHandler {
  private report: LoadReport | undefined
  private readonly timer: NodeJS.Timeout

  private constructor (private readonly options: UpstreamProbeOptions, private readonly done: (end: ProbeEnd) => void) {
    this.timer = setTimeout(() => this.onTimeout(), PROBE_TIMEOUT_MS)
  }

  /** Sends a probe; `done` is called once. */
  static send (options: UpstreamProbeOptions, done: (end: ProbeEnd) => void): void {
    const { connection, path, dialect, upstreamId } = options
    const probe = new UpstreamProbe(options, done)
    connection.http.send({ method: 'GET', path, headers: dialect.probeHeaders(upstreamId), body: null }, probe)
  }

  onSent (): void {}

  onBodySent (): void {}

  onHead ({ status, rawHeaders }: ParsedHead): 'take' | 'skip' {
    const { connection, dialect, clock } = this.options
    const marks = dialect.readResponse(status, rawHeaders, clock.now())
    // Answers to requests echo an id and answers to probes do not, so this one is a late extra answer.
    if (marks.echoedId !== undefined) return 'skip'
    connection.provenAt = clock.now()
    connection.idleTimeoutMs = marks.idleTimeoutMs
    if (!marks.isOtherUpstream) this.report = marks.report
    return 'take'
  }

  onData (): boolean {
    return true
  }

  onComplete (): void {
    this.end()
  }

  onLost (): void {
    this.report = undefined
    this.end()
  }

  private onTimeout (): void {
    this.options.connection.http.destroy()
    this.onLost()
  }

  private end (): void {
    clearTimeout(this.timer)
    this.done(this.report === undefined ? { kind: 'lost' } : { kind: 'report', report: this.report })
  }
}
