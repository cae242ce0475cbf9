import type { AttemptEnd } from '@cowsliplead/core/types/dispatch.js'
import type { PlannedCall } from '../../types/decisions.js'
import type { CallerResult, Callers, CallScheduler } from './callers.js'
import type { FakeUpstream } from './fakeUpstream.js'
import { LOAD_MIX } from './loadMix.js'
import { expectedValue, OracleSelector, type Candidate } from './oracleSelector.js'
import type { Exchange, Transport } from './transport.js'

/** A queued call is refused when less than this share of its expected work time remains before its deadline. */
const MIN_TIME_LEFT_SHARE = 0.5

/** Multiple of a kind's mean work that nearly all of its calls stay below. */
const HIGH_WORK_FACTOR = 2

/** A hedgeable call that takes this many times its expected work time gets a second attempt on a free slot. */
const HEDGE_FACTOR = 3

/** Interval between checks for a free slot for a hedge. */
const HEDGE_RECHECK_MS = 2

/** Maximum hedges as a share of started attempts; the same budget as that of the policies. */
const HEDGE_BUDGET_SHARE = 0.1

interface PendingCall {
  readonly call: PlannedCall
  readonly entry: number
  readonly exchanges: Exchange[]
  isWaiting: boolean
  isFinished: boolean
}

/**
 * The upper limit that policies are compared with: a central scheduler that knows the current queue and speed of every
 * upstream and which upstreams are faulty. It knows neither the work of individual calls in advance nor the future.
 */
export class Oracle implements CallScheduler {
  private queue: PendingCall[] = []
  private readonly inTransit = new Map<FakeUpstream, number>()
  private readonly lostEntries = new Set<number>()
  private startedCount = 0
  private hedgeCount = 0

  private constructor (private readonly transport: Transport, private readonly callers: Callers) {
    for (const upstream of transport.upstreams) this.inTransit.set(upstream, 0)
  }

  static create (transport: Transport, callers: Callers): Oracle {
    return new Oracle(transport, callers)
  }

  submit (call: PlannedCall, entry: number): void {
    if (call.crashesUpstream) return this.callers.finish(call, { kind: 'notRun', code: 'suspectRequest' })
    const pending: PendingCall = { call, entry, exchanges: [], isWaiting: true, isFinished: false }
    this.queue.push(pending)
    this.transport.events.schedule(deadlineOf(call), () => this.onDeadline(pending))
    this.assignQueued()
  }

  onEntryLost (entry: number): void {
    this.lostEntries.add(entry)
    this.queue = this.queue.filter(pending => pending.entry !== entry)
  }

  /** Assigns queued calls, each to the upstream with the lowest expected completion time. */
  private assignQueued (): void {
    if (this.queue.length === 0) return
    const selector = OracleSelector.create(this.transport, this.inTransit)
    if (!selector.hasCapacity()) return
    this.refuseUnreachable(selector)
    this.startCalls(this.orderQueue(selector), selector)
    this.queue = this.queue.filter(pending => pending.isWaiting)
  }

  private startCalls (calls: Iterable<PendingCall>, selector: OracleSelector): void {
    let callsAhead = 0
    for (const pending of calls) {
      const best = selector.selectBest(pending.call, pending.entry, callsAhead)
      if (best === undefined) {
        callsAhead += 1
        continue
      }
      selector.commit(best)
      this.start(pending, best)
      if (!selector.hasCapacity()) return
    }
  }

  /** Orders queued calls by arrival while all of them can meet their deadlines, otherwise by expected value. */
  private orderQueue ({ totalRate, minSlowdown }: OracleSelector): Iterable<PendingCall> {
    const now = this.transport.events.now()
    const isOverloaded = this.queue.some(({ call }, index) => {
      const spareMs = deadlineOf(call) - now - HIGH_WORK_FACTOR * call.load.meanWorkMs * minSlowdown
      return spareMs > 0 && index / totalRate > spareMs
    })
    return isOverloaded ? this.orderByValue(now, minSlowdown) : this.queue
  }

  /**
   * Yields queued calls by decreasing expected value. Within a kind the newest call has the highest value, so only the
   * newest call of each kind is compared.
   */
  private * orderByValue (now: number, slowdown: number): Generator<PendingCall> {
    const kinds = LOAD_MIX.map(load => this.queue.filter(({ call }) => call.load === load))
    const score = ({ call }: PendingCall): number => expectedValue(call, deadlineOf(call) - now, slowdown)
    const scores = kinds.map(candidates => candidates.length > 0 ? score(candidates.at(-1)!) : -Infinity)
    for (let remaining = this.queue.length; remaining > 0; remaining -= 1) {
      const bestKind = scores.indexOf(Math.max(...scores))
      yield kinds[bestKind]!.pop()!
      const next = kinds[bestKind]!.at(-1)
      scores[bestKind] = next === undefined ? -Infinity : score(next)
    }
  }

