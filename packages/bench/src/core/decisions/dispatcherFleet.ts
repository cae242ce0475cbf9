import { Dispatcher } from '@cowsliplead/core/core/dispatch/dispatcher.js'
import type { Attempt, AttemptEnd, CallResult, DispatchPort } from '@cowsliplead/core/types/dispatch.js'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import type { SuspectMark } from '@cowsliplead/core/types/suspectMark.js'
import type { LoadReport, Upstream } from '@cowsliplead/core/types/upstream.js'
import type { Cell, PlannedCall, UpstreamPlan } from '../../types/decisions.js'
import { RUN_START } from '../../utils/eventQueue.js'
import type { Callers, Decider } from './callers.js'
import type { BenchPolicy } from './policies.js'
import type { Exchange, Transport } from './transport.js'

/** Time until the registry tells the dispatchers of a change. */
const REGISTRY_LAG_MS = 300

/** Time until a mark has been written to the store and read by the other VMs, as long as marks are rare. */
const SHARE_DELAY_MS = 10
/** Time between two writes of marks by one VM. */
const SHARE_INTERVAL_MS = 500

/** One dispatcher per entry VM. */
export class DispatcherFleet implements Decider {
  private readonly hosts: EntryHost[] = []
  /** When each VM writes its newest marks. */
  private readonly writtenAt = new Map<number, number>()

  private constructor (private readonly cell: Cell, private readonly transport: Transport) {}

  static create (cell: Cell, transport: Transport, callers: Callers, policy: BenchPolicy): DispatcherFleet {
    const fleet = new DispatcherFleet(cell, transport)
    for (let entry = 0; entry < cell.entryCount; entry += 1) {
      fleet.hosts.push(EntryHost.create({ cell, transport, callers, policy, entry, share: marks => fleet.share(entry, marks) }))
    }
    fleet.publishEntries(cell.entryCount)
    fleet.publishUpstreams()
    fleet.scheduleListChanges()
    return fleet
  }

  submit (call: PlannedCall, entry: number): void {
    this.hosts[entry]!.submit(call)
  }

  loseEntry (entry: number): void {
    this.hosts[entry]!.lose()
    this.after(REGISTRY_LAG_MS, () => this.publishEntries(this.cell.entryCount - 1))
  }

  private after (delayMs: number, action: () => void): void {
    this.transport.events.schedule(this.transport.events.now() + delayMs, action)
  }

  /** New upstreams are listed as they join; leaving ones are listed late. */
  private scheduleListChanges (): void {
    const instants = new Set<number>()
    for (const plan of this.cell.plans) {
      if (plan.joinAt > 0) instants.add(plan.joinAt)
      if (plan.drainFrom < Infinity) instants.add(plan.drainFrom + REGISTRY_LAG_MS)
    }
    for (const instant of instants) this.transport.events.schedule(instant, () => this.publishUpstreams())
  }

  /** Marks of suspect requests reach the other VMs through the store: the first of a burst at once, the others in batches. */
  private share (from: number, marks: readonly SuspectMark[]): void {
    const now = this.transport.events.now()
    const last = this.writtenAt.get(from) ?? -Infinity
    // A write that is due later takes along all marks that are made until then.
    const writtenAt = last > now ? last : Math.max(now, last + SHARE_INTERVAL_MS)
    this.writtenAt.set(from, writtenAt)
    this.after(writtenAt - now + SHARE_DELAY_MS, () => {
      for (const [entry, host] of this.hosts.entries()) {
        if (entry !== from) host.update(receiver => receiver.importSuspects(marks))
      }
    })
  }

  private publishEntries (count: number): void {
    for (const [entry, host] of this.hosts.entries()) host.update(dispatcher => dispatcher.setEntryPosition(entry, count))
  }

  private publishUpstreams (): void {
    const now = this.transport.events.now()
    const listed = this.cell.plans.filter(plan => plan.joinAt <= Math.max(0, now)).map(plan => describe(plan, now))
    for (const host of this.hosts) host.update(dispatcher => dispatcher.setUpstreams(listed))
  }
}

function describe (plan: UpstreamPlan, now: number): Upstream {
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

interface EntryHostOptions {
  readonly cell: Cell
  readonly transport: Transport
  readonly callers: Callers
  readonly policy: BenchPolicy
  readonly entry: number
  readonly share: (marks: readonly SuspectMark[]) => void
}

/** One entry VM: carries out what its dispatcher decides. */
class EntryHost implements DispatchPort {
  private readonly dispatcher: Dispatcher
  private readonly exchanges = new Map<number, Exchange>()
  private readonly calls = new Map<number, PlannedCall>()
  private isLost = false
  private wakeAt = Infinity
  /** The answer that is being handed to the dispatcher. */
  private currentEnd: AttemptEnd | undefined

  private constructor (private readonly options: EntryHostOptions) {
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

  static create (options: EntryHostOptions): EntryHost {
    return new EntryHost(options)
  }

  submit (call: PlannedCall): void {
    this.calls.set(call.id, call)
    this.update(dispatcher => dispatcher.submit({
      id: call.id,
      kind: call.load.kind,
      arrivedAt: RUN_START + call.at,
      deadlineAt: RUN_START + call.at + call.load.kind.deadlineMs,
      fingerprint: call.fingerprint,
      replayable: true
    }))
  }

  /** The VM is gone: its connections close and nothing it would do happens. */
  lose (): void {
    this.isLost = true
    for (const exchange of this.exchanges.values()) this.options.transport.cancel(exchange)
    this.exchanges.clear()
  }

  /** Lets the dispatcher act, then sets the timer that it asks for. */
  update (action: (dispatcher: Dispatcher) => void): void {
    if (this.isLost) return
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
      deadlineAt: attempt.deadlineAt - RUN_START,
      onEnd: end => this.onEnd(attempt.id, end)
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
    else this.options.callers.finish(call, this.currentEnd?.serverError === true ? 'serverError' : 'answer')
  }

  shareSuspects (marks: readonly SuspectMark[]): void {
    this.options.share(marks)
  }

  sendProbe (upstreamId: string): void {
    this.options.transport.probe(this.options.entry, upstreamId, report => {
      this.update(dispatcher => dispatcher.onProbeReport(upstreamId, onCoreClock(report)))
    })
  }

  private onEnd (attemptId: number, end: AttemptEnd): void {
    this.exchanges.delete(attemptId)
    this.update(dispatcher => {
      this.currentEnd = end
      if (end.kind === 'answered') dispatcher.onAttemptResponding(attemptId, { serverError: end.serverError === true })
      dispatcher.onAttemptEnd(attemptId, end.report === undefined ? end : { ...end, report: onCoreClock(end.report) })
      this.currentEnd = undefined
    })
  }

  private armTimer (): void {
    const at = (this.dispatcher.nextTimerAt() ?? Infinity) - RUN_START
    if (at >= this.wakeAt || at === Infinity) return
    this.wakeAt = at
    this.options.transport.events.schedule(at, () => {
      if (this.wakeAt !== at) return
      this.wakeAt = Infinity
      this.update(dispatcher => dispatcher.tick())
    })
  }
}

function onCoreClock (report: LoadReport): LoadReport {
  return { ...report, receivedAt: RUN_START + report.receivedAt }
}
