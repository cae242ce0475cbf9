import type { Clock } from '../../types/clock.js'
import type { DispatchPort } from '../../types/dispatch.js'
import type { Picker } from '../../types/picker.js'
import type { RandomSource } from '../../types/randomSource.js'
import type { RequestKind } from '../../types/requestKind.js'
import { NO_POLICY_EXCEPTIONS, type PolicyExceptions, type RoutingPolicy } from '../../types/routingPolicy.js'
import { ServedShares } from '../capacity/servedShares.js'
import { SlotReservation } from '../capacity/slotReservation.js'
import { latestStartAt } from '../capacity/startEstimate.js'
import { TimerQueue } from '../../utils/timerQueue.js'
import { createCounters } from './dispatchCounters.js'
import { ProbeBudget } from '../limits/probeBudget.js'
import { OutlierDetector } from '../health/outlierDetector.js'
import { RetryBudget } from '../limits/retryBudget.js'
import { ServiceTimeModel } from '../routing/serviceTimeModel.js'
import { SuspectTable } from '../health/suspectTable.js'
import type { RateDivision } from '../limits/rateDivision.js'
import { UpstreamTable } from '../health/upstreamTable.js'
import { WaitQueue } from '../capacity/waitQueue.js'

/** Identity, settings and dependencies of a dispatcher. */
export interface DispatcherOptions {
  readonly service: string
  readonly clock: Clock
  readonly random: RandomSource
  readonly port: DispatchPort
  readonly picker: Picker
  readonly policy: RoutingPolicy
  /** Identifies this VM among the entry VMs. */
  readonly vmId: string
  /** Failure domain of this VM; undefined if all domains are treated alike. */
  readonly failureDomain?: string
  /** Divides the request rates that upstreams name among the VMs; this VM uses them alone by default. */
  readonly rateDivision?: RateDivision
}

/** Routing components and state of one service, shared by the modules of its dispatcher. */
export class RoutingContext {
  readonly counters = createCounters()
  readonly timers = TimerQueue.create()
  readonly table: UpstreamTable
  readonly serviceTimes: ServiceTimeModel
  readonly queue: WaitQueue
  readonly served = ServedShares.create()
  readonly reservation: SlotReservation
  readonly retryBudget: RetryBudget
  readonly suspects: SuspectTable
  readonly outliers: OutlierDetector
  readonly probeBudget: ProbeBudget
  policy: RoutingPolicy
  private exceptions = NO_POLICY_EXCEPTIONS
  entryRank = 0
  entryCount = 1

  private constructor (readonly options: DispatcherOptions) {
    const { policy, clock } = options
    this.policy = policy
    this.table = UpstreamTable.create(policy, options)
    this.serviceTimes = ServiceTimeModel.create(policy)
    const serviceMsOf = (kind: RequestKind) => this.serviceTimes.meanServiceMsOf(kind)
    this.queue = WaitQueue.create(policy, { serviceMsOf, latestStartAt: call => latestStartAt(this, call) }, this.served)
    this.reservation = SlotReservation.create(serviceMsOf)
    this.retryBudget = RetryBudget.create(policy)
    this.suspects = SuspectTable.create(policy)
    this.outliers = OutlierDetector.create(policy, this.serviceTimes, this.counters, () => this.table.inUse())
    this.probeBudget = ProbeBudget.create(policy, clock.now())
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

  /** Effective policy for calls of a kind. */
  policyOf (kind: RequestKind): RoutingPolicy {
    return this.exceptions.kinds.get(kind.name) ?? this.policy
  }

  /** Maximum number of attempts for a call of a kind, the first included. */
  maxAttempts (kind: RequestKind): number {
    return kind.maxAttempts ?? this.policyOf(kind).attemptsPerCall
  }

  setPolicy (policy: RoutingPolicy, exceptions: PolicyExceptions): void {
    this.policy = policy
    this.exceptions = exceptions
    this.table.setPolicy(policy, exceptions.upstreams)
    for (const part of [this.serviceTimes, this.queue, this.retryBudget, this.suspects, this.outliers, this.probeBudget]) {
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
