import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { BytesRefusal, ConnectionObserver } from './connectionObserver.js'
import { HttpConnection } from './httpConnection.js'

/** Idle timeout assumed if the upstream does not announce one. */
const DEFAULT_IDLE_TIMEOUT_MS = 60_000

/** Share of the idle timeout for which a connection is reused; after that, the upstream may close it at any moment. */
const REUSABLE_IDLE_SHARE = 0.6

/** Time for which an upstream that has sent stray bytes is expected to send more. */
const STRAY_MEMORY_MS: Milliseconds = 30_000

/** A pooled connection to an upstream. */
export interface Connection {
  readonly http: HttpConnection
  /** Its number in the pool, counted from 1. */
  readonly number: number
  readonly openedAt: Milliseconds
  /** When a response was last received on it; 0 before the first. */
  lastResponseAt: Milliseconds
  /** When it was opened or last returned to the pool. */
  idleSince: Milliseconds
  /** Idle timeout that the upstream announced; undefined if it announced none. */
  idleTimeoutMs: Milliseconds | undefined
  /** Whether it has carried a response without an id, of which a second copy would have no id either. */
  hadResponseWithoutId: boolean
  /** Ids of the last requests that it has carried; more copies of older ones are not expected. */
  readonly earlierIds: string[]
}

/** What a request needs of its connection. */
export interface ConnectionNeeds {
  /** It is a proven or a new one. */
  readonly proven: boolean
  /** Connections that carried earlier attempts of the same request: a late copy of such a response has the expected id. */
  readonly excluded?: ReadonlySet<Connection>
  /** It must not be sent again. A cut copy of an earlier response may swallow its response, and none precedes it on a new connection. */
  readonly isUnrepeatable?: boolean
}

/** Options of a connection pool. */
export interface ConnectionPoolOptions {
  readonly host: string
  readonly port: number
  readonly clock: Clock
  readonly limit: number
  /** A connection on which a response arrived within this time counts as proven to work. */
  readonly provenMs: Milliseconds
  readonly connectTimeoutMs: Milliseconds
  /** See `HttpConnectionOptions`. */
  readonly onError: (error: Error) => void
  readonly observer?: ConnectionObserver | undefined
}

/** Pool of this VM's connections to one upstream. Each carries one request at a time. */
export class ConnectionPool implements ConnectionObserver {
  /** Most recently used last and reused first, so that busy connections stay proven and surplus ones expire. */
  private readonly idle: Connection[] = []
  private readonly busy = new Set<Connection>()
  private opened = 0
  private lastStrayAt: Milliseconds = -Infinity

  private constructor (private readonly options: ConnectionPoolOptions, private limit: number, private provenMs: Milliseconds) {}

  static create (options: ConnectionPoolOptions): ConnectionPool {
    return new ConnectionPool(options, options.limit, options.provenMs)
  }

  /** Number of connections, idle and in use. */
  get size (): number {
    return this.idle.length + this.busy.size
  }

  /** The state for the dump. */
  describe (): Record<string, unknown> {
    const newestProof = Math.max(0, ...[...this.idle, ...this.busy].map(connection => connection.lastResponseAt))
    return { limit: this.limit, idle: this.idle.length, busy: this.busy.size, newestProof }
  }

  /** Sets the connection limit and the time for which a connection stays proven; closes surplus idle connections. */
  configure (limit: number, provenMs: Milliseconds): void {
    this.limit = limit
    this.provenMs = provenMs
    while (this.size > limit && this.idle.length > 0) this.destroy(this.idle.shift() as Connection)
  }

  /** Acquires a connection for one request; undefined at the limit. */
  acquire (needs: ConnectionNeeds): Connection | undefined {
    this.closeExpired()
    const acquired = this.takeIdle(needs) ?? this.open()
    if (acquired !== undefined) this.busy.add(acquired)
    return acquired
  }

  /** Returns a connection to the pool after its request. */
  release (connection: Connection): void {
    if (!this.busy.delete(connection)) return
    if (this.size >= this.limit || !connection.http.isReusable) return this.destroy(connection)
    connection.idleSince = this.options.clock.now()
    this.idle.push(connection)
  }

  /** Closes a connection instead of returning it to the pool. */
  closeAcquired (connection: Connection): void {
    if (this.busy.delete(connection)) this.destroy(connection)
  }

  /** Closes idle connections without a response since `instant`: a middlebox on the path may have dropped them. */
  closeUnproven (instant: Milliseconds): void {
    this.closeIdleIf(connection => connection.lastResponseAt < instant)
  }

  /** Closes idle connections now and those in use once their request has ended. */
  close (): void {
    this.limit = 0
    for (const connection of this.idle.splice(0)) this.destroy(connection)
  }

  onStrayResponse (): void {
    this.lastStrayAt = this.options.clock.now()
    this.options.observer?.onStrayResponse()
  }

  onBytesRefused (reason: BytesRefusal): void {
    this.lastStrayAt = this.options.clock.now()
    this.options.observer?.onBytesRefused(reason)
  }

  private closeExpired (): void {
    const now = this.options.clock.now()
    this.closeIdleIf(({ idleSince, idleTimeoutMs }) => now - idleSince > (idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS) * REUSABLE_IDLE_SHARE)
  }

  private closeIdleIf (shouldClose: (connection: Connection) => boolean): void {
    for (let i = this.idle.length - 1; i >= 0; i--) {
      const connection = this.idle[i] as Connection
      if (!shouldClose(connection)) continue
      this.idle.splice(i, 1)
      this.destroy(connection)
    }
  }

  private takeIdle ({ proven, excluded, isUnrepeatable = false }: ConnectionNeeds): Connection | undefined {
    const now = this.options.clock.now()
    const oldest = proven ? now - this.provenMs : -Infinity
    const mustBeUnused = isUnrepeatable && now - this.lastStrayAt < STRAY_MEMORY_MS
    for (let i = this.idle.length - 1; i >= 0; i--) {
      const connection = this.idle[i] as Connection
      if (connection.lastResponseAt < oldest || excluded?.has(connection) === true) continue
      if (mustBeUnused && connection.http.completedResponses > 0) continue
      this.idle.splice(i, 1)
      return connection
    }
    // At the limit, the least recently used connection is closed to make room for a new one.
    if (this.size >= this.limit && this.idle.length > 0) this.destroy(this.idle.shift() as Connection)
    return undefined
  }

  private open (): Connection | undefined {
    if (this.size >= this.limit) return undefined
    const { host, port, connectTimeoutMs, clock, onError } = this.options
    const http = HttpConnection.create({ host, port, connectTimeoutMs, onError, observer: this, onClose: () => this.removeIdle(connection) })
    const now = clock.now()
    const number = ++this.opened
    const connection: Connection = { http, number, openedAt: now, lastResponseAt: 0, idleSince: now, idleTimeoutMs: undefined, hadResponseWithoutId: false, earlierIds: [] }
    return connection
  }

  /** Called when a connection is closed by either side; one in use is removed on `release`. */
  private removeIdle (connection: Connection): void {
    const position = this.idle.indexOf(connection)
    if (position >= 0) this.idle.splice(position, 1)
  }

  private destroy (connection: Connection): void {
    connection.http.destroy()
  }
}
