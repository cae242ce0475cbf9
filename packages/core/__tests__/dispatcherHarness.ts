import type { RateDivision } from '../src/core/limits/rateDivision.js'
import { Dispatcher } from '../src/core/dispatch/dispatcher.js'
import { ExpectedDelayPicker } from '../src/core/routing/expectedDelayPicker.js'
import { FakeClock } from '../src/types/clock.js'
import type { Attempt, AttemptEnd, Call, CallResult, CancelReason } from '../src/types/dispatch.js'
import type { Picker } from '../src/types/picker.js'
import { SeededRandom } from '../src/types/randomSource.js'
import type { RequestKind } from '../src/types/requestKind.js'
import { RESULT_CODES } from '../src/types/resultCode.js'
import { DEFAULT_ROUTING_POLICY, type RoutingPolicy } from '../src/types/routingPolicy.js'
import type { SuspectMark } from '../src/types/suspectMark.js'
import type { LoadReport, Upstream } from '../src/types/upstream.js'

/** An idempotent kind that may be hedged and cancelled. */
export const LOOKUP: RequestKind = { name: 'lookup', weight: 1, idempotent: true, deadlineMs: 200, cancellable: true, hedgeable: true }
/** A non-idempotent kind. */
export const FEE: RequestKind = { name: 'fee', weight: 5, idempotent: false, deadlineMs: 200, cancellable: false, hedgeable: false }

/** Creates upstreams u000, u001, ... that alternate between two failure domains. */
export function createUpstreams (count: number, slots: number | undefined = 4): Upstream[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `u${String(index).padStart(3, '0')}`,
    service: 'register',
    address: '127.0.0.1',
    port: 8000 + index,
    failureDomain: `domain${index % 2}`,
    ...(slots === undefined ? {} : { slots }),
    state: 'live' as const
  }))
}

/** Hosts a dispatcher on a fake clock and records what it passes to its port. */
export class Harness {
  readonly clock = FakeClock.create(1_000)
  readonly started: Attempt[] = []
  /** Ids of the attempts that have stalled. */
  readonly stalled: number[] = []
  readonly cancelled: { id: number, reason: CancelReason }[] = []
  readonly results = new Map<number, CallResult>()
  readonly probes: string[] = []
  readonly sharedMarks: SuspectMark[] = []
  readonly dispatcher: Dispatcher
  private nextCallId = 1

  private constructor (policy: RoutingPolicy, picker: Picker, failureDomain?: string, rateDivision?: RateDivision) {
    this.dispatcher = Dispatcher.create({
      service: 'register',
      vmId: 'vm0',
      clock: this.clock,
      random: SeededRandom.create(7),
      picker,
      policy,
      failureDomain,
      rateDivision,
      port: {
        startAttempt: attempt => this.started.push(attempt),
        cancelAttempt: (id, reason) => this.cancelled.push({ id, reason }),
        onStall: id => this.stalled.push(id),
        finishCall: (id, result) => this.finish(id, result),
        sendProbe: id => this.probes.push(id),
        shareSuspects: marks => this.sharedMarks.push(...marks)
      }
    })
  }

  /** `failureDomain` is that of the VM; without it, all domains are treated alike. */
  static create (count: number, policy: Partial<RoutingPolicy> = {}, picker?: Picker, failureDomain?: string, rateDivision?: RateDivision): Harness {
    const fullPolicy = { ...DEFAULT_ROUTING_POLICY, ...policy }
    const harness = new Harness(fullPolicy, picker ?? ExpectedDelayPicker.create(failureDomain === undefined ? undefined : fullPolicy), failureDomain, rateDivision)
    harness.dispatcher.setUpstreams(createUpstreams(count))
    return harness
  }

  /** Submits a call and returns its id. */
  submit (kind: RequestKind = LOOKUP, fields: Partial<Call> = {}): number {
    const id = this.nextCallId++
    const arrivedAt = this.clock.now()
    this.dispatcher.submit({ id, kind, arrivedAt, deadlineAt: arrivedAt + kind.deadlineMs, fingerprint: `f${id}`, replayable: true, ...fields })
    return id
  }

  /** The latest attempt of a call. */
  attemptOf (callId: number): Attempt {
    const attempt = this.started.findLast(each => each.callId === callId)
    if (attempt === undefined) throw new Error(`call ${callId} has no attempt`)
    return attempt
  }

  end (attempt: Attempt, kind: AttemptEnd['kind'] = 'answered', fields: Partial<AttemptEnd> = {}): void {
    this.dispatcher.onAttemptEnd(attempt.id, { kind, ...fields })
  }

  report (fields: Partial<LoadReport> = {}): LoadReport {
    return { inFlight: 0, queued: 0, draining: false, receivedAt: this.clock.now(), ...fields }
  }

  /** Advances the clock by `ms` and runs each timer at the time at which it is due. */
  advance (ms: number): void {
    const end = this.clock.now() + ms
    for (let steps = 0; steps < 100_000; steps++) {
      const next = this.dispatcher.nextTimerAt()
      if (next === undefined || next > end) break
      this.clock.advanceTo(next)
      this.dispatcher.tick()
    }
    this.clock.advanceTo(end)
  }

  /** Completes `count` calls one after another, each after `latencyMs`, to fill the statistics and the retry budget. */
  warmUp (count = 100, latencyMs = 5): void {
    for (let index = 0; index < count; index++) {
      const id = this.submit()
      this.clock.advance(latencyMs)
      this.end(this.attemptOf(id))
    }
  }

  private finish (id: number, result: CallResult): void {
    if (this.results.has(id)) throw new Error(`call ${id} finished twice`)
    if ('code' in result && RESULT_CODES[result.code].outcome !== result.kind) throw new Error(`call ${id}: result ${result.kind} does not match the outcome of code ${result.code}`)
    this.results.set(id, result)
  }
}
