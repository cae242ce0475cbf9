import type { Milliseconds } from '../../types/clock.js'
import type { RoutingPolicy } from '../../types/routingPolicy.js'

const BURST_SECONDS = 1

/** Budget for load probes. Over any interval, messages and bytes stay within rate times time plus one second's worth. */
export class ProbeBudget {
  private messages: number
  private bytes: number
  private upstreamCount = 0

  private constructor (private policy: RoutingPolicy, private refilledAt: Milliseconds) {
    this.messages = 0
    this.bytes = policy.measuringBytesPerSecond * BURST_SECONDS
  }

  static create (policy: RoutingPolicy, now: Milliseconds): ProbeBudget {
    return new ProbeBudget(policy, now)
  }

  setPolicy (policy: RoutingPolicy): void {
    this.policy = policy
  }

  /** Sets the number of registered upstreams. The first upstreams add one second's worth of messages. */
  setUpstreamCount (count: number): void {
    const isFirst = this.upstreamCount === 0
    this.upstreamCount = count
    if (isFirst) this.messages = this.messagesPerSecond() * BURST_SECONDS
  }

  /** Spends one message of `bytes`; returns false if the budget does not cover it. */
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
    return Math.min(measuringMessagesPerSecond, measuringMessagesPerUpstreamSecond * this.upstreamCount)
  }
}
