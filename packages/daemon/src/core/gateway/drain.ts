import { setImmediate } from 'node:timers/promises'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import { sleep } from '../../utils/sleep.js'
import type { Handover } from '../handover/handover.js'
import type { Proxy } from '../callers/proxy.js'
import type { ServiceForwarder } from '../upstreams/serviceForwarder.js'
import type { CallerServer } from './callerServer.js'
import type { StopPlan } from './stopPlan.js'

const DRAIN_POLL_MS: Milliseconds = 20

/** Options of a drain. */
export interface DrainOptions {
  readonly plan: StopPlan
  readonly clock: Clock
  readonly proxy: Proxy
  readonly callerServer: CallerServer
  readonly forwarders: () => readonly ServiceForwarder[]
  /** Undefined where requests are not handed over. */
  readonly handover: Handover | undefined
}

/** Finishes the requests in flight of a stopping daemon, and answers those that cannot be finished before its exit. */
export class Drain {
  private constructor (private readonly options: DrainOptions) {}

  static create (options: DrainOptions): Drain {
    return new Drain(options)
  }

  /** Returns the number of requests interrupted at the end. */
  async run (): Promise<number> {
    const { plan, callerServer } = this.options
    await this.pollUntil(plan.listensUntil, () => false)
    callerServer.stopListening()
    await this.pollUntil(plan.answersUntil, () => this.isDone)
    // After a stall of the event loop, answers that have arrived are read first.
    await setImmediate()
    const interrupted = this.answerRemaining()
    await this.pollUntil(plan.exitsAt, () => this.isDone)
    return interrupted + this.options.proxy.inFlight
  }

  private get isDone (): boolean {
    const { callerServer, proxy } = this.options
    return callerServer.isClosed && proxy.inFlight === 0
  }

  private async pollUntil (end: Milliseconds, isDone: () => boolean): Promise<void> {
    const { clock, callerServer } = this.options
    for (let now = clock.now(); now < end && !isDone(); now = clock.now()) {
      this.refuseLateStarts(now)
      if (!callerServer.isListening) callerServer.closeIdleConnections()
      await sleep(Math.min(DRAIN_POLL_MS, end - now))
    }
  }

  /** Refuses waiting requests that would be cut off if they started now: they have not run, and other VMs can run them. */
  private refuseLateStarts (now: Milliseconds): void {
    const { plan, forwarders } = this.options
    for (const forwarder of forwarders()) {
      forwarder.refuseNotRun('stopping', ({ deadlineAt, kind }) => !plan.mayWait(now, { deadlineAt, latency: forwarder.dispatcher.latencyOf(kind) }))
    }
  }

  /** A connection that ends without an answer would leave the caller to guess whether its request has run. */
  private answerRemaining (): number {
    const interrupted = this.options.forwarders().map(forwarder => forwarder.interruptCalls())
    this.options.handover?.interruptCalls()
    this.options.proxy.stopRefusals.refuseAll()
    return interrupted.reduce((sum, calls) => sum + calls, 0)
  }
}
