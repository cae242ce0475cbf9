import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import { HttpConnection } from './httpConnection.js'

/** Idle time after which a connection is not used again where the upstream grants no time of its own. */
const IDLE_LIFETIME_MS = 60_000

/** Share of the granted idle time after which a connection is not used again: the upstream may close it at any moment then. */
const IDLE_SAFE_SHARE = 0.6

/** One connection to an upstream. */
export interface Connection {
  readonly http: HttpConnection
  /** When it last carried a response. */
  provenAt: Milliseconds
  /** When it was last put aside. */
  idleSince: Milliseconds
  /** Idle time that the upstream grants; undefined where it did not say. */
  idleTimeoutMs: Milliseconds | undefined
}

/** Options of a connection set. */
export interface ConnectionSetOptions {
  readonly host: string
  readonly port: number
  readonly clock: Clock
  readonly limit: number
  /** A connection that carried a response this recently is taken to be alive. */
  readonly provenMs: Milliseconds
  readonly connectTimeoutMs: Milliseconds
}

/** The connections of this VM to one upstream, one request on each at a time. */
export class ConnectionSet {
  /** Most recently used last, so that busy connections stay proven and surplus ones go idle. */
  private readonly idle: Connection[] = []
  private readonly busy = new Set<Connection>()

  private constructor (private readonly options: ConnectionSetOptions, private limit: number, private provenMs: Milliseconds) {}

  static create (options: ConnectionSetOptions): ConnectionSet {
    return new ConnectionSet(options, options.limit, options.provenMs)
  }

  /** Number of connections, idle and in use. */
  get size (): number {
    return this.idle.length + this.busy.size
  }

  /** The state for the dump. */
  describe (): Record<string, unknown> {
    const newestProof = Math.max(0, ...[...this.idle, ...this.busy].map(connection => connection.provenAt))
    return { limit: this.limit, idle: this.idle.length, busy: this.busy.size, newestProof }
  }

  /** Changes the largest number of connections and the lifetime of a proof; surplus idle connections are closed. */
  configure (limit: number, provenMs: Milliseconds): void {
    this.limit = limit
    this.provenMs = provenMs
    while (this.size > limit && this.idle.length > 0) this.discard(this.idle.shift() as Connection)
  }

  /** A connection for one request, or undefined at the limit. With `proven`, a new one or one proven lately. */
  acquire (proven: boolean): Connection | undefined {
    this.closeExpired()
    const connection = proven ? this.takeProven() : this.idle.pop()
    const acquired = connection ?? this.open()
    if (acquired !== undefined) this.busy.add(acquired)
    return acquired
  }

  /** Returns a connection after its request. */
  release (connection: Connection): void {
    if (!this.busy.delete(connection)) return
    if (this.size >= this.limit || !connection.http.isReusable) return this.discard(connection)
    connection.idleSince = this.options.clock.now()
    this.idle.push(connection)
  }

  /** Closes a connection instead of returning it. */
  abandon (connection: Connection): void {
    if (this.busy.delete(connection)) this.discard(connection)
  }

  /** Closes idle connections without a sign of life since `instant`: a device on the path may have dropped their state. */
  closeUnproven (instant: Milliseconds): void {
    this.closeWhere(connection => connection.provenAt < instant)
  }

  /** Closes idle connections now and those in use once their request has ended. */
  close (): void {
    this.limit = 0
    for (const connection of this.idle.splice(0)) this.discard(connection)
  }

  private closeExpired (): void {
    const now = this.options.clock.now()
    this.closeWhere(({ idleSince, idleTimeoutMs }) => now - idleSince > (idleTimeoutMs ?? IDLE_LIFETIME_MS) * IDLE_SAFE_SHARE)
  }

  private closeWhere (applies: (connection: Connection) => boolean): void {
    for (let i = this.idle.length - 1; i >= 0; i--) {
      const connection = this.idle[i] as Connection
      if (!applies(connection)) continue
      this.idle.splice(i, 1)
      this.discard(connection)
    }
  }

  private takeProven (): Connection | undefined {
    const oldest = this.options.clock.now() - this.provenMs
    for (let i = this.idle.length - 1; i >= 0; i--) {
      const connection = this.idle[i] as Connection
      if (connection.provenAt < oldest) continue
      this.idle.splice(i, 1)
      return connection
    }
    // At the limit, an unproven connection makes room for a new one.
    if (this.size >= this.limit && this.idle.length > 0) this.discard(this.idle.shift() as Connection)
    return undefined
  }

  private open (): Connection | undefined {
    if (this.size >= this.limit) return undefined
    const { host, port, connectTimeoutMs, clock } = this.options
    const http = HttpConnection.create({ host, port, connectTimeoutMs, onClose: () => this.forget(connection) })
    const connection: Connection = { http, provenAt: 0, idleSince: clock.now(), idleTimeoutMs: undefined }
    return connection
  }

  /** An idle connection was closed by the upstream. */
  private forget (connection: Connection): void {
    const position = this.idle.indexOf(connection)
    if (position >= 0) this.idle.splice(position, 1)
  }

  private discard (connection: Connection): void {
    connection.http.destroy()
  }
}
