import { Dispatcher } from '@cowsliplead/core/core/dispatch/dispatcher.js'
import type { Attempt, AttemptEnd, CallResult, DispatchPort } from '@cowsliplead/core/types/dispatch.js'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import type { SuspectMark } from '@cowsliplead/core/types/suspectMark.js'
import type { LoadReport, Upstream } from '@cowsliplead/core/types/upstream.js'
import type { Cell, PlannedCall, UpstreamPlan } from '../../types/decisions.js'
import { RUN_START_MS } from '../../utils/eventQueue.js'
import type { Callers, CallScheduler } from './callers.js'
import type { BenchPolicy } from './policies.js'
import type { Exchange, Transport } from './transport.js'

/** Delay until the registry reports a change of upstreams or entry VMs to the dispatchers. */
const REGISTRY_LAG_MS = 300

/** Time for a write of suspect marks to reach the other VMs through the store. */
const MARK_PROPAGATION_MS = 10
/** Minimum time between two writes of suspect marks by one VM. */
const MARK_WRITE_INTERVAL_MS = 500

/** The entry VMs, each with its own dispatcher, and the registry and store that connect them. */
export class DispatcherFleet implements CallScheduler {
  private readonly entryVms: EntryVm[] = []
  /** Time of each entry VM's last write of suspect marks; in the future for a scheduled one. */
  private readonly lastWriteAt = new Map<number, number>()

  private constructor (private readonly cell: Cell, private readonly transport: Transport) {}

  static create (cell: Cell, transport: Transport, callers: Callers, policy: BenchPolicy): DispatcherFleet {
    const fleet = new DispatcherFleet(cell, transport)
    for (let entry = 0; entry < cell.entryCount; entry += 1) {
      fleet.entryVms.push(EntryVm.create({
        cell,
        transport,
        callers,
        policy,
        entry,
        replicateMarks: marks => fleet.replicateMarks(entry, marks)
      }))
    }
    fleet.publishEntryPositions(cell.entryCount)
    fleet.publishUpstreams()
    fleet.scheduleUpstreamChanges()
    return fleet
  }

  submit (call: PlannedCall, entry: number): void {
    this.entryVms[entry]!.submit(call)
  }

  onEntryLost (entry: number): void {
    this.entryVms[entry]!.terminate()
    this.runAfter(REGISTRY_LAG_MS, () => this.publishEntryPositions(this.cell.entryCount - 1))
  }

  private runAfter (delayMs: number, action: () => void): void {
    this.transport.events.schedule(this.transport.events.now() + delayMs, action)
  }

  /** Schedules registry updates: new upstreams are published when they join, draining ones after the registry's lag. */
  private scheduleUpstreamChanges (): void {
    const changeTimes = new Set<number>()
    for (const plan of this.cell.plans) {
      if (plan.joinAt > 0) changeTimes.add(plan.joinAt)
      if (plan.drainFrom < Infinity) changeTimes.add(plan.drainFrom + REGISTRY_LAG_MS)
    }
    for (const changeAt of changeTimes) this.transport.events.schedule(changeAt, () => this.publishUpstreams())
  }

  /**
   * Delivers marks of suspect requests to the other VMs through the store: the first of a burst immediately, the
   * others batched into one write per interval.
   */
  private replicateMarks (sourceEntry: number, marks: readonly SuspectMark[]): void {
    const now = this.transport.events.now()
    const previousWriteAt = this.lastWriteAt.get(sourceEntry) ?? -Infinity
    // A write that is already scheduled includes all marks made until then.
    const writeAt = previousWriteAt > now ? previousWriteAt : Math.max(now, previousWriteAt + MARK_WRITE_INTERVAL_MS)
    this.lastWriteAt.set(sourceEntry, writeAt)
    this.runAfter(writeAt - now + MARK_PROPAGATION_MS, () => {
      for (const [entry, vm] of this.entryVms.entries()) {
        if (entry !== sourceEntry) vm.runDispatcher(dispatcher => dispatcher.importSuspects(marks))
      }
    })
  }

  private publishEntryPositions (count: number): void {
    for (const [entry, vm] of this.entryVms.entries()) vm.runDispatcher(dispatcher => dispatcher.setEntryPosition(entry, count))
  }

  private publishUpstreams (): void {
    const now = this.transport.events.now()
    const upstreams = this.cell.plans.filter(plan => plan.joinAt <= Math.max(0, now)).map(plan => toUpstream(plan, now))
    for (const vm of this.entryVms) vm.runDispatcher(dispatcher => dispatcher.setUpstreams(upstreams))
  }
}

function toUpstream (plan: UpstreamPlan, now: number): Upstream {
  return {
    id: plan.id,
    service: 'bench',
    address: '127.0.0.1',
    port: 1,
    failureDomain: plan.failureDomain,
    slots: plan.slots,
    state: now >= plan.drainFrom + REGISTRY_LAG_MS ? 'leaving' : 'live'
  }
}

