import type { Socket } from 'node:net'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'

interface Pipeline {
  waiting: number
  /** When the last response was handed to the connection. */
  idleSince: Milliseconds
}

/** Counts the requests on each caller connection that wait for their response. */
export class PipelineCounter {
  private readonly pipelines = new WeakMap<Socket, Pipeline>()

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): PipelineCounter {
    return new PipelineCounter(clock)
  }

  enter (socket: Socket): void {
    const pipeline = this.pipelines.get(socket) ?? { waiting: 0, idleSince: 0 }
    pipeline.waiting += 1
    this.pipelines.set(socket, pipeline)
  }

  leave (socket: Socket): void {
    const pipeline = this.pipelines.get(socket)
    if (pipeline === undefined) return
    pipeline.waiting -= 1
    pipeline.idleSince = this.clock.now()
  }

  /** How long no request on the connection has been waiting; 0 while one waits, infinite before the first. */
  idleMs (socket: Socket): Milliseconds {
    const pipeline = this.pipelines.get(socket)
    if (pipeline === undefined) return Infinity
    return pipeline.waiting > 0 ? 0 : this.clock.now() - pipeline.idleSince
  }

  /** Whether no further request on this connection waits behind the one being answered. */
  isLast (socket: Socket): boolean {
    return (this.pipelines.get(socket)?.waiting ?? 0) <= 1
  }
}
