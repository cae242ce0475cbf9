import type { Milliseconds } from '../../types/clock.js'
import type { RoutingPolicy } from '../../types/routingPolicy.js'

const BURST_SECONDS = 1

/** Budget for dedicated measurement, in messages and in bytes; both are bounded over any interval by rate times time plus one second's worth. */
export class MeasuringBudget {
  private messages: number
  private bytes: number

  private constructor (private policy: RoutingPolicy, private refilledAt: Milliseconds) {
    this.messages = policy.measuringMessagesPerSecond * BURST_SECONDS
    this.bytes = policy.measuringBytesPerSecond * BURST_SECONDS
  }

  static create (policy: RoutingPolicy, now: Milliseconds): MeasuringBudget {
    return new MeasuringBudget(policy, now)
  }

  setPolicy (policy: RoutingPolicy): void {
    this.policy = policy
  }

  /** Takes one message of `bytes` out of the budget; false where it does not fit. */
  trySpend (bytes: number, now: Milliseconds): boolean {
    this.refill(now)
    if (this.messages < 1 || this.bytes < bytes) return false
    this.messages -= 1
    this.bytes -= bytes
    return true
  }

  private refill (now: Milliseconds): void {
    const seconds = Math.max(0, now - this.refilledAt) / 1_000
    this.refilledAt = Math.max(this.refilledAt, now)
    const { measuringMessagesPerSecond, measuringBytesPerSecond } = this.policy
    this.messages = Math.min(this.messages + seconds * measuringMessagesPerSecond, measuringMessagesPerSecond * BURST_SECONDS)
    this.bytes = Math.min(this.bytes + seconds * measuringBytesPerSecond, measuringBytesPerSecond * BURST_SECONDS)
  }
}
