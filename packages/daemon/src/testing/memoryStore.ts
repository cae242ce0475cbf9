import { Result } from 'true-myth/result'
import type { Customer } from '@cowsliplead/core/types/customer.js'
import type { Route, RouteConfig, ServiceTarget } from '@cowsliplead/core/types/routes.js'
import type { UpstreamEntry } from '@cowsliplead/core/types/upstreamEntry.js'
import type { ControlStore, Evacuation, StoreFailure, StoreResult, TableChanges, TableName, TablePage, TableRecord } from '../types/controlStore.js'
import { sleep } from '../utils/sleep.js'

/** Limit of a read's wait, so that tests do not wait for a daemon that reads an unchanged table. */
const LONGEST_WAIT_MS = 20
const POLL_MS = 2

/** Prefix of the keys of evacuation orders. */
const EVACUATION_PREFIX = 'evacuation/'

/** The configuration as it is stored: JSON has no maps. */
interface StoredConfig extends Omit<RouteConfig, 'services' | 'customers'> {
  readonly services: readonly ServiceTarget[]
  readonly customers: readonly Customer[] | undefined
}

/** In-memory control store for tests; daemons may share one. */
export class MemoryStore implements ControlStore {
  /** If set, every call fails with it. */
  failure: StoreFailure | undefined
  /** Number of further writes that take effect but are not answered. */
  unansweredWrites = 0
  /** Runs once, before the next write is checked for a conflict. */
  beforeWrite: (() => void) | undefined
  /** Number of restores from a copy. */
  epoch = 0
  private readonly tables = new Map<TableName, TableRecord[]>()

  protected constructor () {}

  static create (): MemoryStore {
    return new MemoryStore()
  }

  records (table: TableName): TableRecord[] {
    const known = this.tables.get(table) ?? []
    this.tables.set(table, known)
    return known
  }

  putConfig (version: number, routes: readonly Route[], services: readonly ServiceTarget[], customers?: readonly Customer[]): void {
    const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 100_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
    const config: StoredConfig = { version, routes, services, customers, limits }
    this.records('configuration').push({ key: 'config', value: Buffer.from(JSON.stringify(config)) })
  }

  /** Orders the evacuation of a failure domain, or withdraws the order. */
  putEvacuation ({ failureDomain, isActive }: Evacuation): void {
    this.records('configuration').push({ key: `${EVACUATION_PREFIX}${failureDomain}`, value: isActive ? Buffer.from('{}') : undefined })
  }

  putUpstream (entry: UpstreamEntry): void {
    this.records('upstreams').push({ key: entry.id, value: Buffer.from(JSON.stringify(entry)) })
  }

  async readNewest (table: TableName): Promise<StoreResult<TablePage>> {
    if (this.failure !== undefined) return Result.err(this.failure)
    const records = this.records(table)
    const newest = new Map(records.map(record => [record.key, record]))
    const kept = [...newest.values()].filter(({ value }) => value !== undefined)
    return Result.ok({ records: kept, nextAfter: undefined, end: records.length, epoch: this.epoch })
  }

  async readChanges (table: TableName, from: number, waitMs: number): Promise<StoreResult<TableChanges>> {
    const latest = Date.now() + Math.min(waitMs, LONGEST_WAIT_MS)
    while (this.failure === undefined && this.records(table).length <= from && Date.now() < latest) await sleep(POLL_MS)
    if (this.failure !== undefined) return Result.err(this.failure)
    const records = this.records(table)
    return Result.ok({ records: records.slice(from), end: records.length, epoch: this.epoch })
  }

  async put (table: TableName, records: readonly TableRecord[], expectedEnd?: number): Promise<StoreResult<void>> {
    this.beforeWrite?.()
    this.beforeWrite = undefined
    if (this.failure !== undefined) return Result.err(this.failure)
    const stored = this.records(table)
    if (expectedEnd !== undefined && expectedEnd !== stored.length) return Result.err('conflict')
    stored.push(...records)
    if (this.unansweredWrites === 0) return Result.ok(undefined)
    this.unansweredWrites -= 1
    return Result.err('unanswered')
  }

  decodeRoutes ({ value }: TableRecord): Result<RouteConfig, string> {
    if (value === undefined) return Result.err('the record was removed')
    const { services, customers, ...config } = JSON.parse(value.toString()) as StoredConfig
    return Result.ok({
      ...config,
      services: new Map(services.map(service => [service.name, service])),
      customers: customers && new Map(customers.map(customer => [customer.name, customer]))
    })
  }

  decodeEvacuation ({ key, value }: TableRecord): Evacuation | undefined {
    if (!key.startsWith(EVACUATION_PREFIX)) return undefined
    return { failureDomain: key.slice(EVACUATION_PREFIX.length), isActive: value !== undefined }
  }

  decodeUpstream ({ value }: TableRecord): UpstreamEntry | undefined {
    return value === undefined ? undefined : JSON.parse(value.toString()) as UpstreamEntry
  }

  close (): void {}
}
