import type { HeldBytes } from './heldBytes.js'

/** The order of the exchanges of one connection. */
export interface ExchangeOrder {
  /** Whether other exchanges are pending. */
  readonly isShared: boolean
  /** Whether all responses before this one have been sent. */
  isFirst (exchange: PipelinedExchange): boolean
  /** Calls `begin` as soon as no response can break off any more that the connection would end with. */
  whenSafe (exchange: PipelinedExchange, begin: () => void): void
  /** A response begins that may break off. */
  onUncertain (exchange: PipelinedExchange): void
  /** The response has ended, though it may still have to be sent. */
  onCertain (exchange: PipelinedExchange): void
  /** The connection ends with a response, so that no further request may be passed on. */
  onClosing (): void
}

/**
 * A request and its response in the order of their connection. A response that breaks off takes the connection with it, and
 * with that the responses behind it, so a request is not passed on while this can happen to one before it.
 */
export class PipelinedExchange {
  private readonly writes: Array<() => void> = []
  private heldBytes = 0

  private constructor (private readonly order: ExchangeOrder, private readonly budget: HeldBytes) {}

  static create (order: ExchangeOrder, budget: HeldBytes): PipelinedExchange {
    return new PipelinedExchange(order, budget)
  }

  /** Whether the response may be sent now. */
  get hasTurn (): boolean {
    return this.writes.length === 0 && this.order.isFirst(this)
  }

  /** Whether other requests of the connection are pending. */
  get isShared (): boolean {
    return this.order.isShared
  }

  /** Calls `begin` as soon as the request may be passed on; never, if the connection closes before. */
  whenSafe (begin: () => void): void {
    this.order.whenSafe(this, begin)
  }

  /** Calls `write` as soon as the response may be sent; never, if the connection closes before. */
  whenTurn (write: () => void): void {
    if (this.hasTurn) write()
    else this.writes.push(write)
  }

  /** Whether a response that has `bytes` so far, or will have, is held until it is complete: only if others depend on it. */
  tryHold (bytes: number): boolean {
    if (bytes <= this.heldBytes) return true
    if (!this.order.isShared || !this.budget.tryGrow(this.heldBytes, bytes)) return false
    this.heldBytes = bytes
    return true
  }

  /** A response begins that may break off. */
  onStream (): void {
    this.order.onUncertain(this)
  }

  /** The response has ended, though it may still have to be sent. */
  onStreamEnd (): void {
    this.order.onCertain(this)
  }

  /** The response says that the connection ends with it. */
  onClosing (): void {
    this.order.onClosing()
  }

  /** The responses before this one have been sent. */
  onTurn (): void {
    for (const write of this.writes.splice(0)) write()
  }

  /** The response has been sent, or the connection has closed. */
  end (): void {
    this.writes.length = 0
    this.budget.release(this.heldBytes)
    this.heldBytes = 0
  }
}
