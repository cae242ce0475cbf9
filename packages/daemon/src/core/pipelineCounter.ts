import type { Socket } from 'node:net'

/** Counts the requests on each caller connection that wait for their response. */
export class PipelineCounter {
  private readonly waiting = new WeakMap<Socket, number>()

  private constructor () {}

  static create (): PipelineCounter {
    return new PipelineCounter()
  }

  enter (socket: Socket): void {
    this.waiting.set(socket, (this.waiting.get(socket) ?? 0) + 1)
  }

  leave (socket: Socket): void {
    this.waiting.set(socket, (this.waiting.get(socket) ?? 1) - 1)
  }

  isEmpty (socket: Socket): boolean {
    return (this.waiting.get(socket) ?? 0) === 0
  }

  /** Whether no further request on this connection waits behind the one being answered. */
  isLast (socket: Socket): boolean {
    return (this.waiting.get(socket) ?? 0) <= 1
  }
}
