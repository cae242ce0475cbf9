import type { HandoverLimit } from '@cowsliplead/core/core/handover/handoverLimit.js'
import type { HandoverCall } from './handoverCall.js'
import { Transfer, type TransferEnd, type TransferOptions } from './transfer.js'

/** Why no VM has got a call: this VM hands over as many as it may, or none of the others takes it. */
export type HandoverRefusal = 'limit' | 'noReceiver'

/** Options of the sender. */
export interface HandoverSenderOptions extends TransferOptions {
  readonly limit: HandoverLimit
  /** Called when a call that at least one VM was asked to take has ended, or goes back to this VM. */
  readonly onEnd: (call: HandoverCall, end: TransferEnd) => void
  readonly onError: (error: Error) => void
}

/** Hands calls to other VMs. */
export class HandoverSender {
  /** Calls since the start, by outcome. */
  readonly outcomes = new Map<string, number>()

  private constructor (private readonly options: HandoverSenderOptions) {}

  static create (options: HandoverSenderOptions): HandoverSender {
    return new HandoverSender(options)
  }

  /** Calls in progress at other VMs. */
  get inProgress (): number {
    return this.options.limit.inProgress
  }

  /** Hands a call over. Calls `onRefusal` if the call has not run anywhere and its body can still be sent. */
  send (call: HandoverCall, onRefusal: (refusal: HandoverRefusal) => void): void {
    const { limit, onEnd, onError } = this.options
    if (!limit.tryEnter()) {
      this.count('overLimit')
      return onRefusal('limit')
    }
    Transfer.start(call, this.options, end => {
      limit.leave()
      this.count(end.outcome)
      onEnd(call, end)
      if (end.outcome !== 'noReceiver') return
      try {
        onRefusal('noReceiver')
      } catch (error) {
        onError(error as Error)
        call.sink.sendError('internal', '')
      }
    })
  }

  private count (outcome: string): void {
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1)
  }
}
