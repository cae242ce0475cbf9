import type { Server, Socket } from 'node:net'
import type { MachineLimits } from '../../types/machineLimits.js'

/** Descriptors that are not for connections: files, and what the runtime needs. */
const RESERVED_DESCRIPTORS = 200

/** What the connections of one server are for. */
export type ServerPurpose = 'callers' | 'vms' | 'feed' | 'operators' | 'readiness'

/** Share of the descriptors for the connections to each server; the rest is for those to upstreams and to the store. */
const SHARES: Readonly<Record<ServerPurpose, number>> = { callers: 1 / 2, vms: 1 / 8, feed: 1 / 16, operators: 1 / 16, readiness: 1 / 16 }

/** Connections for each megabyte of memory: the head that is being read on one, and what Node keeps for it, take some 40 KB. */
const CONNECTIONS_PER_MB = 8

/** Connections that a server takes at a time. */
export function maxConnectionsOf ({ memoryMb, descriptors }: MachineLimits, purpose: ServerPurpose): number {
  const byDescriptors = (descriptors - RESERVED_DESCRIPTORS) * SHARES[purpose]
  return Math.max(1, Math.floor(Math.min(byDescriptors, memoryMb * CONNECTIONS_PER_MB)))
}

/** How much a server loses with a connection, in ascending order: no request yet, one that has not ended, none at present, one in progress. */
export type ConnectionState = 'new' | 'receiving' | 'idle' | 'busy'

/** Options of a connection limit. */
export interface ConnectionLimitOptions {
  readonly maximum: number
  /** By default every connection is `new`. */
  readonly stateOf?: (socket: Socket) => ConnectionState
}

/**
 * Bounds the connections of a server. Beyond the limit the oldest of those with the least to lose is closed for a new one, so that
 * clients which connect and send nothing do not keep others out; if all are busy, the new one is.
 */
export class ConnectionLimit {
  /** Connections closed since the start because there were too many. */
  closed = 0
  /** In order of their arrival. */
  private readonly sockets = new Set<Socket>()

  private constructor (private readonly options: ConnectionLimitOptions) {}

  /** Bounds the connections of `server` from now on. */
  static create (server: Server, options: ConnectionLimitOptions): ConnectionLimit {
    const limit = new ConnectionLimit(options)
    server.on('connection', socket => limit.add(socket))
    return limit
  }

  private add (socket: Socket): void {
    this.sockets.add(socket)
    socket.once('close', () => this.sockets.delete(socket))
    if (this.sockets.size <= this.options.maximum) return
    const victim = this.choose(socket)
    this.sockets.delete(victim)
    this.closed += 1
    victim.destroy()
  }

  private choose (newcomer: Socket): Socket {
    const { stateOf = () => 'new' } = this.options
    const oldest: Partial<Record<ConnectionState, Socket>> = {}
    for (const socket of this.sockets) {
      if (socket === newcomer) continue
      const state = stateOf(socket)
      if (state === 'new') return socket
      oldest[state] ??= socket
    }
    return oldest.receiving ?? oldest.idle ?? newcomer
  }
}
