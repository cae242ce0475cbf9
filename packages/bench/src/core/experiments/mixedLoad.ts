import { setTimeout as delay } from 'node:timers/promises'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { RandomSource } from '@cowsliplead/core/types/randomSource.js'
import { Agent } from 'undici'
import type { CallKindName, CallPlan, CallRecord, SendRecord } from '../../types/experiments.js'
import type { LoadBalancer } from './loadBalancer.js'
import { drawKind, planCall } from './callPlans.js'
import { sendCall } from './sendCall.js'

/** Rates, kinds and retry behavior of the generated load. */
export interface MixedLoadOptions {
  readonly balancer: LoadBalancer
  readonly random: RandomSource
  readonly ratePerSecond: number
  /** Share of non-idempotent calls, which may run at most once. */
  readonly issueShare: number
  /** Time between the starts of two downloads; 0 disables downloads. */
  readonly downloadIntervalMs: Milliseconds
  readonly downloadPauseMs: Milliseconds
  /** How long a caller retries a call that was refused as not run, or a lookup that got no answer. */
  readonly retryForMs: Milliseconds
  /** Time after the deadline that a caller still waits for a response. */
  readonly responseGraceMs: Milliseconds
}

const INITIAL_RETRY_DELAY_MS = 100
const MAX_RETRY_DELAY_MS = 1000
const MAX_CONNECTIONS_PER_ORIGIN = 128

/** Open-loop load of calls whose responses are verified; calls are retried at other VMs where their kind allows it. */
export class MixedLoad {
  readonly calls: CallRecord[] = []
  private readonly agent = new Agent({ connections: MAX_CONNECTIONS_PER_ORIGIN, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })
  private readonly pending = new Set<Promise<void>>()
  private readonly stopController = new AbortController()
  private readonly sendLoops: Promise<void>[]
  private sendCount = 0

  private constructor (private readonly options: MixedLoadOptions) {
    this.sendLoops = [this.sendPoissonArrivals()]
    if (options.downloadIntervalMs > 0) this.sendLoops.push(this.sendDownloads())
  }

  /** Creates the load and immediately starts sending. */
  static start (options: MixedLoadOptions): MixedLoad {
    return new MixedLoad(options)
  }

  /** Starts one additional call without waiting for its end. */
  startCall (kind: CallKindName, index = this.calls.length): void {
    const record: CallRecord = { plan: planCall(kind, index, this.options.downloadPauseMs), startedAt: Date.now(), sends: [] }
    this.calls.push(record)
    const call = this.sendUntilFinal(record)
    this.pending.add(call)
    void call.finally(() => this.pending.delete(call))
  }

  /** Stops starting calls and waits for all calls in flight. */
  async stop (): Promise<void> {
    this.stopController.abort()
    await Promise.all(this.sendLoops)
    await Promise.all(this.pending)
    await this.agent.destroy()
  }

  private async sendPoissonArrivals (): Promise<void> {
    const { random, ratePerSecond, issueShare } = this.options
    let dueAt = performance.now()
    while (!this.stopController.signal.aborted) {
      dueAt += -Math.log(1 - random.next()) * 1000 / ratePerSecond
      if (dueAt - performance.now() > 1) await delay(dueAt - performance.now())
      this.startCall(drawKind(random, issueShare))
    }
  }

  private async sendDownloads (): Promise<void> {
    while (!this.stopController.signal.aborted) {
      this.startCall('download')
      await delay(this.options.downloadIntervalMs)
    }
  }

  private async sendUntilFinal (record: CallRecord): Promise<void> {
    const retryUntil = Date.now() + this.options.retryForMs
    for (let retryDelayMs = INITIAL_RETRY_DELAY_MS; ; retryDelayMs = Math.min(2 * retryDelayMs, MAX_RETRY_DELAY_MS)) {
      const send = await this.send(record.plan, record.sends.at(-1)?.entryId)
      record.sends.push(send)
      if (isFinal(record.plan, send) || Date.now() > retryUntil) return
      await delay(retryDelayMs)
    }
  }

  private async send (plan: CallPlan, previousEntryId: string | undefined): Promise<SendRecord> {
    const sentAt = Date.now()
    const id = `send-${++this.sendCount}`
    const entry = this.options.balancer.choose(previousEntryId)
    if (entry === undefined) {
      return { id, sentAt, entryId: 'none', durationMs: 0, outcome: 'cut', code: undefined, upstreamId: undefined, detail: 'no VM is ready' }
    }
    const result = await sendCall(this.agent, `http://${entry.publicAddress}`, plan, id, this.options.responseGraceMs)
    return { id, sentAt, entryId: entry.id, durationMs: Date.now() - sentAt, code: undefined, upstreamId: undefined, ...result }
  }
}

/**
 * Whether the call ends with this send. Lookups and issues are retried when refused as not run; after other failures
 * only lookups are, since they are idempotent. Downloads and crashing calls are never retried.
 */
function isFinal (plan: CallPlan, { outcome }: SendRecord): boolean {
  if (plan.kind === 'crashing' || plan.kind === 'download') return true
  if (outcome === 'notRun') return false
  return plan.kind === 'issue' || outcome === 'answered' || outcome === 'wrong'
}
