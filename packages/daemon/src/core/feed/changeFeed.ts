import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { TableName, TableRecord } from '../../types/controlStore.js'
import type { FeedPosition } from '../../types/feedMessage.js'

/** Changes of a table in order, from an offset on. */
export interface OffsetChanges {
  readonly from: number
  readonly records: readonly TableRecord[]
}

/** Takes changes that another VM has read. */
export type ChangeListener = (changes: OffsetChanges) => void

/** Hears what this VM reads from the store. */
export interface FeedPublisher {
  onChanges (table: TableName, changes: OffsetChanges): void
  onPosition (): void
}

/** How far a table was read, by this VM or another one. */
interface Position {
  readonly end: number
  /** When the store answered that read, on this VM's clock. */
  readonly readAt: Milliseconds
}

/**
 * What this VM knows of the reads of others, and what it tells them of its own. A table is covered while a followed VM
 * has read it lately and this VM has all changes up to there: it need not be read from the store then.
 */
export class ChangeFeed {
  /** Whether other VMs rely on what this one reads, so that it has to read the store itself. */
  private isSource = true
  private publisher: FeedPublisher | undefined
  private readonly own = new Map<TableName, Position>()
  /** Positions of followed VMs by their id. */
  private readonly followed = new Map<string, Map<TableName, Position>>()
  private readonly listeners = new Map<TableName, ChangeListener>()
  private readonly waiting = new Set<() => void>()

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): ChangeFeed {
    return new ChangeFeed(clock)
  }

  /** Names who hears of this VM's reads. */
  setPublisher (publisher: FeedPublisher): void {
    this.publisher = publisher
  }

  /** Sets whether this VM has to read the store itself. */
  setSource (isSource: boolean): void {
    if (this.isSource === isSource) return
    this.isSource = isSource
    this.notify()
  }

  /** Hands changes of a table that other VMs read to `listener`. */
  listen (table: TableName, listener: ChangeListener): void {
    this.listeners.set(table, listener)
  }

  /** This VM has read a table up to `end`; `changes` are those that were new. */
  publish (table: TableName, end: number, changes?: OffsetChanges): void {
    this.own.set(table, { end, readAt: this.clock.now() })
    if (changes !== undefined && changes.records.length > 0) this.publisher?.onChanges(table, changes)
    this.publisher?.onPosition()
  }

  /** How far this VM has read the tables itself. */
  ownPositions (): Partial<Record<TableName, FeedPosition>> {
    const now = this.clock.now()
    const entries = [...this.own].map(([table, { end, readAt }]) => [table, { end, ageMs: Math.max(0, Math.round(now - readAt)) }])
    return Object.fromEntries(entries) as Partial<Record<TableName, FeedPosition>>
  }

  /** A followed VM handed on changes. */
  takeChanges (table: TableName, changes: OffsetChanges): void {
    this.listeners.get(table)?.(changes)
  }

  /** A followed VM told how far it has read. */
  takePositions (vmId: string, positions: Partial<Record<TableName, FeedPosition>>): void {
    const now = this.clock.now()
    const known = this.followed.get(vmId) ?? new Map<TableName, Position>()
    for (const [table, { end, ageMs }] of Object.entries(positions) as Array<[TableName, FeedPosition]>) {
      known.set(table, { end, readAt: now - ageMs })
    }
    this.followed.set(vmId, known)
    this.notify()
  }

  /** A VM is no longer followed. */
  forget (vmId: string): void {
    if (this.followed.delete(vmId)) this.notify()
  }

  /** Time since a followed VM read the table; infinite where none did. */
  ageMs (table: TableName): Milliseconds {
    return this.clock.now() - Math.max(...this.positionsOf(table).map(({ readAt }) => readAt), -Infinity)
  }

  /** The same for one followed VM. */
  ageOf (vmId: string, table: TableName): Milliseconds {
    return this.clock.now() - (this.followed.get(vmId)?.get(table)?.readAt ?? -Infinity)
  }

  /** Time since this VM read the table itself; infinite where it never did. */
  ownAgeMs (table: TableName): Milliseconds {
    return this.clock.now() - (this.own.get(table)?.readAt ?? -Infinity)
  }

  /**
   * Resolves once the table has to be read from the store, to whether it was covered until then. `offset` is how far this
   * VM knows it.
   */
  async whileCovered (table: TableName, offset: () => number, maxAgeMs: Milliseconds, stopped: AbortSignal): Promise<boolean> {
    let wasCovered = false
    while (!stopped.aborted && this.covers(table, offset(), maxAgeMs)) {
      wasCovered = true
      await this.nextChange(maxAgeMs - this.ageMs(table), stopped)
    }
    return wasCovered
  }

  /** Resolves after `pauseMs`, or once the table is covered. */
  async untilCovered (table: TableName, offset: () => number, maxAgeMs: Milliseconds, pauseMs: Milliseconds, stopped: AbortSignal): Promise<void> {
    const until = this.clock.now() + pauseMs
    while (!stopped.aborted && this.clock.now() < until && !this.covers(table, offset(), maxAgeMs)) {
      await this.nextChange(until - this.clock.now(), stopped)
    }
  }

  /** Whether the VM relies on others that it is in contact with. */
  get isFollowing (): boolean {
    return !this.isSource && this.followed.size > 0
  }

  /** Whether a followed VM has read the table within `maxAgeMs`, and not beyond `offset`. */
  covers (table: TableName, offset: number, maxAgeMs: Milliseconds): boolean {
    if (this.isSource) return false
    const fresh = this.positionsOf(table).filter(({ readAt }) => this.clock.now() - readAt <= maxAgeMs)
    return fresh.length > 0 && fresh.every(({ end }) => end <= offset)
  }

  private positionsOf (table: TableName): Position[] {
    return [...this.followed.values()].flatMap(positions => positions.get(table) ?? [])
  }

  private nextChange (withinMs: Milliseconds, stopped: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const done = (): void => {
        clearTimeout(timer)
        stopped.removeEventListener('abort', done)
        this.waiting.delete(done)
        resolve()
      }
      const timer = setTimeout(done, Math.max(Math.ceil(withinMs), 1))
      stopped.addEventListener('abort', done)
      this.waiting.add(done)
    })
  }

  private notify (): void {
    for (const wake of [...this.waiting]) wake()
  }
}
