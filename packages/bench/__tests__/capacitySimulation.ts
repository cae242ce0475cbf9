import { Dispatcher } from '@cowsliplead/core/core/dispatch/dispatcher.js'
import { ExpectedDelayPicker } from '@cowsliplead/core/core/routing/expectedDelayPicker.js'
import type { Attempt, AttemptEnd, Call, DispatchPort } from '@cowsliplead/core/types/dispatch.js'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import type { RequestKind } from '@cowsliplead/core/types/requestKind.js'
import { DEFAULT_ROUTING_POLICY } from '@cowsliplead/core/types/routingPolicy.js'
import type { LoadReport, Upstream } from '@cowsliplead/core/types/upstream.js'
import { GATEWAY_ROUTING_OVERRIDES } from '@cowsliplead/daemon/core/gateway/routingDefaults.js'
import { EventQueue, RUN_START_MS } from '../src/utils/eventQueue.js'

const DELAY_MS = 0.5
const MAX_TIMER_STEP_MS = 60_000
const CROWDED_SHARE = 0.8
const CROWDED_FACTOR = 1.7

/** Requests of one kind and customer. */
export interface Stream {
  readonly kind: RequestKind
  readonly customer?: string
  readonly workMs: number
  /** Requests per second that arrive at one VM. */
  readonly rateAt: (now: number, vm: number) => number
}

/** A service and its load. */
export interface Overload {
  readonly vms: number
  /** Slots of each upstream. */
  readonly slots: readonly number[]
  readonly streams: readonly Stream[]
  readonly durationMs: number
  /** Calls that arrive from this time on are counted. */
  readonly measuredFromMs: number
  readonly slowdownAt?: (upstream: number, now: number) => number
  readonly shedShare?: number
  /** Share of the requests that take seven times as long. */
  readonly longShare?: number
}

/** What the callers of one stream got: shares of its calls. */
export interface StreamResult {
  calls: number
  answered: number
  onTime: number
  refused: number
  /** Calls that were refused after half of the time to their target. */
  refusedLate: number
}

interface FakeServer {
  readonly index: number
  readonly slots: number
  running: number
  readonly waiting: Array<() => void>
}

/** Runs the dispatchers of several VMs against the upstreams of one service on simulated time. */
export function simulateOverload (load: Overload, seed = 1): StreamResult[] {
  return Simulation.create(load, seed).run()
}

class Simulation {
  private readonly events = EventQueue.create()
  private readonly random: SeededRandom
  private readonly servers: FakeServer[]
  private readonly results: StreamResult[]
  private readonly vms: SimulatedVm[] = []
  private nextCallId = 1

  private constructor (private readonly load: Overload, seed: number) {
    this.random = SeededRandom.create(seed)
    this.servers = load.slots.map((slots, index) => ({ index, slots, running: 0, waiting: [] }))
    this.results = load.streams.map(() => ({ calls: 0, answered: 0, onTime: 0, refused: 0, refusedLate: 0 }))
    const upstreams = load.slots.map((slots, index) => toUpstream(slots, index))
    for (let vm = 0; vm < load.vms; vm++) this.vms.push(SimulatedVm.create(vm, this.events, upstreams, (id, attempt) => this.send(id, attempt), index => this.reportOf(this.servers[index]!)))
  }

  static create (load: Overload, seed: number): Simulation {
    return new Simulation(load, seed)
  }

  run (): StreamResult[] {
    for (let vm = 0; vm < this.load.vms; vm++) {
      for (const stream of this.load.streams.keys()) this.scheduleArrival(vm, stream)
    }
    this.events.runUntil(this.load.durationMs + 5_000)
    return this.results.map(({ calls, ...counts }) => ({
      calls,
      answered: counts.answered / calls,
      onTime: counts.onTime / calls,
      refused: counts.refused / calls,
      refusedLate: counts.refusedLate / calls
    }))
  }

  private scheduleArrival (vm: number, index: number): void {
    const now = Math.max(0, this.events.now())
    const rate = this.load.streams[index]!.rateAt(now, vm)
    const at = now + (rate > 0 ? -Math.log(1 - this.random.next()) * 1000 / rate : 100)
    if (at >= this.load.durationMs) return
    this.events.schedule(at, () => {
      if (rate > 0) this.arrive(vm, index)
      this.scheduleArrival(vm, index)
    })
  }

  private arrive (vm: number, index: number): void {
    const { kind, customer, workMs } = this.load.streams[index]!
    const result = this.results[index]!
    const arrivedAt = this.events.clock.now()
    const isCounted = this.events.now() >= this.load.measuredFromMs
    const id = this.nextCallId++
    const targetAt = arrivedAt + (kind.targetMs ?? kind.deadlineMs)
    const factor = this.random.next() < (this.load.longShare ?? 0) ? 7 : 1
    this.vms[vm]!.submit({ id, kind, customer, arrivedAt, targetAt, deadlineAt: arrivedAt + kind.deadlineMs, fingerprint: `f${id}`, replayable: true }, workMs * factor, isAnswered => {
      if (!isCounted) return
      const now = this.events.clock.now()
      result.calls += 1
      if (isAnswered) result.answered += 1
      else result.refused += 1
      if (isAnswered && now <= targetAt) result.onTime += 1
      if (!isAnswered && now > (arrivedAt + targetAt) / 2) result.refusedLate += 1
    })
  }

