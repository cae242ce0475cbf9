import { hash } from 'node:crypto'
import { z } from 'zod'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { SuspectMark } from '@cowsliplead/core/types/suspectMark.js'
import { parseJson } from '@cowsliplead/core/utils/parseJson.js'
import type { ControlStore, TableRecord } from '../../types/controlStore.js'
import type { Logger } from '../operators/logger.js'
import type { FleetRecordConsumer } from './fleetTable.js'

/** Minimum time between two writes: connections fail in bursts, and each may mark a request. */
const WRITE_INTERVAL_MS: Milliseconds = 500

/** Delay to collect the first marks of a burst for one write; short, as callers retry within milliseconds. */
const BATCH_DELAY_MS: Milliseconds = 2

/** Key group of suspect marks in the fleet table. */
export const SUSPECTS_GROUP = 'suspect'

/** If there are more, the oldest are dropped. */
const MAX_MARKS_PER_WRITE = 200

/** Tolerance for differences between the wall clocks of VMs. */
const CLOCK_TOLERANCE_MS: Milliseconds = 10_000

const RECORD = z.object({
  fingerprint: z.string().min(1),
  upstreamIds: z.array(z.string()),
  /** Remaining validity of the mark when it was written. */
  validMs: z.number().nonnegative(),
  /** Wall-clock time of the writing VM, in milliseconds since the epoch. */
  writtenAt: z.number()
})

type MarkRecord = z.infer<typeof RECORD>

/** Options for sharing suspect marks. */
export interface SharedSuspectsOptions {
  readonly store: ControlStore
  readonly clock: Clock
  readonly logger: Logger
  /** Receives the marks of other VMs. */
  readonly importMarks: (marks: readonly SuspectMark[]) => void
  /** Wall-clock time in milliseconds since the epoch; `Date.now` by default. */
  readonly wallClock?: () => number
}

/**
 * Shares the marks of requests that crashed upstreams. Callers retry such a request at any VM; without shared marks,
 * each VM would let it crash as many upstreams as all VMs together may.
 */
export class SharedSuspects implements FleetRecordConsumer {
  private pending = new Map<string, SuspectMark>()
  private expiredKeys: readonly string[] = []
  private timer: NodeJS.Timeout | undefined
  private lastWriteAt: Milliseconds = -Infinity

  private constructor (private readonly options: SharedSuspectsOptions) {}

  static create (options: SharedSuspectsOptions): SharedSuspects {
    return new SharedSuspects(options)
  }

  close (): void {
    clearTimeout(this.timer)
  }

  /** Queues marks that this VM has made for the next write. */
  publish (marks: readonly SuspectMark[]): void {
    for (const mark of marks) this.pending.set(mark.fingerprint, this.merge(mark))
    this.scheduleWrite()
  }

  /** Imports other VMs' marks. The store never expires records, so expired marks found in a snapshot are removed. */
  onSnapshot (records: readonly TableRecord[]): void {
    this.expiredKeys = this.importRecords(records).slice(0, MAX_MARKS_PER_WRITE)
    if (this.expiredKeys.length > 0) this.scheduleWrite()
  }

  onChanges (records: readonly TableRecord[]): void {
    this.importRecords(records)
  }

  /** Imports the marks that are still valid and returns the keys of expired ones. */
  private importRecords (records: readonly TableRecord[]): string[] {
    const marks: SuspectMark[] = []
    const expired: string[] = []
    for (const record of records) {
      const content = this.parse(record)
      if (content === undefined) continue
      if (this.hasExpired(content)) expired.push(record.key)
      else marks.push(this.decode(content))
    }
    if (marks.length > 0) this.options.importMarks(marks)
    return expired
  }

  private scheduleWrite (): void {
    const dueInMs = this.lastWriteAt + WRITE_INTERVAL_MS - this.options.clock.now()
    this.timer ??= setTimeout(() => void this.write(), Math.max(dueInMs, BATCH_DELAY_MS))
  }

  private merge (mark: SuspectMark): SuspectMark {
    const upstreamIds = new Set([...this.pending.get(mark.fingerprint)?.upstreamIds ?? [], ...mark.upstreamIds])
    return { ...mark, upstreamIds: [...upstreamIds] }
  }

  private async write (): Promise<void> {
    this.timer = undefined
    this.lastWriteAt = this.options.clock.now()
    const marks = [...this.pending.values()].slice(-MAX_MARKS_PER_WRITE)
    const removals = this.expiredKeys.map(key => ({ key, value: undefined }))
    this.pending = new Map()
    this.expiredKeys = []
    const result = await this.options.store.put('fleet', [...removals, ...marks.map(mark => this.encode(mark))])
    // Not retried: the marks stay valid on this VM, and a repeated request that crashes an upstream is marked again.
    if (result.isErr) this.options.logger.warn('marks of suspect requests were not shared', { count: marks.length, failure: result.error })
  }

  /** The key includes the crashed upstreams, so that VMs do not overwrite each other's marks of one request. */
  private encode ({ fingerprint, upstreamIds, expiresAt }: SuspectMark): TableRecord {
    const { clock } = this.options
    const record: MarkRecord = { fingerprint, upstreamIds: [...upstreamIds], validMs: expiresAt - clock.now(), writtenAt: this.wallClockMs() }
    const digest = hash('sha256', `${fingerprint} ${upstreamIds.join()}`, 'base64url')
    return { key: `${SUSPECTS_GROUP}/${digest}`, value: Buffer.from(JSON.stringify(record)) }
  }

  private decode ({ fingerprint, upstreamIds, validMs }: MarkRecord): SuspectMark {
    return { fingerprint, upstreamIds, expiresAt: this.options.clock.now() + validMs }
  }

  private parse ({ key, value }: TableRecord): MarkRecord | undefined {
    if (value === undefined) return undefined
    const content = RECORD.safeParse(parseJson(value.toString('utf8'))).data
    if (content === undefined) this.options.logger.warn('mark of a suspect request cannot be read', { key })
    return content
  }

  private hasExpired ({ validMs, writtenAt }: MarkRecord): boolean {
    return this.wallClockMs() - writtenAt > validMs + CLOCK_TOLERANCE_MS
  }

  private wallClockMs (): number {
    return (this.options.wallClock ?? Date.now)()
  }
}
