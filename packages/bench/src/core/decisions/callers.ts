import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { CallResult } from '@cowsliplead/core/types/dispatch.js'
import type { Cell, PlannedCall } from '../../types/decisions.js'
import type { EventQueue } from '../../utils/eventQueue.js'
import { hashUniform } from '../../utils/seededHash.js'
import { LOAD_MIX } from './loadMix.js'
import type { Recorder } from './recorder.js'

/** Time from the loss of an entry VM until the platform's load balancer stops sending calls to it. */
const BALANCER_FAILOVER_MS = 20

/** After each result, the caller of the crashing request sends it again with this delay, up to `MAX_RESENDS` times. */
const RESEND_DELAY_MS = 20
const MAX_RESENDS = 20

/** Ids of crashing calls start above those of the planned calls. */
const FIRST_CRASHING_CALL_ID = 1_000_000_000

/** Accepts calls and assigns them to upstreams: a fleet of dispatchers or the oracle. */
export interface CallScheduler {
  submit (call: PlannedCall, entry: number): void
  /** Called when an entry VM is lost with all calls that it holds. */
  onEntryLost (entry: number): void
}

/** Final result of a call as its caller sees it; 'answer' is a correct response. */
export type CallerResult = CallResult | 'answer' | 'serverError'

/** Simulates the callers and the platform's load balancer in front of the entry VMs. */
export class Callers {
  private readonly pendingCalls = new Map<number, { readonly call: PlannedCall, readonly entry: number }>()
  private scheduler: CallScheduler | undefined
  private nextIndex = 0
  private resendCount = 0

  private constructor (private readonly cell: Cell, private readonly events: EventQueue, private readonly recorder: Recorder) {}

  static create (cell: Cell, events: EventQueue, recorder: Recorder): Callers {
    return new Callers(cell, events, recorder)
  }

  /** Schedules the calls of the cell, the loss of an entry VM and the crashing request. */
  start (scheduler: CallScheduler): void {
    this.scheduler = scheduler
    const { entryLostAt, crashingRequestAt } = this.cell.scenario
    if (entryLostAt !== undefined) this.events.schedule(entryLostAt, () => this.dropLastEntry(scheduler))
    if (crashingRequestAt !== undefined) this.events.schedule(crashingRequestAt, () => this.sendCrashingCall())
    this.scheduleNext()
  }

  /** Number of calls without a result. */
  get pendingCount (): number {
    return this.pendingCalls.size
  }

  /** Records the result of a call; ignored if the call already has one. */
  finish (call: PlannedCall, result: CallerResult): void {
    if (!this.pendingCalls.delete(call.id)) return
    if (result === 'answer') this.recorder.countAnswer(call, this.events.now())
    else this.recorder.countFailure(call, result)
    if (call.crashesUpstream) this.scheduleResend()
  }

  private scheduleNext (): void {
    const call = this.cell.calls[this.nextIndex]
    if (call === undefined) return
    this.nextIndex += 1
    this.events.schedule(call.arrivesAt, () => {
      this.scheduleNext()
      this.submit(call)
    })
  }

  private submit (call: PlannedCall): void {
    const entry = this.selectEntry(call)
    if (entry === undefined) return this.recorder.countFailure(call, 'lost')
    this.pendingCalls.set(call.id, { call, entry })
    this.scheduler!.submit(call, entry)
  }

  /** Index of the entry VM that receives the call; undefined if the call is sent to the lost VM. */
  private selectEntry (call: PlannedCall): number | undefined {
    const lostAt: Milliseconds = this.cell.scenario.entryLostAt ?? Infinity
    const lastEntry = this.cell.entryCount - 1
    if (call.entry !== lastEntry || this.events.now() < lostAt) return call.entry
    if (this.events.now() < lostAt + BALANCER_FAILOVER_MS) return undefined
    return Math.floor(hashUniform(this.cell.seed, call.id, -1) * lastEntry)
  }

  private dropLastEntry (scheduler: CallScheduler): void {
    const lostEntry = this.cell.entryCount - 1
    scheduler.onEntryLost(lostEntry)
    for (const { call, entry } of [...this.pendingCalls.values()]) {
      if (entry !== lostEntry) continue
      this.pendingCalls.delete(call.id)
      this.recorder.countFailure(call, 'lost')
    }
  }

  private scheduleResend (): void {
    this.resendCount += 1
    if (this.resendCount > MAX_RESENDS || this.events.now() >= this.cell.endAt) return
    this.events.schedule(this.events.now() + RESEND_DELAY_MS, () => this.sendCrashingCall())
  }

  private sendCrashingCall (): void {
    const load = LOAD_MIX[0]!
    const id = FIRST_CRASHING_CALL_ID + this.resendCount
    const entry = Math.floor(hashUniform(this.cell.seed, id, 0) * this.cell.entryCount)
    this.submit({
      id,
      arrivesAt: this.events.now(),
      load,
      entry,
      workMs: load.meanWorkMs,
      fingerprint: 'crashing',
      crashesUpstream: true,
      measured: false
    })
  }
}
