import type { Milliseconds } from '../../types/clock.js'
import type { KeyedCallSettings } from '../../types/configDocument.js'
import type { HandedKey, KeyedCall, KeyedResponse, Refusal } from '../../types/keyedCall.js'
import type { KeyedTiming } from '../../types/keyedTiming.js'
import { partitionOf } from '../../utils/hash.js'

/** Calls that wait for one key; more are answered "outcome unknown" at once. */
const MAX_WAITERS = 64

/** What is known of a key. */
export type KeyState = 'claiming' | 'running' | 'done' | 'unknown'

/** One key. */
export interface KeyEntry {
  readonly key: string
  readonly partition: number
  readonly fingerprint: string
  state: KeyState
  /** Calls to be answered once the outcome is known. */
  readonly waiters: KeyedCall[]
  /** Absolute deadline of the attempt. */
  readonly deadlineAt: Milliseconds
  expiresAt: Milliseconds
  /** Batch of its newest claim. */
  batch: number
  /** Whether the claim was read back from the log; otherwise only a witness holds it. */
  inLog: boolean
  attemptId: number | undefined
  status: number
  response: KeyedResponse | undefined
}

/** Bounds of the table. */
export type ClaimTableLimits = Pick<KeyedCallSettings, 'maxKeys' | 'maxStoredResponseBytes' | 'maxStoredTotalBytes'>

/**
 * The keys that this VM knows as owner. A key whose outcome matters is never dropped before its time: a full
 * table refuses new keys.
 */
export class ClaimTable {
  /** Keys without an active call are ordered by expiry. */
  private readonly entries = new Map<string, KeyEntry>()
  /** Keys lately answered "not run"; oldest first. */
  private readonly refusals = new Map<string, Refusal>()
  private storedBytes = 0

  private constructor (private readonly timing: KeyedTiming, private limits: ClaimTableLimits) {}

  static create (timing: KeyedTiming, limits: ClaimTableLimits): ClaimTable {
    return new ClaimTable(timing, limits)
  }

  get size (): number {
    return this.entries.size
  }

  get isFull (): boolean {
    return this.entries.size >= this.limits.maxKeys
  }

  setLimits (limits: ClaimTableLimits): void {
    this.limits = limits
  }

  get (key: string): KeyEntry | undefined {
    return this.entries.get(key)
  }

  /** Adds a key that is about to be claimed. */
  add (call: KeyedCall, partition: number, deadlineAt: Milliseconds): KeyEntry {
    const entry = createEntry(call.key, partition, call.fingerprint, deadlineAt)
    entry.waiters.push(call)
    this.entries.set(call.key, entry)
    this.refusals.delete(call.key)
    return entry
  }

  /** Adds a call to those that wait; false where too many do. */
  join (entry: KeyEntry, call: KeyedCall): boolean {
    if (entry.waiters.length >= MAX_WAITERS) return false
    entry.waiters.push(call)
    return true
  }

  /** Adds a key that someone else claimed; false where the table is full. */
  addUnknown (key: string, partition: number, fingerprint: string, expiresAt: Milliseconds): boolean {
    if (this.entries.has(key)) return true
    if (this.isFull) return false
    const entry = createEntry(key, partition, fingerprint, 0)
    entry.state = 'unknown'
    entry.expiresAt = expiresAt
    entry.inLog = true
    this.entries.set(key, entry)
    return true
  }

  /** Adds a key that a leaving owner handed over; false where the table is full. */
  addHanded (handed: HandedKey, partition: number): boolean {
    const known = this.entries.get(handed.key)
    if (known === undefined && this.isFull) return false
    if (known !== undefined && known.state !== 'unknown') return true
    if (known !== undefined) this.remove(known)
    this.addUnknown(handed.key, partition, handed.fingerprint, handed.expiresAt)
    const entry = this.entries.get(handed.key)
    if (entry !== undefined && handed.outcome.kind === 'done') this.store(entry, handed.outcome.status, handed.outcome.response)
    return true
  }

  /** Records the outcome of a key and keeps the response where it fits. */
  complete (entry: KeyEntry, response: KeyedResponse, now: Milliseconds): void {
    this.store(entry, response.status, response)
    this.keep(entry, now)
  }

  /** Records that the outcome of a key will not be known. */
  markUnknown (entry: KeyEntry, now: Milliseconds): void {
    entry.state = 'unknown'
    this.keep(entry, now)
  }

  remove (entry: KeyEntry): void {
    this.entries.delete(entry.key)
    if (entry.response !== undefined) this.storedBytes -= sizeOf(entry.response)
  }

  /** Notes that calls with a key were answered "not run"; false where that cannot be remembered. */
  noteRefusal (refusal: Refusal): boolean {
    if (this.refusals.size >= this.limits.maxKeys) return false
    this.refusals.delete(refusal.key)
    this.refusals.set(refusal.key, refusal)
    return true
  }

  /** The last refusal of a key, as far as earlier calls with it may still arrive. */
  refusalOf (key: string): Refusal | undefined {
    return this.refusals.get(key)
  }

  /** Drops what is past its time. */
  sweep (now: Milliseconds): void {
    for (const [key, { at }] of this.refusals) {
      if (at + this.refusalMs > now) break
      this.refusals.delete(key)
    }
    for (const entry of this.entries.values()) {
      if (entry.state === 'claiming' || entry.state === 'running') continue
      if (entry.expiresAt > now) break
      this.remove(entry)
    }
  }

  /** Keys of a partition. */
  * ofPartition (partition: number): Generator<KeyEntry> {
    for (const entry of this.entries.values()) {
      if (entry.partition === partition) yield entry
    }
  }

  /** Refusals of the keys of a partition. */
  refusalsOf (partition: number): Refusal[] {
    return [...this.refusals.values()].filter(({ key }) => partitionOf(key, this.timing.partitionCount) === partition)
  }

  /** A call may arrive late by as much as its deadline allows. */
  private get refusalMs (): Milliseconds {
    return this.timing.maxDeadlineMs + this.timing.clockSkewMs
  }

  private store (entry: KeyEntry, status: number, response: KeyedResponse | undefined): void {
    entry.state = 'done'
    entry.status = status
    if (response === undefined) return
    const size = sizeOf(response)
    if (size > this.limits.maxStoredResponseBytes || this.storedBytes + size > this.limits.maxStoredTotalBytes) return
    entry.response = response
    this.storedBytes += size
  }

  /** Keeps the key for the retention and moves it behind those that expire earlier. */
  private keep (entry: KeyEntry, now: Milliseconds): void {
    entry.expiresAt = now + this.timing.keyRetentionMs
    this.entries.delete(entry.key)
    this.entries.set(entry.key, entry)
  }
}

function createEntry (key: string, partition: number, fingerprint: string, deadlineAt: Milliseconds): KeyEntry {
  return {
    key, partition, fingerprint, deadlineAt,
    state: 'claiming', waiters: [], expiresAt: Infinity, batch: 0, inLog: false, attemptId: undefined, status: 0, response: undefined
  }
}

function sizeOf (response: KeyedResponse): number {
  let size = response.body.byteLength
  for (const [name, value] of Object.entries(response.headers)) size += name.length + value.length
  return size
}
