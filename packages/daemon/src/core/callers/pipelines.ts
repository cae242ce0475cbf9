import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import { CallerPipeline } from './callerPipeline.js'
import { HeldBytes } from './heldBytes.js'
import type { PipelinedExchange } from './pipelinedExchange.js'

/** The pending requests of each caller connection; a pipelining caller has several. */
export class Pipelines {
  private readonly pipelines = new WeakMap<Socket, CallerPipeline>()
  private readonly budget = HeldBytes.createForProcess()

  private constructor (private readonly clock: Clock, private readonly onError: (error: Error) => void) {}

  /** `onError` is called with an exception of what had to wait for an earlier response; its connection is closed. */
  static create (clock: Clock, onError: (error: Error) => void): Pipelines {
    return new Pipelines(clock, onError)
  }

  /**
   * Adds a request until its response emits `close`. Makes sure that it does: when a connection closes, Node closes only the
   * response that is being sent, and neither those behind it nor their requests.
   */
  enter (response: ServerResponse): PipelinedExchange {
    const { socket } = response.req
    const pipeline = this.pipelines.get(socket) ?? this.open(socket)
    response.once('close', () => pipeline.remove(response, this.clock.now()))
    return pipeline.add(response)
  }

  /** How long the connection has had no pending request; 0 while it has one, infinite before the first. */
  idleMs (socket: Socket): Milliseconds {
    return this.pipelines.get(socket)?.idleMs(this.clock.now()) ?? Infinity
  }

  private open (socket: Socket): CallerPipeline {
    const pipeline = CallerPipeline.create(HeldBytes.createForConnection(this.budget), this.onError)
    this.pipelines.set(socket, pipeline)
    // Before Node closes the first response, which must not make way for the next any more.
    socket.prependOnceListener('close', () => pipeline.closeQueued())
    return pipeline
  }
}
