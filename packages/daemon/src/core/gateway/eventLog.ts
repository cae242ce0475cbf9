import winston from 'winston'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Journal } from '../operators/journal.js'
import { BoundedOutput } from './boundedOutput.js'

/** Lines about single requests that are written in one second; the others are counted. */
const REQUEST_LINES_PER_SECOND = 300

const WINDOW_MS: Milliseconds = 1000

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>

/**
 * The daemon's structured log: one JSON object a line on standard output. Lines about what the daemon believes are
 * always written; lines about requests are bounded per second, and a line tells how many were left out.
 */
export class EventLog {
  /** Request lines that were left out since the start. */
  omitted = 0
  private windowStart: Milliseconds = 0
  private written = 0
  private omittedInWindow = 0

  private constructor (private readonly clock: Clock, readonly journal: Journal, private readonly output: BoundedOutput) {}

  static create (vmId: string, clock: Clock, output: BoundedOutput = BoundedOutput.create()): EventLog {
    const journal = winston.createLogger({
      defaultMeta: { vmId },
      format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
      transports: [new winston.transports.Stream({ stream: output, eol: '\n' })]
    })
    return new EventLog(clock, journal, output)
  }

  /** Lines that the reader of the output was too slow for. */
  get dropped (): number {
    return this.output.dropped
  }

  /** Writes a line about one request, unless too many were written in this second. */
  request (message: string, fields: LogFields): void {
    this.startWindow()
    if (this.written >= REQUEST_LINES_PER_SECOND) {
      this.omitted += 1
      this.omittedInWindow += 1
      return
    }
    this.written += 1
    this.journal.info(message, fields)
  }

  private startWindow (): void {
    const now = this.clock.now()
    if (now - this.windowStart < WINDOW_MS) return
    if (this.omittedInWindow > 0) this.journal.warn('request lines left out', { count: this.omittedInWindow })
    this.windowStart = now
    this.written = 0
    this.omittedInWindow = 0
  }
}
