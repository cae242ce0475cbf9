import type { ServerResponse } from 'node:http'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { HeldBytes } from './heldBytes.js'
import { PipelinedExchange, type ExchangeOrder } from './pipelinedExchange.js'

/** The pending exchanges of one caller connection, in the order of their requests. */
export class CallerPipeline implements ExchangeOrder {
  private readonly pending = new Map<ServerResponse, PipelinedExchange>()
  /** Exchanges whose responses may break off. */
  private readonly uncertain = new Set<PipelinedExchange>()
  /** The last of the pending exchanges, if they have to wait for uncertain ones; calls pass their requests on. */
  private readonly waiting = new Map<PipelinedExchange, () => void>()
  /** When the last response was closed. */
  private idleSince: Milliseconds = 0
  /** Whether the connection ends with a response that has begun. */
  private isClosing = false

  private constructor (private readonly budget: HeldBytes, private readonly onError: (error: Error) => void) {}

  /** `onError` is called with an exception of what had to wait; the connection is closed then. */
  static create (budget: HeldBytes, onError: (error: Error) => void): CallerPipeline {
    return new CallerPipeline(budget, onError)
  }

  get isShared (): boolean {
    return this.pending.size > 1
  }

  /** How long no exchange has been pending; 0 while one is. */
  idleMs (now: Milliseconds): Milliseconds {
    return this.pending.size > 0 ? 0 : now - this.idleSince
  }

  add (response: ServerResponse): PipelinedExchange {
    const exchange = PipelinedExchange.create(this, this.budget)
    this.pending.set(response, exchange)
    return exchange
  }

  /** The response was sent, or will never be. */
  remove (response: ServerResponse, now: Milliseconds): void {
    const exchange = this.pending.get(response)
    if (exchange === undefined) return
    exchange.end()
    this.pending.delete(response)
    this.waiting.delete(exchange)
    this.uncertain.delete(exchange)
    this.idleSince = now
    this.proceed()
  }

  isFirst (exchange: PipelinedExchange): boolean {
    const [first] = this.pending.values()
    return first === exchange
  }

  whenSafe (exchange: PipelinedExchange, begin: () => void): void {
    if (this.isSafe()) begin()
    else this.waiting.set(exchange, begin)
  }

  onUncertain (exchange: PipelinedExchange): void {
    this.uncertain.add(exchange)
  }

  onCertain (exchange: PipelinedExchange): void {
    this.uncertain.delete(exchange)
    this.proceed()
  }

  onClosing (): void {
    this.isClosing = true
  }

  /** Closes the responses that had to wait for others; Node then closes the one that has the socket. */
  closeQueued (): void {
    this.isClosing = true
    for (const exchange of this.pending.values()) exchange.end()
    for (const response of [...this.pending.keys()]) {
      if (response.socket !== null || response.writableFinished) continue
      response.destroy()
      response.emit('close')
    }
  }

  private isSafe (): boolean {
    return this.uncertain.size === 0 && !this.isClosing
  }

  /** Sends the response whose turn it is, and passes on the requests that may be now. */
  private proceed (): void {
    const [first] = this.pending
    if (first === undefined) return
    const [response, exchange] = first
    this.guard(response, () => exchange.onTurn())
    for (const [waiting, begin] of this.waiting) {
      if (!this.isSafe()) return
      this.waiting.delete(waiting)
      this.guard(response, begin)
    }
  }

  /** An exception ends the requests of this connection, not the process. */
  private guard (response: ServerResponse, action: () => void): void {
    try {
      action()
    } catch (error) {
      this.onError(error as Error)
      response.destroy()
    }
  }
}
