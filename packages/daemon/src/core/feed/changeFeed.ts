import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { FleetRole } from '@cowsliplead/core/types/fleetMember.js'
import type { TableName, TablePosition } from '../../types/controlStore.js'
import type { FeedPosition } from '../../types/feedMessage.js'
import type { FeedPublisher, FeedTable, OffsetChanges, TableCopy } from '../../types/feedTable.js'
import { includes, isAhead } from '../../utils/tablePosition.js'
import { FollowedReads, type ReadPosition } from './followedReads.js'
import { ReadPeriods } from './readPeriods.js'
import { Waiters } from './waiters.js'

/** The standby reads the store at this share of the age at which other VMs do, so that one VM does it for all. */
const STANDBY_AGE_SHARE = 0.8

/** Positions that are newer by less are the same read, reported by several VMs with its age rounded. */
const MIN_ADVANCE_MS: Milliseconds = 20

/** Longest wait for another VM's copy of a table after this VM has learned its role. */
const COPY_WAIT_MS: Milliseconds = 500

/** Longest wait for this VM's role: the first pause and read of the member records, and a slow answer of the store. */
const ROLE_WAIT_MS: Milliseconds = 1000

/**
 * Exchanges reads of the store with other VMs: receives those of the VMs that this one follows, and passes them on, with
 * its own, to its followers. A table is covered while it was read recently and this VM has all changes up to that
 * position: it need not be read from the store then. A position keeps the time of its read on its way, so that VMs that
 * follow one another cannot make it look newer.
 */
