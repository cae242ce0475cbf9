import winston from 'winston'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Logger } from '../operators/logger.js'
import { BoundedOutput } from './boundedOutput.js'

/** Lines about single requests that are written per second; further ones are only counted. */
const REQUEST_LINES_PER_SECOND = 300

const WINDOW_MS: Milliseconds = 1000

/** Structured fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>

/**
 * The daemon's structured log: one JSON object per line on standard output. Lines about the state of the daemon are
 * always written; lines about single requests are rate-limited, and a further line gives the number omitted.
 */
export class EventLog {
  /** Request lines omitted by the rate limit since the start. */
  omitted = 0
  private windowStartedAt: Milliseconds = 0
  private linesInWindow = 0
  private omittedInWindow = 0

  private constructor (private readonly clock: Clock, readonly logger: Logger, private readonly output: BoundedOutput) {}

  static create (vmId: string, clock: Clock, output: BoundedOutput = BoundedOutput.createForStdout()): EventLog {
    const logger = winston.createLogger({
      defaultMeta: { vmId },
      format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
      transports: [new winston.transports.Stream({ stream: output, eol: '\n' })]
    })
    return new EventLog(clock, logger, output)
  }

  /** Lines dropped since the start because the output was not read fast enough or a write failed. */
  get dropped (): number {
    return this.output.dropped
  }

  /** Writes what waits, before the process ends. */
  async flush (): Promise<void> {
    await this.output.flush()
  }

  /** Writes to the output since the start. */
  get writes (): number {
    return this.output.writes
  }

  /** Writes a line about one request, unless the rate limit is reached; only then are fields computed that a function gives. */
  logRequest (message: string, fields: LogFields | (() => LogFields)): void {
    this.startWindow()
    if (this.linesInWindow >= REQUEST_LINES_PER_SECOND) {
      this.omitted += 1
      this.omittedInWindow += 1
      return
    }
    this.linesInWindow += 1
    this.logger.info(message, typeof fields === 'function' ? fields() : fields)
  }

  private startWindow (): void {
    const now = this.clock.now()
    if (now - this.windowStartedAt < WINDOW_MS) return
    if (this.omittedInWindow > 0) this.logger.warn('request log lines omitted', { count: this.omittedInWindow })
    this.windowStartedAt = now
    this.linesInWindow = 0
    this.omittedInWindow = 0
  }
}
