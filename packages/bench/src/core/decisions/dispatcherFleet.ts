import { Dispatcher } from '@cowsliplead/core/core/dispatch/dispatcher.js'
import type { Attempt, AttemptEnd, CallResult, DispatchPort } from '@cowsliplead/core/types/dispatch.js'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import type { SuspectMark } from '@cowsliplead/core/types/suspectMark.js'
import type { LoadReport, Upstream } from '@cowsliplead/core/types/upstream.js'
import type { Cell, PlannedCall, UpstreamPlan } from '../../types/decisions.js'
import { RUN_START } from '../../utils/eventQueue.js'
import type { Callers, Decider } from './callers.js'
import type { BenchPolicy } from './policies.js'
import { DELAY_BETWEEN_DOMAINS_MS, type Exchange, type Transport } from './transport.js'

/** Time until the registry tells the dispatchers of a change. */
const VM_LIST_LAG_MS = 300

/** Each VM sends to this many peers once per interval, as in the exchange among daemons. */
const EXCHANGE_INTERVAL_MS = 1000
const EXCHANGE_FAN_OUT = 3

/** One dispatcher per entry VM. */
export class DispatcherFleet implements Decider {
  private readonly hosts: EntryHost[] = []

  private constructor (private readonly cell: Cell, private readonly transport: Transport) {}

  static create (cell: Cell, transport: Transport, callers: Callers, policy: BenchPolicy): DispatcherFleet {
    const fleet = new DispatcherFleet(cell, transport)
    for (let entry = 0; entry < cell.entryCount; entry += 1) {
      fleet.hosts.push(EntryHost.create({ cell, transport, callers, policy, entry, share: marks => fleet.share(entry, marks) }))
    }
    fleet.publishEntries(cell.entryCount)
    fleet.publishUpstreams()
    fleet.scheduleListChanges()
    for (const entry of fleet.hosts.keys()) fleet.scheduleExchange(entry, EXCHANGE_INTERVAL_MS * entry / cell.entryCount)
    return fleet
  }

  submit (call: PlannedCall, entry: number): void {
    this.hosts[entry]!.submit(call)
  }

  loseEntry (entry: number): void {
    this.hosts[entry]!.lose()
    this.after(VM_LIST_LAG_MS, () => this.publishEntries(this.cell.entryCount - 1))
  }

  private after (delayMs: number, action: () => void): void {
    this.transport.events.schedule(this.transport.events.now() + delayMs, action)
  }

  /** New upstreams are listed as they join; leaving ones are listed late. */
  private scheduleListChanges (): void {
    const instants = new Set<number>()
    for (const plan of this.cell.plans) {
      if (plan.joinAt > 0) instants.add(plan.joinAt)
      if (plan.drainFrom < Infinity) instants.add(plan.drainFrom + VM_LIST_LAG_MS)
    }
    for (const instant of instants) this.transport.events.schedule(instant, () => this.publishUpstreams())
  }

  /** Draining upstreams and suspect requests are passed to peers in turn; VMs send at staggered times. */
  private scheduleExchange (entry: number, at: number): void {
    this.transport.events.schedule(at, () => {
      const round = Math.round(at / EXCHANGE_INTERVAL_MS)
      for (let step = 0; step < EXCHANGE_FAN_OUT; step += 1) {
        const offset = 1 + (EXCHANGE_FAN_OUT * round + step) % (this.hosts.length - 1 || 1)
        this.exchange(this.hosts[entry]!, this.hosts[(entry + offset) % this.hosts.length]!)
      }
      if (at < this.cell.endAt) this.scheduleExchange(entry, at + EXCHANGE_INTERVAL_MS)
    })
  }

  private exchange (from: EntryHost, to: EntryHost): void {
    if (from === to) return
    from.update(sender => {
      const draining = sender.drainingSeen()
      const suspects = sender.exportSuspects()
      this.after(DELAY_BETWEEN_DOMAINS_MS, () => to.update(receiver => {
        for (const upstreamId of draining) receiver.markDraining(upstreamId)
        receiver.importSuspects(suspects)
      }))
    })
  }

  /** Marks of suspect requests go to every peer at once. */
  private share (from: number, marks: readonly SuspectMark[]): void {
    this.after(DELAY_BETWEEN_DOMAINS_MS, () => {
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
    state: now >= plan.drainFrom + VM_LIST_LAG_MS ? 'leaving' : 'live'
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