export class ChangeFeed {
  /** Undefined until this VM is registered as a member. */
  private role: FleetRole | undefined
  private publisher: FeedPublisher | undefined
  private readonly ownPositions = new Map<TableName, ReadPosition>()
  private readonly followed = FollowedReads.create()
  /** Periods of reads by this VM or those that it follows. */
  private readonly readPeriods = ReadPeriods.create()
  private readonly tables = new Map<TableName, FeedTable>()
  private readonly declined = new Set<TableName>()
  private readonly waiters = Waiters.create()

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): ChangeFeed {
    return new ChangeFeed(clock)
  }

  /** Sets the publisher that passes reads on to this VM's followers. */
  setPublisher (publisher: FeedPublisher): void {
    this.publisher = publisher
  }

  /** Sets this VM's role. A source reads the store itself. */
  setRole (role: FleetRole | undefined): void {
    if (this.role === role) return
    this.role = role
    this.waiters.wake()
  }

  /** Adds a table that is exchanged. */
  register (table: FeedTable): void {
    this.tables.set(table.table, table)
  }

  /**
   * Sets the VMs that this one follows only because it does not reach the store. Passed on, their reads would hide that from the
   * VMs that follow this one, and none of them would take its place.
   */
  setAdditionalSources (vmIds: ReadonlySet<string>): void {
    this.followed.additionalSources = vmIds
  }

  /** The tables that this VM may take from the copy of another one, as far as that is known to be ahead. */
  neededCopies (vmId: string): TableName[] {
    return [...this.tables.values()].filter(table => table.needsCopy && this.mayBeAhead(vmId, table)).map(({ table }) => table)
  }

  /** Publishes how far this VM has read a table, with the changes that were new. */
  publish (table: TableName, position: TablePosition, changes?: OffsetChanges): void {
    const now = this.clock.now()
    this.ownPositions.set(table, { ...position, readAt: now })
    this.readPeriods.add(table, { from: now, to: now })
    if (changes !== undefined && changes.records.length > 0) this.publisher?.onChanges(table, changes)
    this.publisher?.onPosition()
  }

  /** For each table, the newest position up to which this VM has all changes. */
  positions (): Partial<Record<TableName, FeedPosition>> {
    const positions: Partial<Record<TableName, FeedPosition>> = {}
    for (const table of this.tables.keys()) {
      const newest = this.newestPosition(table)
      if (newest !== undefined) positions[table] = { epoch: newest.epoch, end: newest.offset, ageMs: this.ageOfRead(newest), readForMs: this.readPeriods.lengthMs(table, newest.readAt) }
    }
    return positions
  }

  /** This VM's copy of a table; undefined while it has none. */
  copyOf (table: TableName): TableCopy | undefined {
    const known = this.tables.get(table)
    const newest = this.newestPosition(table)
    if (known?.position === undefined || newest === undefined) return undefined
    return { records: known.records(), position: known.position, ageMs: this.ageOfRead(newest), held: known.heldRecords?.() }
  }

  /** Called with changes that a followed VM has passed on. */
  receiveChanges (table: TableName, changes: OffsetChanges): void {
    const fresh = this.tables.get(table)?.receiveChanges(changes)
    if (fresh !== undefined) this.publisher?.onChanges(table, fresh)
  }

  /** Called with the copy of a table that a followed VM has sent. */
  receiveCopy (table: TableName, copy: TableCopy): void {
    this.tables.get(table)?.receiveCopy(copy)
    this.waiters.wake()
    this.publisher?.onPosition()
  }

  /** Called when a followed VM does not send a copy. */
  receiveDecline (table: TableName): void {
    this.declined.add(table)
    this.waiters.wake()
  }

  /** Called with the positions that a followed VM knows of. */
  receivePositions (vmId: string, positions: Partial<Record<TableName, FeedPosition>>): void {
    const now = this.clock.now()
    const readAtBefore = this.newestReads()
    for (const [table, { epoch, end, ageMs, readForMs = 0 }] of Object.entries(positions) as Array<[TableName, FeedPosition]>) {
      const readAt = now - ageMs
      this.followed.set(vmId, table, { epoch, offset: end, readAt })
      this.readPeriods.add(table, { from: readAt - readForMs, to: readAt })
    }
    this.followed.add(vmId)
    this.waiters.wake()
    const readAt = this.newestReads()
    if (readAt.some((at, index) => at - (readAtBefore[index] as Milliseconds) > MIN_ADVANCE_MS)) this.publisher?.onPosition()
  }

  /** Called when a VM is no longer followed. */
  removeFollowed (vmId: string): void {
    if (this.followed.delete(vmId)) this.waiters.wake()
  }

  /** Time since the table was last read, as far as the followed VMs know; infinite if they know of no read. */
  ageMs (table: TableName): Milliseconds {
    return this.clock.now() - Math.max(...this.followed.of(table).map(({ readAt }) => readAt), -Infinity)
  }

  /** Time since the table was last read, as far as the given VM knows; infinite if it knows of no read. */
  ageOf (vmId: string, table: TableName): Milliseconds {
    return this.clock.now() - (this.followed.get(vmId, table)?.readAt ?? -Infinity)
  }

  /** Time since the read that this VM's copy of the table includes; undefined while it has no copy. */
  copyAgeMs (table: TableName): Milliseconds | undefined {
    const newest = this.newestPosition(table, this.followed.of(table))
    return newest === undefined ? undefined : this.ageOfRead(newest)
  }

  /** Time since this VM last read the table itself; infinite if it never did. */
  ownAgeMs (table: TableName): Milliseconds {
    return this.clock.now() - (this.ownPositions.get(table)?.readAt ?? -Infinity)
  }

  /** Whether the store is known to have answered reads of the table since then, other VMs' at least. */
  wasReadSince (table: TableName, since: Milliseconds): boolean {
    return this.readPeriods.includes(table, since)
  }

  /** Whether a followed VM knows of changes to the table beyond `reached`. */
  isBehind (table: TableName, reached: TablePosition): boolean {
    return this.followed.of(table).some(position => isAhead(position, reached))
  }

  /** Waits until another VM's copy of the table has arrived, or none is to be expected. */
  async waitForCopy (table: FeedTable, signal: AbortSignal): Promise<void> {
    const startedAt = this.clock.now()
    while (this.role === undefined && this.clock.now() < startedAt + ROLE_WAIT_MS && !signal.aborted) {
      await this.waiters.wait(startedAt + ROLE_WAIT_MS - this.clock.now(), signal)
    }
    const until = this.clock.now() + COPY_WAIT_MS
    while (this.mayReceiveCopy(table) && this.clock.now() < until && !signal.aborted) {
      await this.waiters.wait(until - this.clock.now(), signal)
    }
  }

  /**
   * Waits until the table is not covered and has to be read from the store; resolves to whether it was covered before.
   * `reached` returns the position up to which this VM has read it; undefined if it has to read all of it.
   */
  async waitWhileCovered (table: TableName, reached: () => TablePosition | undefined, maxAgeMs: Milliseconds, signal: AbortSignal): Promise<boolean> {
    let wasCovered = false
    while (!signal.aborted && this.covers(table, reached(), maxAgeMs)) {
      wasCovered = true
      await this.waiters.wait(this.ageLimitMs(maxAgeMs) - this.ageMs(table), signal)
    }
    return wasCovered
  }

  /** Waits until the table is covered, for at most `pauseMs`; a VM that becomes the source meanwhile waits no longer. */
  async waitUntilCovered (table: TableName, reached: () => TablePosition | undefined, maxAgeMs: Milliseconds, pauseMs: Milliseconds, signal: AbortSignal): Promise<void> {
    const until = this.clock.now() + pauseMs
    const wasDependent = this.isDependent
    while (!signal.aborted && this.clock.now() < until && !this.covers(table, reached(), maxAgeMs)) {
      if (wasDependent && !this.isDependent) return
      await this.waiters.wait(until - this.clock.now(), signal)
    }
  }

  /** Whether this VM relies on others and is in contact with at least one. */
  get isFollowing (): boolean {
    return this.isDependent && this.followed.vms > 0
  }

  /**
   * Whether the table was read within `maxAgeMs`, and no read went beyond `reached`. VMs that have not noticed a restore
   * of the store cover none that has.
   */
  covers (table: TableName, reached: TablePosition | undefined, maxAgeMs: Milliseconds): boolean {
    if (!this.isDependent || reached === undefined) return false
    const fresh = this.followed.of(table).filter(({ readAt }) => this.clock.now() - readAt <= this.ageLimitMs(maxAgeMs))
    return fresh.some(({ epoch }) => epoch === reached.epoch) && !fresh.some(position => isAhead(position, reached))
  }

  private get isDependent (): boolean {
    return this.role !== undefined && this.role !== 'source'
  }

  private ageLimitMs (maxAgeMs: Milliseconds): Milliseconds {
    return this.role === 'standby' ? maxAgeMs * STANDBY_AGE_SHARE : maxAgeMs
  }

  private mayReceiveCopy (table: FeedTable): boolean {
    return this.isDependent && table.position === undefined && !this.declined.has(table.table)
  }

  /** Without a copy of its own, this VM takes any. */
  private mayBeAhead (vmId: string, { table, position }: FeedTable): boolean {
    const known = this.followed.get(vmId, table)
    return position === undefined || (known !== undefined && isAhead(known, position))
  }

  /** The newest read that this VM's copy includes, of its own and of those `followed` that are passed on. */
  private newestPosition (table: TableName, followed = this.followed.passedOn(table)): ReadPosition | undefined {
    const reached = this.tables.get(table)?.position
    if (reached === undefined) return undefined
    const own = this.ownPositions.get(table)
    const known = [...followed, ...own === undefined ? [] : [own]].filter(position => includes(reached, position))
    return known.reduce<ReadPosition | undefined>((newest, each) => newest === undefined || each.readAt > newest.readAt ? each : newest, undefined)
  }

  /** When each table was last read; -Infinity where that is not known. */
  private newestReads (): Milliseconds[] {
    return [...this.tables.keys()].map(table => this.newestPosition(table)?.readAt ?? -Infinity)
  }

  private ageOfRead ({ readAt }: ReadPosition): Milliseconds {
    return Math.max(0, Math.round(this.clock.now() - readAt))
  }
}
