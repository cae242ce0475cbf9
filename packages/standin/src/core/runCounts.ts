/** Bounds memory during long benchmarks; ids beyond this number are not counted individually. */
const MAX_IDS = 1_000_000

/** Totals over all requests, as GET /control/runs returns them. */
export interface RunTotals {
  /** Requests that started to run. */
  readonly started: number
  /** Runs that finished, whether or not the response was delivered. */
  readonly completed: number
  /** Runs that were cancelled because the caller disconnected. */
  readonly cancelled: number
  /** Runs that ended in a crash. */
  readonly crashed: number
  /** Requests refused before they ran. */
  readonly refused: number
  /** Runs that started while the upstream was draining. */
  readonly startedWhileDraining: number
  /** Whether some ids were not counted individually because there were too many. */
  readonly overflow: boolean
}

/** Totals, and the number of runs by Idempotency-Key and by request id. */
export interface RunReport extends RunTotals {
  readonly byKey: Readonly<Record<string, number>>
  readonly byRequestId: Readonly<Record<string, number>>
}

type Counter = Exclude<keyof RunTotals, 'overflow'>

/** Counts the requests that ran. A request counts as run from the moment it starts, however it ends. */
export class RunCounts {
  private readonly totals: Record<Counter, number> = {
    started: 0, completed: 0, cancelled: 0, crashed: 0, refused: 0, startedWhileDraining: 0
  }

  private overflow = false
  private readonly byKey = new Map<string, number>()
  private readonly byRequestId = new Map<string, number>()

  private constructor () {}

  static create (): RunCounts {
    return new RunCounts()
  }

  count (counter: Counter): void {
    this.totals[counter] += 1
  }

  countStart (requestId: string | undefined, idempotencyKey: string | undefined, draining: boolean): void {
    this.count('started')
    if (draining) this.count('startedWhileDraining')
    this.countId(this.byRequestId, requestId)
    this.countId(this.byKey, idempotencyKey)
  }

  /** The totals without the maps, which can be large. */
  summary (): RunTotals {
    return { ...this.totals, overflow: this.overflow }
  }

  report (): RunReport {
    return {
      ...this.summary(),
      byKey: Object.fromEntries(this.byKey),
      byRequestId: Object.fromEntries(this.byRequestId)
    }
  }

  private countId (counts: Map<string, number>, id: string | undefined): void {
    if (id === undefined) return
    const before = counts.get(id)
    if (before === undefined && counts.size >= MAX_IDS) this.overflow = true
    else counts.set(id, (before ?? 0) + 1)
  }
}
