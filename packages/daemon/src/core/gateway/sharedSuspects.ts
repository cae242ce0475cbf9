import { hash } from 'node:crypto'
import { z } from 'zod'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { SuspectMark } from '@cowsliplead/core/types/suspectMark.js'
import { parseJson } from '@cowsliplead/core/utils/parseJson.js'
import type { ControlStore, TableRecord } from '../../types/controlStore.js'
import type { Journal } from '../operators/journal.js'
import { logContact } from './contactLog.js'
import { TableReader, type TableConsumer } from './tableReader.js'

/** Marks of this time share one write, and one read: a burst of lost connections marks many requests. */
const BATCH_MS: Milliseconds = 500

/** Longest wait of a read. Marks are rare, and one that arrives late costs one more crash by each VM. */
const READ_WAIT_MS: Milliseconds = 20_000

/** Marks in one write; the newest are kept. */
const LARGEST_BATCH = 200

/** Tolerance for clocks of the day that differ between VMs. */
const CLOCK_TOLERANCE_MS: Milliseconds = 10_000

const RECORD = z.object({
  fingerprint: z.string().min(1),
  upstreamIds: z.array(z.string()),
  /** How long the mark held when it was written. */
  validMs: z.number().nonnegative(),
  /** Time of day of the writing VM, in milliseconds since the epoch. */
  writtenAt: z.number()
})

/** What the sharing of marks needs. */
export interface SharedSuspectsOptions {
  readonly store: ControlStore
  readonly clock: Clock
  readonly journal: Journal
  /** Takes marks of other VMs. */
  readonly importMarks: (marks: readonly SuspectMark[]) => void
  /** The time of day in milliseconds since the epoch. */
  readonly timeOfDay?: () => number
}

/**
 * Shares the marks of requests that crashed upstreams. Their callers send them again at any VM, so that each VM alone
 * would let them crash as many upstreams as all are allowed to.
 */
export class SharedSuspects {
  private readonly reader: TableReader
  private pending = new Map<string, SuspectMark>()
  private timer: NodeJS.Timeout | undefined

  private constructor (private readonly options: SharedSuspectsOptions) {
    const { store, clock } = options
    this.reader = TableReader.create({
      store, clock, table: 'suspects', consumer: this.createConsumer(), waitMs: READ_WAIT_MS, pauseMs: BATCH_MS
    })
  }

  static create (options: SharedSuspectsOptions): SharedSuspects {
    return new SharedSuspects(options)
  }

  start (): void {
    this.reader.start()
  }

  stop (): void {
    this.reader.stop()
    clearTimeout(this.timer)
  }

  /** This VM marked requests. */
  publish (marks: readonly SuspectMark[]): void {
    for (const mark of marks) this.pending.set(mark.fingerprint, this.merge(mark))
    this.timer ??= setTimeout(() => void this.write(), BATCH_MS)
  }

  private merge (mark: SuspectMark): SuspectMark {
    const upstreamIds = new Set([...this.pending.get(mark.fingerprint)?.upstreamIds ?? [], ...mark.upstreamIds])
    return { ...mark, upstreamIds: [...upstreamIds] }
  }

  private async write (): Promise<void> {
    this.timer = undefined
    const marks = [...this.pending.values()].slice(-LARGEST_BATCH)
    this.pending = new Map()
    const records = marks.map(mark => this.encode(mark))
    const result = await this.options.store.put('suspects', records)
    // The marks hold on this VM all the same; a repeat of the request marks it anew.
    if (result.isErr) this.options.journal.warn('marks of suspect requests were not shared', { count: marks.length, failure: result.error })
  }

  /** Different crashes of one request have keys of their own, so that VMs do not overwrite each other's marks. */
  private encode ({ fingerprint, upstreamIds, expiresAt }: SuspectMark): TableRecord {
    const { clock } = this.options
    const record: z.infer<typeof RECORD> = { fingerprint, upstreamIds: [...upstreamIds], validMs: expiresAt - clock.now(), writtenAt: this.timeOfDay() }
    const key = hash('sha256', `${fingerprint} ${upstreamIds.join()}`, 'base64url')
    return { key, value: Buffer.from(JSON.stringify(record)) }
  }

  private createConsumer (): TableConsumer {
    const take = (records: readonly TableRecord[]): void => this.take(records)
    return { ...logContact(this.options.journal, 'suspects'), onSnapshot: take, onChanges: take }
  }

  private take (records: readonly TableRecord[]): void {
    const marks = records.map(record => this.decode(record)).filter(mark => mark !== undefined)
    if (marks.length > 0) this.options.importMarks(marks)
  }

  private decode ({ key, value }: TableRecord): SuspectMark | undefined {
    if (value === undefined) return undefined
    const record = RECORD.safeParse(parseJson(value.toString('utf8'))).data
    if (record === undefined) return void this.options.journal.warn('mark of a suspect request cannot be read', { key })
    const { fingerprint, upstreamIds, validMs, writtenAt } = record
    // The store keeps the newest record of each key for good.
    if (this.timeOfDay() - writtenAt > validMs + CLOCK_TOLERANCE_MS) return undefined
    return { fingerprint, upstreamIds, expiresAt: this.options.clock.now() + validMs }
  }

  private timeOfDay (): number {
    return (this.options.timeOfDay ?? Date.now)()
  }
}
