import type { Socket } from 'node:net'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'

/**
 * Requests of one connection that may be pending at a time. Callers pipeline a few; each pending one takes several kilobytes, and
 * Node goes on reading further ones until answers wait for the caller.
 */
export const MAX_PIPELINED_REQUESTS = 256

interface Pipeline {
  pending: number
  /** When the last response was closed. */
  idleSince: Milliseconds
}

/** Counts the pending requests of each caller connection; a pipelining caller has several. */
export class PipelineCounter {
  private readonly pipelines = new WeakMap<Socket, Pipeline>()

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): PipelineCounter {
    return new PipelineCounter(clock)
  }

  enter (socket: Socket): void {
    const pipeline = this.pipelines.get(socket) ?? { pending: 0, idleSince: 0 }
    pipeline.pending += 1
    this.pipelines.set(socket, pipeline)
  }

  leave (socket: Socket): void {
    const pipeline = this.pipelines.get(socket)
    if (pipeline === undefined) return
    pipeline.pending -= 1
    pipeline.idleSince = this.clock.now()
  }

  /** Whether no further request of the connection may be taken. */
  isFull (socket: Socket): boolean {
    return (this.pipelines.get(socket)?.pending ?? 0) >= MAX_PIPELINED_REQUESTS
  }

  /** How long the connection has had no pending request; 0 while it has one, infinite before the first. */
  idleMs (socket: Socket): Milliseconds {
    const pipeline = this.pipelines.get(socket)
    if (pipeline === undefined) return Infinity
    return pipeline.pending > 0 ? 0 : this.clock.now() - pipeline.idleSince
  }

  /** Whether no other request is pending behind the one being answered. */
  isLast (socket: Socket): boolean {
    return (this.pipelines.get(socket)?.pending ?? 0) <= 1
  }
}
