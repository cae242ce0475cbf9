import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Logger } from '../operators/logger.js'

const REPORT_INTERVAL_MS: Milliseconds = 10_000

const MICROSECONDS_PER_MS = 1000

/** What the daemon has done since the start, by cause. */
export interface WorkCounters {
  /** Requests of callers and of other VMs. */
  readonly requests: number
  readonly probes: number
  /** Messages of the feed that were received and sent. */
  readonly feedReceived: number
  readonly feedSent: number
  readonly storeReads: number
  /** Writes to the log's output; one writes several lines. */
  readonly logWrites: number
}

/** Processor time of this process since its start, all threads included. */
export function processorMs (): Milliseconds {
  const { user, system } = process.cpuUsage()
  return (user + system) / MICROSECONDS_PER_MS
}

/** Logs what the daemon has done and the processor time that it took, so that a VM's fixed work can be told from that for requests. */
export class WorkReport {
  private timer: NodeJS.Timeout | undefined
  private reportedAt: Milliseconds = 0
  private reportedProcessorMs: Milliseconds = 0
  private reported: WorkCounters | undefined

  private constructor (private readonly clock: Clock, private readonly logger: Logger, private readonly read: () => WorkCounters) {}

  static create (clock: Clock, logger: Logger, read: () => WorkCounters): WorkReport {
    return new WorkReport(clock, logger, read)
  }

  start (): void {
    this.remember()
    this.timer = setInterval(() => this.report(), REPORT_INTERVAL_MS)
    this.timer.unref()
  }

  stop (): void {
    clearInterval(this.timer)
  }

  /** Logs the work since the last report. */
  report (): void {
    const { reportedAt, reportedProcessorMs, reported } = this
    const counters = this.remember()
    this.logger.info('work', {
      periodMs: Math.round(this.reportedAt - reportedAt),
      processorMs: Math.round(this.reportedProcessorMs - reportedProcessorMs),
      ...reported === undefined ? counters : difference(counters, reported)
    })
  }

  private remember (): WorkCounters {
    const counters = this.read()
    this.reportedAt = this.clock.now()
    this.reportedProcessorMs = processorMs()
    this.reported = counters
    return counters
  }
}

function difference (now: WorkCounters, before: WorkCounters): Record<string, number> {
  const names = Object.keys(now) as Array<keyof WorkCounters>
  return Object.fromEntries(names.map(name => [name, now[name] - before[name]]))
}
