import { build, type Histogram } from 'hdr-histogram-js'
import type { AttemptPurpose, CallResult } from '@cowsliplead/core/types/dispatch.js'
import type { Cell, PlannedCall, Row } from '../../types/decisions.js'
import { LOAD_MIX } from './loadMix.js'

/** Estimated size of a dedicated probe and its response, including headers. */
const PROBE_BYTES = 400

/** Size of an `x-load-report` header with its JSON value. */
const REPORT_BYTES = 'x-load-report: {"inFlight":4,"queued":12,"slots":4,"draining":false}\r\n'.length

const MICROSECONDS_PER_MS = 1000

interface KindStats {
  readonly latencies: Histogram
  offered: number
  onTime: number
}

function createHistogram (): Histogram {
  return build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
}

/** Collects the metrics of one policy in one cell. */
export class Recorder {
  private readonly latencies = createHistogram()
  private readonly statsByKind = new Map<string, KindStats>()
  private readonly runsByCall = new Map<number, number>()
  private readonly reportedNotRun: PlannedCall[] = []
  private readonly outcomeCounts = new Map<string, number>()
  private readonly attemptCounts: Record<AttemptPurpose, number> = { first: 0, retry: 0, hedge: 0 }
  private reportCount = 0
  private probeCount = 0
  private crashCount = 0
  private doubledRunCount = 0

  private constructor (private readonly cell: Cell) {
    for (const { kind } of LOAD_MIX) this.statsByKind.set(kind.name, { latencies: createHistogram(), offered: 0, onTime: 0 })
    for (const call of cell.calls) if (call.measured) this.statsByKind.get(call.load.kind.name)!.offered += 1
  }

  static create (cell: Cell): Recorder {
    return new Recorder(cell)
  }

  /** Counts a run of a call at an upstream. */
  countRun (call: PlannedCall): void {
    const runs = (this.runsByCall.get(call.id) ?? 0) + 1
    this.runsByCall.set(call.id, runs)
    if (runs > 1 && !call.load.kind.idempotent) this.doubledRunCount += 1
  }

  countAttempt (call: PlannedCall, purpose: AttemptPurpose): void {
    if (call.measured) this.attemptCounts[purpose] += 1
  }

  countReport (): void {
    this.reportCount += 1
  }

  countProbe (): void {
    this.probeCount += 1
  }

  countCrash (): void {
    this.crashCount += 1
  }

  /** Counts a correct answer that the caller received at `now`. */
  countAnswer (call: PlannedCall, now: number): void {
    if (!call.measured) return
    const latencyMs = now - call.arrivesAt
    const stats = this.statsByKind.get(call.load.kind.name)!
    this.latencies.recordValue(Math.round(latencyMs * MICROSECONDS_PER_MS))
    stats.latencies.recordValue(Math.round(latencyMs * MICROSECONDS_PER_MS))
    const isOnTime = latencyMs <= call.load.kind.deadlineMs
    if (isOnTime) stats.onTime += 1
    this.countOutcome(isOnTime ? 'onTime' : 'late')
  }

  /** Counts a call whose caller did not receive a correct answer. */
  countFailure (call: PlannedCall, result: CallResult | 'serverError' | 'lost'): void {
    if (typeof result !== 'string' && result.kind === 'notRun') this.reportedNotRun.push(call)
    if (call.measured) this.countOutcome(outcomeName(result))
  }

  /** Creates the row of the run; to be called after every call has ended. */
  createRow (policy: string): Row {
    const { scenario, shape, calls } = this.cell
    const measuredCount = calls.filter(call => call.measured).length
    return {
      scenario: scenario.name,
      class: scenario.class,
      shape: shape.name,
      policy,
      calls: measuredCount,
      p50Ms: percentile(this.latencies, 50),
      p99Ms: percentile(this.latencies, 99),
      p999Ms: percentile(this.latencies, 99.9),
      p99MsByKind: this.mapKinds(stats => percentile(stats.latencies, 99)),
      weightedOnTime: this.weightedOnTime(),
      onTimeByKind: this.mapKinds(stats => stats.onTime / Math.max(1, stats.offered)),
      retriesPerCall: this.attemptCounts.retry / measuredCount,
      hedgesPerCall: this.attemptCounts.hedge / measuredCount,
      measuringMessagesPerCall: this.probeCount / calls.length,
      measuringBytesPerCall: PROBE_BYTES * this.probeCount / calls.length,
      reportBytesPerCall: REPORT_BYTES * this.reportCount / calls.length,
      doubledRuns: this.doubledRunCount,
      falseNotRun: this.reportedNotRun.filter(call => this.runsByCall.has(call.id)).length,
      upstreamCrashes: this.crashCount,
      outcomes: Object.fromEntries([...this.outcomeCounts].sort())
    }
  }

  private countOutcome (name: string): void {
    this.outcomeCounts.set(name, (this.outcomeCounts.get(name) ?? 0) + 1)
  }

  private mapKinds (read: (stats: KindStats) => number): Record<string, number> {
    return Object.fromEntries([...this.statsByKind].map(([name, stats]) => [name, read(stats)]))
  }

  private weightedOnTime (): number {
    let offered = 0
    let onTime = 0
    for (const { kind } of LOAD_MIX) {
      const stats = this.statsByKind.get(kind.name)!
      offered += kind.weight * stats.offered
      onTime += kind.weight * stats.onTime
    }
    return offered === 0 ? 0 : onTime / offered
  }
}

function outcomeName (result: CallResult | 'serverError' | 'lost'): string {
  if (typeof result === 'string') return result
  return 'code' in result ? `${result.kind}:${result.code}` : result.kind
}

function percentile (latencies: Histogram, percent: number): number {
  return latencies.getValueAtPercentile(percent) / MICROSECONDS_PER_MS
}
