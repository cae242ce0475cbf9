import type { Milliseconds } from '../../types/clock.js'
import type { RoutingPolicy } from '../../types/routingPolicy.js'

const BURST_SECONDS = 1

/** Budget for dedicated measurement, in messages and in bytes; both are bounded over any interval by rate times time plus one second's worth. */
export class MeasuringBudget {
  private messages: number
  private bytes: number
  private upstreams = 0

  private constructor (private policy: RoutingPolicy, private refilledAt: Milliseconds) {
    this.messages = 0
    this.bytes = policy.measuringBytesPerSecond * BURST_SECONDS
  }

  static create (policy: RoutingPolicy, now: Milliseconds): MeasuringBudget {
    return new MeasuringBudget(policy, now)
  }

  setPolicy (policy: RoutingPolicy): void {
    this.policy = policy
  }

  /** Takes the number of registered upstreams. The first ones bring a second's worth of messages. */
  setUpstreams (count: number): void {
    const isFirst = this.upstreams === 0
    this.upstreams = count
    if (isFirst) this.messages = this.messagesPerSecond() * BURST_SECONDS
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
    const { measuringBytesPerSecond } = this.policy
    const rate = this.messagesPerSecond()
    this.messages = Math.min(this.messages + seconds * rate, rate * BURST_SECONDS)
    this.bytes = Math.min(this.bytes + seconds * measuringBytesPerSecond, measuringBytesPerSecond * BURST_SECONDS)
  }

  private messagesPerSecond (): number {
    const { measuringMessagesPerSecond, measuringMessagesPerUpstreamSecond } = this.policy
    return Math.min(measuringMessagesPerSecond, measuringMessagesPerUpstreamSecond * this.upstreams)
  }
}
