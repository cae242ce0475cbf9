import type { Clock } from '../../types/clock.js'
import type { DispatchPort } from '../../types/dispatch.js'
import type { Picker } from '../../types/picker.js'
import type { RandomSource } from '../../types/randomSource.js'
import type { RequestKind } from '../../types/requestKind.js'
import { NO_POLICY_EXCEPTIONS, type PolicyExceptions, type RoutingPolicy } from '../../types/routingPolicy.js'
import { TimerQueue } from '../../utils/timerQueue.js'
import { createCounters } from './dispatchCounters.js'
import { MeasuringBudget } from '../limits/measuringBudget.js'
import { OutlierDetector } from '../health/outlierDetector.js'
import { RetryBudget } from '../limits/retryBudget.js'
import { ServiceModel } from '../routing/serviceModel.js'
import { SuspectTable } from '../health/suspectTable.js'
import { UpstreamTable } from '../health/upstreamTable.js'
import { WaitQueue } from '../limits/waitQueue.js'

/** What a dispatcher is made of. */
export interface DispatcherOptions {
  readonly service: string
  readonly clock: Clock
  readonly random: RandomSource
  readonly port: DispatchPort
  readonly picker: Picker
  readonly policy: RoutingPolicy
  /** Identifies this VM among the entry VMs. */
  readonly vmId: string
  /** Failure domain of this VM; undefined where domains are all alike. */
  readonly failureDomain?: string
}

/** The parts that decide for one service, shared by the modules of its dispatcher. */
export class RoutingContext {
  readonly counters = createCounters()
  readonly timers = TimerQueue.create()
  readonly table: UpstreamTable
  readonly model: ServiceModel
  readonly queue: WaitQueue
  readonly budget: RetryBudget
  readonly suspects: SuspectTable
  readonly outliers: OutlierDetector
  readonly measuring: MeasuringBudget
  policy: RoutingPolicy
  private exceptions = NO_POLICY_EXCEPTIONS
  entryRank = 0
  entryCount = 1

  private constructor (readonly options: DispatcherOptions) {
    const { policy, clock } = options
    this.policy = policy
    this.table = UpstreamTable.create(policy, options)
    this.model = ServiceModel.create(policy)
    this.queue = WaitQueue.create(policy, kind => this.model.kindMs(kind))
    this.budget = RetryBudget.create(policy)
    this.suspects = SuspectTable.create(policy)
    this.outliers = OutlierDetector.create(policy, this.model, this.counters, () => this.table.all())
    this.measuring = MeasuringBudget.create(policy, clock.now())
    options.picker.setPolicy?.(policy)
  }

  static create (options: DispatcherOptions): RoutingContext {
    return new RoutingContext(options)
  }

  get clock (): Clock {
    return this.options.clock
  }

  get port (): DispatchPort {
    return this.options.port
  }

  get picker (): Picker {
    return this.options.picker
  }

  /** The numbers in force for calls of a kind. */
  policyOf (kind: RequestKind): RoutingPolicy {
    return this.exceptions.kinds.get(kind.name) ?? this.policy
  }

  /** Upstreams that a call of a kind may be sent to. */
  maxAttempts (kind: RequestKind): number {
    return kind.maxAttempts ?? this.policyOf(kind).attemptsPerCall
  }

  setPolicy (policy: RoutingPolicy, exceptions: PolicyExceptions): void {
    this.policy = policy
    this.exceptions = exceptions
    this.table.setPolicy(policy, exceptions.upstreams)
    for (const part of [this.model, this.queue, this.budget, this.suspects, this.outliers, this.measuring]) {
      part.setPolicy(policy)
    }
    this.picker.setPolicy?.(policy)
  }

  setEntryPosition (rank: number, count: number): void {
    this.entryRank = rank
    this.entryCount = Math.max(count, 1)
    this.table.setEntryPosition(rank, this.entryCount)
  }
}
