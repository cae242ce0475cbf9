import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'

interface Pipeline {
  /** Responses that have not been closed, in the order of their requests. */
  readonly pending: Set<ServerResponse>
  /** When the last response was closed. */
  idleSince: Milliseconds
}

/** The pending requests of each caller connection; a pipelining caller has several. */
export class Pipelines {
  private readonly pipelines = new WeakMap<Socket, Pipeline>()

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): Pipelines {
    return new Pipelines(clock)
  }

  /**
   * Adds a request until its response emits `close`. Makes sure that it does: when a connection closes, Node closes only the
   * response that is being sent, and neither those behind it nor their requests.
   */
  enter (response: ServerResponse): void {
    const { socket } = response.req
    const pipeline = this.pipelines.get(socket) ?? this.open(socket)
    pipeline.pending.add(response)
    response.once('close', () => {
      pipeline.pending.delete(response)
      pipeline.idleSince = this.clock.now()
    })
  }

  /** How long the connection has had no pending request; 0 while it has one, infinite before the first. */
  idleMs (socket: Socket): Milliseconds {
    const pipeline = this.pipelines.get(socket)
    if (pipeline === undefined) return Infinity
    return pipeline.pending.size > 0 ? 0 : this.clock.now() - pipeline.idleSince
  }

  /** Whether no other request is pending behind the one being answered. */
  isLast (socket: Socket): boolean {
    return (this.pipelines.get(socket)?.pending.size ?? 0) <= 1
  }

  private open (socket: Socket): Pipeline {
    const pipeline: Pipeline = { pending: new Set(), idleSince: 0 }
    this.pipelines.set(socket, pipeline)
    socket.once('close', () => closeQueued(pipeline.pending))
    return pipeline
  }
}

/** Closes the responses that had to wait for others; Node closes the one that has the socket. */
function closeQueued (pending: ReadonlySet<ServerResponse>): void {
  for (const response of [...pending]) {
    if (response.socket !== null || response.writableFinished) continue
    response.destroy()
    response.emit('close')
  }
}