  /** Refuses queued calls that are not expected to meet their deadlines, and drops finished ones. */
  private refuseUnreachable ({ minSlowdown }: OracleSelector): void {
    const now = this.transport.events.now()
    this.queue = this.queue.filter(pending => {
      if (pending.isFinished) return false
      const neededMs = MIN_TIME_LEFT_SHARE * pending.call.load.meanWorkMs * minSlowdown
      if (now + neededMs <= deadlineOf(pending.call)) return true
      this.finishWithoutAnswer(pending)
      return false
    })
  }

  private start (pending: PendingCall, candidate: Candidate): void {
    pending.isWaiting = false
    this.startedCount += 1
    this.send(pending, candidate.upstream)
    this.transport.recorder.countAttempt(pending.call, pending.exchanges.length > 1 ? 'retry' : 'first')
    if (pending.exchanges.length > 1) return
    if (!pending.call.load.kind.hedgeable) return
    const waitMs = HEDGE_FACTOR * pending.call.load.meanWorkMs * candidate.slowdown
    this.transport.events.schedule(this.transport.events.now() + waitMs, () => this.hedge(pending, candidate.upstream))
  }

  private send (pending: PendingCall, upstream: FakeUpstream): void {
    this.inTransit.set(upstream, this.inTransit.get(upstream)! + 1)
    const arrivesAt = this.transport.events.now() + this.transport.delayMs(pending.entry, upstream)
    const exchange = this.transport.send({
      call: pending.call,
      entry: pending.entry,
      upstreamId: upstream.plan.id,
      deadlineAt: deadlineOf(pending.call),
      onResponseSent: () => this.assignQueued(),
      onEnd: end => this.onAttemptEnd(pending, exchange, end)
    })
    pending.exchanges.push(exchange)
    this.transport.events.schedule(arrivesAt, () => this.inTransit.set(upstream, this.inTransit.get(upstream)! - 1))
  }

  /** Sends a second attempt to a free slot of another upstream; checks again later if there is none or no budget. */
  private hedge (pending: PendingCall, firstUpstream: FakeUpstream): void {
    if (pending.isFinished || this.lostEntries.has(pending.entry) || pending.exchanges.length > 1) return
    const selector = OracleSelector.create(this.transport, this.inTransit)
    const mayHedge = this.hedgeCount < HEDGE_BUDGET_SHARE * this.startedCount
    const best = mayHedge ? selector.selectFree(pending.call, pending.entry, firstUpstream) : undefined
    if (best === undefined) {
      const recheckAt = this.transport.events.now() + HEDGE_RECHECK_MS
      if (recheckAt < deadlineOf(pending.call)) this.transport.events.schedule(recheckAt, () => this.hedge(pending, firstUpstream))
      return
    }
    this.hedgeCount += 1
    this.send(pending, best.upstream)
    this.transport.recorder.countAttempt(pending.call, 'hedge')
  }

  /** Cancels the attempts of a call whose deadline passed; an upstream stops running work only if it is cancellable. */
  private onDeadline (pending: PendingCall): void {
    if (pending.isFinished || this.lostEntries.has(pending.entry)) return
    for (const exchange of pending.exchanges) this.transport.cancel(exchange)
    this.finishWithoutAnswer(pending)
    this.queue = this.queue.filter(other => other !== pending)
    this.assignQueued()
  }

  private finishWithoutAnswer (pending: PendingCall): void {
    pending.isFinished = true
    this.callers.finish(pending.call, pending.exchanges.length > 0
      ? { kind: 'outcomeUnknown', code: 'deadlineExceeded' }
      : { kind: 'notRun', code: 'deadlineUnreachable' })
  }

  /** Puts a call back into the queue, in order of arrival. */
  private requeue (pending: PendingCall): void {
    pending.isWaiting = true
    this.queue.push(pending)
    this.queue.sort((a, b) => a.call.id - b.call.id)
  }

  private onAttemptEnd (pending: PendingCall, exchange: Exchange, end: AttemptEnd): void {
    if (!this.lostEntries.has(pending.entry) && !pending.isFinished) this.handleAttemptEnd(pending, exchange, end)
    this.assignQueued()
  }

  /**
   * Delivers a correct answer. After any other end, waits for the remaining attempt if there is one, else requeues the
   * call if a retry is safe and fails it if not.
   */
  private handleAttemptEnd (pending: PendingCall, exchange: Exchange, end: AttemptEnd): void {
    const others = pending.exchanges
      .filter(other => other !== exchange && !other.isCancelled && other.job.state !== 'finished')
    const isCorrect = end.kind === 'answered' && end.serverError !== true
    if (!isCorrect && others.length > 0) return
    if (!isCorrect && (end.kind === 'notRun' || pending.call.load.kind.idempotent)) {
      this.requeue(pending)
      return
    }
    pending.isFinished = true
    for (const other of others) this.transport.cancel(other)
    this.callers.finish(pending.call, resultOf(end))
  }
}

function resultOf (end: AttemptEnd): CallerResult {
  if (end.kind === 'answered') return end.serverError ? 'serverError' : 'answer'
  return { kind: 'outcomeUnknown', code: 'upstreamFailed' }
}

function deadlineOf (call: PlannedCall): number {
  return call.arrivesAt + call.load.kind.deadlineMs
}
