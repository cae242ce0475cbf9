import { Dispatcher } from '@cowsliplead/core/core/dispatch/dispatcher.js'
import { ExpectedDelayPicker } from '@cowsliplead/core/core/routing/expectedDelayPicker.js'
import type { FakeClock } from '@cowsliplead/core/types/clock.js'
import type { Attempt, DispatchPort } from '@cowsliplead/core/types/dispatch.js'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import type { RequestKind } from '@cowsliplead/core/types/requestKind.js'
import { DEFAULT_ROUTING_POLICY, type RoutingPolicy } from '@cowsliplead/core/types/routingPolicy.js'
import type { Upstream } from '@cowsliplead/core/types/upstream.js'

const SLOTS = 4
const FAILURE_DOMAIN_COUNT = 24
const ENTRY_COUNT = 6
const SERVICE_TIME_MS = 5
const LOOKUP: RequestKind = { name: 'lookup', weight: 1, idempotent: true, deadlineMs: 200, cancellable: true, hedgeable: true }

/** Creates live upstreams spread evenly over the failure domains. */
function createUpstreams (service: string, count: number): Upstream[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `${service}-upstream-${String(index).padStart(4, '0')}`,
    service,
    address: `10.${index % FAILURE_DOMAIN_COUNT}.${index >> 8}.${index & 255}`,
    port: 8080,
    failureDomain: `domain-${index % FAILURE_DOMAIN_COUNT}`,
    slots: SLOTS,
    state: 'live' as const
  }))
}

/** Options of one service under load. */
export interface ServiceLoadOptions {
  readonly clock: FakeClock
  readonly service: string
  readonly upstreamCount: number
  /** Calls in flight at any time. */
  readonly concurrency: number
  readonly policy?: Partial<RoutingPolicy>
}

/** One dispatcher under load, with a port that answers every attempt after about 5 ms of the fake clock. */
export class ServiceLoad implements DispatchPort {
  readonly dispatcher: Dispatcher
  finishedCalls = 0
  private readonly upstreams: readonly Upstream[]
  private readonly runningAttempts = new Map<number, Attempt>()
  private nextCallId = 1

  private constructor (private readonly options: ServiceLoadOptions) {
    const policy = { ...DEFAULT_ROUTING_POLICY, ...options.policy }
    this.dispatcher = Dispatcher.create({
      service: options.service,
      vmId: 'vm0',
      clock: options.clock,
      random: SeededRandom.create(1),
      port: this,
      picker: ExpectedDelayPicker.create(policy),
      policy
    })
    this.upstreams = createUpstreams(options.service, options.upstreamCount)
    this.updateUpstreams()
  }

  static create (options: ServiceLoadOptions): ServiceLoad {
    return new ServiceLoad(options)
  }

  /** Sets the list of upstreams again, as the daemon does after each change to it. */
  updateUpstreams (): void {
    this.dispatcher.setEntryPosition(0, ENTRY_COUNT)
    this.dispatcher.setUpstreams(this.upstreams)
  }

  /** Submits one call, and answers the oldest attempt once more than `concurrency` are in flight. */
  simulateCall (): void {
    const { clock, concurrency } = this.options
    clock.advance(SERVICE_TIME_MS / concurrency)
    this.submit()
    if (this.runningAttempts.size > concurrency) this.answerOldest()
    if ((this.dispatcher.nextTimerAt() ?? Infinity) <= clock.now()) this.dispatcher.tick()
  }

  startAttempt (attempt: Attempt): void {
    this.runningAttempts.set(attempt.id, attempt)
  }

  cancelAttempt (attemptId: number): void {
    this.runningAttempts.delete(attemptId)
  }

  finishCall (): void {
    this.finishedCalls++
  }

  private submit (): void {
    const id = this.nextCallId++
    const arrivedAt = this.options.clock.now()
    this.dispatcher.submit({ id, kind: LOOKUP, arrivedAt, deadlineAt: arrivedAt + LOOKUP.deadlineMs, fingerprint: `GET /permits/${id}`, replayable: true })
  }

  private answerOldest (): void {
    for (const { id } of this.runningAttempts.values()) {
      this.runningAttempts.delete(id)
      const report = { inFlight: 1, queued: 0, slots: SLOTS, draining: false, receivedAt: this.options.clock.now() }
      this.dispatcher.onAttemptResponding(id)
      this.dispatcher.onAttemptEnd(id, { kind: 'answered', report })
      return
    }
  }
}
