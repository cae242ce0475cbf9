import { hash } from 'node:crypto'
import { z } from 'zod'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { SuspectMark } from '@cowsliplead/core/types/suspectMark.js'
import { parseJson } from '@cowsliplead/core/utils/parseJson.js'
import type { ControlStore, TableRecord } from '../../types/controlStore.js'
import type { Journal } from '../operators/journal.js'
import type { FleetRecordConsumer } from './fleetTable.js'

/** Time between two writes: lost connections come in bursts and mark many requests. */
const WRITE_INTERVAL_MS: Milliseconds = 500

/** Marks of this time share the first write of a burst; their callers send the requests again within milliseconds. */
const GATHER_MS: Milliseconds = 2

/** Group of the keys of marks in the fleet's table. */
export const SUSPECTS_GROUP = 'suspect'

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

type MarkRecord = z.infer<typeof RECORD>

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
export class SharedSuspects implements FleetRecordConsumer {
  private pending = new Map<string, SuspectMark>()
  private expiredKeys: readonly string[] = []
  private timer: NodeJS.Timeout | undefined
  private writtenAt: Milliseconds = -Infinity

  private constructor (private readonly options: SharedSuspectsOptions) {}

  static create (options: SharedSuspectsOptions): SharedSuspects {
    return new SharedSuspects(options)
  }

  close (): void {
    clearTimeout(this.timer)
  }

  /** This VM marked requests. */
  publish (marks: readonly SuspectMark[]): void {
    for (const mark of marks) this.pending.set(mark.fingerprint, this.merge(mark))
    this.scheduleWrite()
  }

  /** Takes other VMs' marks. The store keeps records for good, so that expired ones are removed where they are found. */
  onSnapshot (records: readonly TableRecord[]): void {
    this.expiredKeys = this.take(records).slice(0, LARGEST_BATCH)
    if (this.expiredKeys.length > 0) this.scheduleWrite()
  }

  onChanges (records: readonly TableRecord[]): void {
    this.take(records)
  }

  /** Hands on the marks that hold and returns the keys of those that have expired. */
  private take (records: readonly TableRecord[]): string[] {
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
    const dueInMs = this.writtenAt + WRITE_INTERVAL_MS - this.options.clock.now()
    this.timer ??= setTimeout(() => void this.write(), Math.max(dueInMs, GATHER_MS))
  }

  private merge (mark: SuspectMark): SuspectMark {
    const upstreamIds = new Set([...this.pending.get(mark.fingerprint)?.upstreamIds ?? [], ...mark.upstreamIds])
    return { ...mark, upstreamIds: [...upstreamIds] }
  }

  private async write (): Promise<void> {
    this.timer = undefined
    this.writtenAt = this.options.clock.now()
    const marks = [...this.pending.values()].slice(-LARGEST_BATCH)
    const removals = this.expiredKeys.map(key => ({ key, value: undefined }))
    this.pending = new Map()
    this.expiredKeys = []
    const result = await this.options.store.put('fleet', [...removals, ...marks.map(mark => this.encode(mark))])
    // The marks hold on this VM all the same; a repeat of the request marks it anew.
    if (result.isErr) this.options.journal.warn('marks of suspect requests were not shared', { count: marks.length, failure: result.error })
  }

  /** Different crashes of one request have keys of their own, so that VMs do not overwrite each other's marks. */
  private encode ({ fingerprint, upstreamIds, expiresAt }: SuspectMark): TableRecord {
    const { clock } = this.options
    const record: MarkRecord = { fingerprint, upstreamIds: [...upstreamIds], validMs: expiresAt - clock.now(), writtenAt: this.timeOfDay() }
    const digest = hash('sha256', `${fingerprint} ${upstreamIds.join()}`, 'base64url')
    return { key: `${SUSPECTS_GROUP}/${digest}`, value: Buffer.from(JSON.stringify(record)) }
  }

  private decode ({ fingerprint, upstreamIds, validMs }: MarkRecord): SuspectMark {
    return { fingerprint, upstreamIds, expiresAt: this.options.clock.now() + validMs }
  }

  private parse ({ key, value }: TableRecord): MarkRecord | undefined {
    if (value === undefined) return undefined
    const content = RECORD.safeParse(parseJson(value.toString('utf8'))).data
    if (content === undefined) this.options.journal.warn('mark of a suspect request cannot be read', { key })
    return content
  }

  private hasExpired ({ validMs, writtenAt }: MarkRecord): boolean {
    return this.timeOfDay() - writtenAt > validMs + CLOCK_TOLERANCE_MS
  }

  private timeOfDay (): number {
    return (this.options.timeOfDay ?? Date.now)()
  }
}
