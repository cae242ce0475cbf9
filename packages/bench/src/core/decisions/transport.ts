import type { AttemptEnd } from '@cowsliplead/core/types/dispatch.js'
import type { LoadReport } from '@cowsliplead/core/types/upstream.js'
import type { Cell, PlannedCall } from '../../types/decisions.js'
import { EventQueue } from '../../utils/eventQueue.js'
import { FakeUpstream, type Job } from './fakeUpstream.js'
import type { Recorder } from './recorder.js'
import { failureDomainName } from './upstreamPlans.js'
import { attemptWorkMs } from './workload.js'

/** One-way network delays between and within failure domains. */
export const CROSS_DOMAIN_DELAY_MS = 0.5
export const SAME_DOMAIN_DELAY_MS = 0.2

/** An attempt in transit to, at or returning from an upstream. */
export interface Exchange {
  readonly upstream: FakeUpstream
  readonly entry: number
  readonly job: Job
  isCancelled: boolean
}

/** A request to send to an upstream. */
export interface SendOptions {
  readonly call: PlannedCall
  readonly entry: number
  readonly upstreamId: string
  readonly deadlineAt: number
  /** Called when the upstream sends its response, before it arrives; only the oracle uses this knowledge. */
  readonly onResponseSent?: () => void
  /** Called when the end of the attempt arrives at the entry VM, unless the attempt was cancelled. */
  readonly onEnd: (end: AttemptEnd) => void
}

/** Simulates the network between entry VMs and upstreams, with its delays. */
export class Transport {
  readonly upstreams: readonly FakeUpstream[]
  private readonly upstreamsById = new Map<string, FakeUpstream>()
  private readonly attemptCounts = new Map<number, number>()

  private constructor (private readonly cell: Cell, readonly events: EventQueue, readonly recorder: Recorder) {
    const onRun = (call: PlannedCall): void => recorder.countRun(call)
    const onCrash = (): void => recorder.countCrash()
    this.upstreams = cell.plans.map(plan => FakeUpstream.create(plan, events, onRun, onCrash))
    for (const upstream of this.upstreams) this.upstreamsById.set(upstream.plan.id, upstream)
  }

  static create (cell: Cell, recorder: Recorder): Transport {
    return new Transport(cell, EventQueue.create(), recorder)
  }

  /** One-way delay between an entry VM and an upstream. */
  delayMs (entry: number, upstream: FakeUpstream): number {
    const isSameDomain = failureDomainName(entry % this.cell.shape.failureDomains) === upstream.plan.failureDomain
    return isSameDomain ? SAME_DOMAIN_DELAY_MS : CROSS_DOMAIN_DELAY_MS
  }

  /** Sends a request to its upstream and returns the end of the attempt through `onEnd`. */
  send (options: SendOptions): Exchange {
    const upstream = this.upstreamsById.get(options.upstreamId)!
    const delayMs = this.delayMs(options.entry, upstream)
    const respond = (end: AttemptEnd): void => {
      if (end.report !== undefined) this.recorder.countReport()
      this.runAfter(delayMs, () => {
        if (!exchange.isCancelled) options.onEnd(this.stampReceiptTime(end))
      })
      options.onResponseSent?.()
    }
    const exchange: Exchange = { upstream, entry: options.entry, job: this.createJob(options, respond), isCancelled: false }
    // A request that is cancelled in transit still arrives; the closing of its connection arrives after it.
    this.runAfter(delayMs, () => upstream.receive(exchange.job))
    return exchange
  }

  /** Closes the connection of an attempt; the upstream notices after the network delay. */
  cancel (exchange: Exchange): void {
    exchange.isCancelled = true
    this.runAfter(this.delayMs(exchange.entry, exchange.upstream), () => exchange.upstream.cancel(exchange.job))
  }

  /** Requests a load report from an upstream with a dedicated message; an upstream that is down does not answer. */
  probe (entry: number, upstreamId: string, onReport: (report: LoadReport) => void): void {
    this.recorder.countProbe()
    const upstream = this.upstreamsById.get(upstreamId)!
    const delayMs = this.delayMs(entry, upstream)
    this.runAfter(delayMs, () => {
      if (upstream.isDown) return
      const report = upstream.report()
      this.runAfter(delayMs, () => onReport({ ...report, receivedAt: this.events.now() }))
    })
  }

  private runAfter (delayMs: number, action: () => void): void {
    this.events.schedule(this.events.now() + delayMs, action)
  }

  private stampReceiptTime (end: AttemptEnd): AttemptEnd {
    if (end.report === undefined) return end
    return { ...end, report: { ...end.report, receivedAt: this.events.now() } }
  }

  private createJob ({ call, deadlineAt }: SendOptions, respond: Job['respond']): Job {
    const attemptIndex = this.attemptCounts.get(call.id) ?? 0
    this.attemptCounts.set(call.id, attemptIndex + 1)
    return { call, workMs: attemptWorkMs(this.cell.seed, call, attemptIndex), deadlineAt, respond, state: 'new' }
  }
}
