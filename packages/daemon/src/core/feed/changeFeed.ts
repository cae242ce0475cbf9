import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { TableName, TableRecord } from '../../types/controlStore.js'
import type { FeedPosition } from '../../types/feedMessage.js'

/** Consecutive changes of a table, the first of them at offset `from`. */
export interface OffsetChanges {
  readonly from: number
  readonly records: readonly TableRecord[]
}

/** Receives changes that another VM has read. */
export type ChangeListener = (changes: OffsetChanges) => void

/** Relays what this VM reads from the store. */
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
 * Exchanges reads of the store with other VMs: receives those of the sources, the VMs that this one follows, and
 * publishes this VM's own to its followers. A table is covered while a source has read it recently and this VM has all
 * changes up to that position: it need not be read from the store then.
 */
export class ChangeFeed {
  /** Whether other VMs rely on what this one reads, so that it has to read the store itself. */
  private isSource = true
  private publisher: FeedPublisher | undefined
  private readonly ownPositionsByTable = new Map<TableName, Position>()
  /** Positions of the sources by VM id. */
  private readonly positionsBySource = new Map<string, Map<TableName, Position>>()
  private readonly listeners = new Map<TableName, ChangeListener>()
  private readonly waiters = new Set<() => void>()

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): ChangeFeed {
    return new ChangeFeed(clock)
  }

  /** Sets the publisher that relays this VM's reads to its followers. */
  setPublisher (publisher: FeedPublisher): void {
    this.publisher = publisher
  }

  /** Sets whether this VM has to read the store itself. */
  setSource (isSource: boolean): void {
    if (this.isSource === isSource) return
    this.isSource = isSource
    this.notify()
  }

  /** Sets the listener for changes of a table that other VMs have read. */
  setListener (table: TableName, listener: ChangeListener): void {
    this.listeners.set(table, listener)
  }

  /** Publishes that this VM has read a table up to `end`, with the changes that were new. */
  publish (table: TableName, end: number, changes?: OffsetChanges): void {
    this.ownPositionsByTable.set(table, { end, readAt: this.clock.now() })
    if (changes !== undefined && changes.records.length > 0) this.publisher?.onChanges(table, changes)
    this.publisher?.onPosition()
  }

  /** How far this VM has read the tables itself. */
  ownPositions (): Partial<Record<TableName, FeedPosition>> {
    const now = this.clock.now()
    const entries = [...this.ownPositionsByTable].map(([table, { end, readAt }]) => [table, { end, ageMs: Math.max(0, Math.round(now - readAt)) }])
    return Object.fromEntries(entries) as Partial<Record<TableName, FeedPosition>>
  }

  /** Called with changes that a source has relayed. */
  receiveChanges (table: TableName, changes: OffsetChanges): void {
    this.listeners.get(table)?.(changes)
  }

  /** Called with the positions up to which a source has read. */
  receivePositions (vmId: string, positions: Partial<Record<TableName, FeedPosition>>): void {
    const now = this.clock.now()
    const sourcePositions = this.positionsBySource.get(vmId) ?? new Map<TableName, Position>()
    for (const [table, { end, ageMs }] of Object.entries(positions) as Array<[TableName, FeedPosition]>) {
      sourcePositions.set(table, { end, readAt: now - ageMs })
    }
    this.positionsBySource.set(vmId, sourcePositions)
    this.notify()
  }

  /** Called when a VM is no longer followed. */
  removeSource (vmId: string): void {
    if (this.positionsBySource.delete(vmId)) this.notify()
  }

  /** Time since a source last read the table; infinite if none did. */
  ageMs (table: TableName): Milliseconds {
    return this.clock.now() - Math.max(...this.positionsOf(table).map(({ readAt }) => readAt), -Infinity)
  }

  /** Time since the given source last read the table; infinite if it never did. */
  ageOf (vmId: string, table: TableName): Milliseconds {
    return this.clock.now() - (this.positionsBySource.get(vmId)?.get(table)?.readAt ?? -Infinity)
  }

  /** Time since this VM last read the table itself; infinite if it never did. */
  ownAgeMs (table: TableName): Milliseconds {
    return this.clock.now() - (this.ownPositionsByTable.get(table)?.readAt ?? -Infinity)
  }

  /**
   * Waits until the table is not covered and has to be read from the store; resolves to whether it was covered before.
   * `offset` returns the position up to which this VM has read it.
   */
  async waitWhileCovered (table: TableName, offset: () => number, maxAgeMs: Milliseconds, signal: AbortSignal): Promise<boolean> {
    let wasCovered = false
    while (!signal.aborted && this.covers(table, offset(), maxAgeMs)) {
      wasCovered = true
      await this.waitForChange(maxAgeMs - this.ageMs(table), signal)
    }
    return wasCovered
  }

  /** Waits until the table is covered, for at most `pauseMs`. */
  async waitUntilCovered (table: TableName, offset: () => number, maxAgeMs: Milliseconds, pauseMs: Milliseconds, signal: AbortSignal): Promise<void> {
    const until = this.clock.now() + pauseMs
    while (!signal.aborted && this.clock.now() < until && !this.covers(table, offset(), maxAgeMs)) {
      await this.waitForChange(until - this.clock.now(), signal)
    }
  }

  /** Whether this VM relies on sources and is in contact with at least one. */
  get isFollowing (): boolean {
    return !this.isSource && this.positionsBySource.size > 0
  }

  /** Whether sources have read the table within `maxAgeMs`, and none of those beyond `offset`. */
  covers (table: TableName, offset: number, maxAgeMs: Milliseconds): boolean {
    if (this.isSource) return false
    const fresh = this.positionsOf(table).filter(({ readAt }) => this.clock.now() - readAt <= maxAgeMs)
    return fresh.length > 0 && fresh.every(({ end }) => end <= offset)
  }

  private positionsOf (table: TableName): Position[] {
    return [...this.positionsBySource.values()].flatMap(positions => positions.get(table) ?? [])
  }

  private waitForChange (withinMs: Milliseconds, signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const done = (): void => {
        clearTimeout(timer)
        signal.removeEventListener('abort', done)
        this.waiters.delete(done)
        resolve()
      }
      const timer = setTimeout(done, Math.max(Math.ceil(withinMs), 1))
      signal.addEventListener('abort', done)
      this.waiters.add(done)
    })
  }

  private notify (): void {
    for (const wake of [...this.waiters]) wake()
  }
}