  private send ({ upstreamId }: Attempt, job: Job): void {
    const server = this.servers[Number(upstreamId.slice(1))]!
    const respond = (kind: AttemptEnd['kind']) => this.events.schedule(this.events.now() + DELAY_MS, () => job.onEnd({ kind, report: this.reportOf(server) }))
    this.events.schedule(this.events.now() + DELAY_MS, () => {
      if (this.random.next() < (this.load.shedShare ?? 0)) return respond('notRun')
      const start = () => this.runJob(server, job, () => respond('answered'))
      if (server.running < server.slots) start()
      else server.waiting.push(start)
    })
  }

  private runJob (server: FakeServer, job: Job, respond: () => void): void {
    if (job.isCancelled) return
    server.running += 1
    const crowding = server.running > server.slots * CROWDED_SHARE ? CROWDED_FACTOR : 1
    const now = this.events.now()
    const tookMs = job.workMs * crowding * (this.load.slowdownAt?.(server.index, now) ?? 1)
    this.events.schedule(now + tookMs, () => {
      server.running -= 1
      respond()
      while (server.running < server.slots && server.waiting.length > 0) server.waiting.shift()!()
    })
  }

  private reportOf ({ index, slots, running, waiting }: FakeServer): LoadReport {
    const relativeTime = this.load.slowdownAt?.(index, this.events.now()) ?? 1
    return { inFlight: running, queued: waiting.length, slots, draining: false, relativeTime, receivedAt: this.events.clock.now() }
  }
}

interface Job {
  readonly workMs: number
  readonly onEnd: (end: AttemptEnd) => void
  isCancelled: boolean
}

class SimulatedVm implements DispatchPort {
  private readonly dispatcher: Dispatcher
  private readonly calls = new Map<number, { readonly workMs: number, readonly onResult: (isAnswered: boolean) => void }>()
  private readonly jobs = new Map<number, Job>()
  private timerAt = Infinity

  private constructor (
    index: number,
    private readonly events: EventQueue,
    upstreams: readonly Upstream[],
    private readonly send: (attempt: Attempt, job: Job) => void,
    private readonly reportOf: (upstream: number) => LoadReport
  ) {
    const policy = { ...DEFAULT_ROUTING_POLICY, ...GATEWAY_ROUTING_OVERRIDES }
    this.dispatcher = Dispatcher.create({
      service: 'simulated', vmId: `vm${index}`, clock: events.clock, random: SeededRandom.create(31 + index),
      picker: ExpectedDelayPicker.create(policy), policy, port: this
    })
    this.dispatcher.setUpstreams(upstreams)
  }

  static create (index: number, events: EventQueue, upstreams: readonly Upstream[], send: (attempt: Attempt, job: Job) => void, reportOf: (upstream: number) => LoadReport): SimulatedVm {
    return new SimulatedVm(index, events, upstreams, send, reportOf)
  }

  submit (call: Call, workMs: number, onResult: (isAnswered: boolean) => void): void {
    this.calls.set(call.id, { workMs, onResult })
    this.dispatcher.submit(call)
    this.armTimer()
  }

  startAttempt (attempt: Attempt): void {
    const job: Job = { workMs: this.calls.get(attempt.callId)!.workMs, isCancelled: false, onEnd: end => this.onEnd(attempt.id, end) }
    this.jobs.set(attempt.id, job)
    this.send(attempt, job)
  }

  cancelAttempt (attemptId: number): void {
    const job = this.jobs.get(attemptId)
    if (job !== undefined) job.isCancelled = true
    this.jobs.delete(attemptId)
  }

  finishCall (callId: number, { kind }: { readonly kind: string }): void {
    this.calls.get(callId)?.onResult(kind === 'delivered')
    this.calls.delete(callId)
  }

  sendProbe (upstreamId: string): void {
    this.events.schedule(this.events.now() + 2 * DELAY_MS, () => {
      this.dispatcher.onProbeReport(upstreamId, this.reportOf(Number(upstreamId.slice(1))))
      this.armTimer()
    })
  }

  private onEnd (attemptId: number, end: AttemptEnd): void {
    if (!this.jobs.delete(attemptId)) return
    if (end.kind === 'answered') this.dispatcher.onAttemptResponding(attemptId)
    this.dispatcher.onAttemptEnd(attemptId, end)
    this.armTimer()
  }

  private armTimer (): void {
    const at = (this.dispatcher.nextTimerAt() ?? Infinity) - RUN_START_MS
    if (at >= this.timerAt || at > this.events.now() + MAX_TIMER_STEP_MS) return
    this.timerAt = at
    this.events.schedule(at, () => {
      if (this.timerAt !== at) return
      this.timerAt = Infinity
      this.dispatcher.tick()
      this.armTimer()
    })
  }
}

function toUpstream (slots: number, index: number): Upstream {
  return { id: `u${index}`, service: 'simulated', address: '127.0.0.1', port: 1, failureDomain: `domain${index % 3}`, slots, state: 'live' }
}