interface EntryVmOptions {
  readonly cell: Cell
  readonly transport: Transport
  readonly callers: Callers
  readonly policy: BenchPolicy
  readonly entry: number
  readonly replicateMarks: (marks: readonly SuspectMark[]) => void
}

/** One entry VM: executes the decisions of its dispatcher on the simulated transport. */
class EntryVm implements DispatchPort {
  private readonly dispatcher: Dispatcher
  private readonly exchanges = new Map<number, Exchange>()
  private readonly calls = new Map<number, PlannedCall>()
  private isTerminated = false
  private timerAt = Infinity
  /** The attempt end that the dispatcher is processing; tells `finishCall` whether the answer is a server error. */
  private endInProgress: AttemptEnd | undefined

  private constructor (private readonly options: EntryVmOptions) {
    this.dispatcher = Dispatcher.create({
      service: 'bench',
      vmId: `vm${options.entry}`,
      clock: options.transport.events.clock,
      random: SeededRandom.create(options.cell.seed + 104729 * (options.entry + 1)),
      port: this,
      picker: options.policy.createPicker(),
      policy: options.policy.policy
    })
  }

  static create (options: EntryVmOptions): EntryVm {
    return new EntryVm(options)
  }

  submit (call: PlannedCall): void {
    this.calls.set(call.id, call)
    this.runDispatcher(dispatcher => dispatcher.submit({
      id: call.id,
      kind: call.load.kind,
      arrivedAt: RUN_START_MS + call.arrivesAt,
      deadlineAt: RUN_START_MS + call.arrivesAt + call.load.kind.deadlineMs,
      fingerprint: call.fingerprint,
      replayable: true
    }))
  }

  /** Simulates the loss of the VM: closes its connections and ignores all further events. */
  terminate (): void {
    this.isTerminated = true
    for (const exchange of this.exchanges.values()) this.options.transport.cancel(exchange)
    this.exchanges.clear()
  }

  /** Runs `action` on the dispatcher, then arms the timer that the dispatcher requests. */
  runDispatcher (action: (dispatcher: Dispatcher) => void): void {
    if (this.isTerminated) return
    action(this.dispatcher)
    this.armTimer()
  }

  startAttempt (attempt: Attempt): void {
    const { transport, entry } = this.options
    const call = this.calls.get(attempt.callId)!
    transport.recorder.countAttempt(call, attempt.purpose)
    const exchange = transport.send({
      call,
      entry,
      upstreamId: attempt.upstreamId,
      deadlineAt: attempt.deadlineAt - RUN_START_MS,
      onEnd: end => this.handleAttemptEnd(attempt.id, end)
    })
    this.exchanges.set(attempt.id, exchange)
  }

  cancelAttempt (attemptId: number): void {
    const exchange = this.exchanges.get(attemptId)
    if (exchange === undefined) return
    this.exchanges.delete(attemptId)
    this.options.transport.cancel(exchange)
  }

  finishCall (callId: number, result: CallResult): void {
    const call = this.calls.get(callId)
    if (call === undefined) return
    this.calls.delete(callId)
    if (result.kind !== 'delivered') this.options.callers.finish(call, result)
    else this.options.callers.finish(call, this.endInProgress?.serverError === true ? 'serverError' : 'answer')
  }

  shareSuspects (marks: readonly SuspectMark[]): void {
    this.options.replicateMarks(marks)
  }

  sendProbe (upstreamId: string): void {
    this.options.transport.probe(this.options.entry, upstreamId, report => {
      this.runDispatcher(dispatcher => dispatcher.onProbeReport(upstreamId, toCoreClock(report)))
    })
  }

  private handleAttemptEnd (attemptId: number, end: AttemptEnd): void {
    this.exchanges.delete(attemptId)
    this.runDispatcher(dispatcher => {
      this.endInProgress = end
      if (end.kind === 'answered') dispatcher.onAttemptResponding(attemptId, { serverError: end.serverError === true })
      dispatcher.onAttemptEnd(attemptId, end.report === undefined ? end : { ...end, report: toCoreClock(end.report) })
      this.endInProgress = undefined
    })
  }

  private armTimer (): void {
    const at = (this.dispatcher.nextTimerAt() ?? Infinity) - RUN_START_MS
    if (at >= this.timerAt || at === Infinity) return
    this.timerAt = at
    this.options.transport.events.schedule(at, () => {
      if (this.timerAt !== at) return
      this.timerAt = Infinity
      this.runDispatcher(dispatcher => dispatcher.tick())
    })
  }
}

/** Converts the receipt time of a report from the time of the run to that of the dispatcher's clock. */
function toCoreClock (report: LoadReport): LoadReport {
  return { ...report, receivedAt: RUN_START_MS + report.receivedAt }
}
