import { Evacuations, type DomainChange } from '@cowsliplead/core/core/membership/evacuations.js'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Upstream } from '@cowsliplead/core/types/upstream.js'
import type { ControlStore, Evacuation, TableRecord } from '../../types/controlStore.js'
import type { HeldRecords } from '../../types/feedTable.js'
import type { Logger } from '../operators/logger.js'

const MIN_TIMER_MS: Milliseconds = 1

/** Names come from keys of the store, which may be of any length. */
const MAX_SHOWN_CHARACTERS = 100
const MAX_SHOWN_DOMAINS = 50

/** Options of the evacuation state. */
export interface EvacuationStateOptions {
  readonly store: Pick<ControlStore, 'decodeEvacuation'>
  readonly clock: Clock
  readonly logger: Logger
  /** Receives the evacuated failure domains. */
  readonly target: { setEvacuatedDomains (domains: ReadonlySet<string>): void }
  /** The registered upstreams; undefined before they are known. */
  readonly upstreams: () => readonly Upstream[] | undefined
}

/** The evacuated failure domains, kept up to date from the records of the table `configuration`. */
export class EvacuationState {
  private readonly evacuations = Evacuations.create()
  /** The orders in force as the store had them, by domain. */
  private readonly records = new Map<string, TableRecord>()
  /** Evacuated domains that were found without upstreams, so that each is logged once. */
  private readonly unknownDomains = new Set<string>()
  private timer: NodeJS.Timeout | undefined

  private constructor (private readonly options: EvacuationStateOptions) {}

  static create (options: EvacuationStateOptions): EvacuationState {
    return new EvacuationState(options)
  }

  /** The evacuated failure domains, for operators; long names and lists are cut. */
  domains (): string[] {
    return [...this.evacuations.domains()].slice(0, MAX_SHOWN_DOMAINS).map(shorten)
  }

  /** Number of evacuated failure domains. */
  get count (): number {
    return this.evacuations.domains().size
  }

  /** The state for the dump. */
  describe (): Record<string, unknown> {
    const held = this.evacuations.heldDomains()
    const heldForMs = held.length > 0 ? this.heldForMs() : undefined
    return { domains: this.domains(), held: held.slice(0, MAX_SHOWN_DOMAINS).map(shorten), heldForMs }
  }

  /** Called before the first snapshot after a restore of the store from a copy. */
  onStoreRestored (): void {
    this.evacuations.onStoreRestored(this.options.clock.now())
  }

  /** The records of held orders, for VMs that start; undefined if there are none. */
  heldRecords (): HeldRecords | undefined {
    const records = this.evacuations.heldDomains().flatMap(failureDomain => this.records.get(failureDomain) ?? [])
    return records.length === 0 ? undefined : { records, leftMs: Math.max(0, this.heldForMs()) }
  }

  /** Takes over the orders that another VM holds. */
  onHeldRecords ({ records, leftMs }: HeldRecords): void {
    const domains = records.map(record => this.decode(record)).filter(order => order?.isActive === true).map(order => (order as Evacuation).failureDomain)
    this.apply(this.evacuations.hold(domains, this.options.clock.now() + leftMs))
  }

  /** Handles all records of the table. */
  onSnapshot (records: readonly TableRecord[]): void {
    const ordered = new Set<string>()
    for (const record of records) {
      const order = this.decode(record)
      if (order?.isActive === true) ordered.add(order.failureDomain)
    }
    this.apply(this.evacuations.replaceAll(ordered, this.options.clock.now()))
  }

  /** Handles changed records in order. */
  onChanges (records: readonly TableRecord[]): void {
    const changes: DomainChange[] = []
    for (const record of records) {
      const order = this.decode(record)
      if (order === undefined) continue
      const { failureDomain, isActive } = order
      changes.push({ failureDomain, change: this.evacuations.onOrder(failureDomain, isActive) })
    }
    this.apply(changes)
  }

  /** Logs evacuated domains in which no upstream is registered; possibly a misspelt name. */
  logUnknownDomains (): void {
    const upstreams = this.options.upstreams()
    if (upstreams === undefined) return
    const known = new Set(upstreams.map(upstream => upstream.failureDomain))
    for (const failureDomain of this.evacuations.domains()) {
      if (known.has(failureDomain) || this.unknownDomains.has(failureDomain)) continue
      this.unknownDomains.add(failureDomain)
      this.options.logger.warn('evacuated failure domain has no upstreams', { domain: shorten(failureDomain) })
    }
  }

  /** Cancels the timer that ends held evacuations. */
  close (): void {
    clearTimeout(this.timer)
  }

  private apply (changes: readonly DomainChange[]): void {
    const effective = changes.filter(({ change }) => change !== 'unchanged')
    for (const { failureDomain, change } of effective) this.logChange(failureDomain, change)
    if (effective.some(({ change }) => change === 'started' || change === 'ended')) {
      this.options.target.setEvacuatedDomains(this.evacuations.domains())
    }
    this.logUnknownDomains()
    this.scheduleExpiry()
  }

  /** Decodes a record and keeps it while its order is active. */
  private decode (record: TableRecord): Evacuation | undefined {
    const order = this.options.store.decodeEvacuation(record)
    if (order?.isActive === true) this.records.set(order.failureDomain, record)
    return order
  }

  private logChange (failureDomain: string, change: DomainChange['change']): void {
    const upstreams = this.options.upstreams()?.filter(upstream => upstream.failureDomain === failureDomain).length
    const heldForMs = change === 'held' ? this.heldForMs() : undefined
    this.options.logger.info('evacuation changed', { domain: shorten(failureDomain), change, upstreams, heldForMs, evacuated: this.count })
    if (change !== 'ended') return
    this.unknownDomains.delete(failureDomain)
    this.records.delete(failureDomain)
  }

  private heldForMs (): Milliseconds {
    return Math.round((this.evacuations.nextExpiryAt() ?? 0) - this.options.clock.now())
  }

  /** Ends held evacuations even if no further record arrives. */
  private scheduleExpiry (): void {
    clearTimeout(this.timer)
    const expiryAt = this.evacuations.nextExpiryAt()
    if (expiryAt === undefined) return
    // A timer may fire slightly early by the clock; nothing has expired then, and it is set again.
    const delayMs = Math.max(Math.ceil(expiryAt - this.options.clock.now()), MIN_TIMER_MS)
    this.timer = setTimeout(() => this.apply(this.evacuations.expire(this.options.clock.now())), delayMs)
  }
}

function shorten (name: string): string {
  return name.length > MAX_SHOWN_CHARACTERS ? `${name.slice(0, MAX_SHOWN_CHARACTERS)}...` : name
}
