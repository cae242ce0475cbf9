import type { Milliseconds } from '../../types/clock.js'
import type { WitnessAnswer } from '../../types/keyedCall.js'
import { KEYED_RECORD_VERSION, type Claim, type ClaimsRecord, type PartitionEpoch } from '../../types/keyedRecords.js'
import type { Member } from '../../types/member.js'
import type { KeyEntry } from './claimTable.js'
import { isClaimLogSound, isInDoubt, usableWitnesses, type KeyedContext, type OwnedPartition } from './keyedContext.js'

/** Claims that are appended again in one record once the log is back. */
const MAX_BACKFILL = 200

/** Keys whose claims share a record. */
interface Batch {
  readonly id: number
  readonly at: Milliseconds
  readonly entries: Set<KeyEntry>
  readonly tried: Set<Member>
  nextWitnessAt: Milliseconds
}

interface PendingRequest {
  readonly batch: Batch | undefined
  readonly to: Member
  readonly sentAt: Milliseconds
  readonly epochs: ReadonlyMap<number, number>
}

/** What becomes of claims. */
export interface ClaimerEvents {
  onClaimed (entry: KeyEntry): void
  onFenced (partitions: readonly PartitionEpoch[]): void
}

/**
 * Records the claims of an owner. A claim counts once it is read back from the log with no newer fence before
 * it, or once a witness has taken it. The append's own response is not used: it may be lost, and it does not
 * show fences.
 */
export class Claimer {
  private window: Set<KeyEntry> = new Set()
  private flushAt: Milliseconds = Infinity
  private readonly batches = new Map<number, Batch>()
  private readonly requests = new Map<number, PendingRequest>()
  /** Keys that only a witness holds. */
  private readonly unlogged = new Set<KeyEntry>()
  private nextId = 1
  private logTimedOutAt: Milliseconds = -Infinity
  private logConfirmedAt: Milliseconds = -Infinity

  private constructor (private readonly context: KeyedContext, private readonly events: ClaimerEvents) {}

  static create (context: KeyedContext, events: ClaimerEvents): Claimer {
    return new Claimer(context, events)
  }

  /** Puts a key into the current window. */
  add (entry: KeyEntry): void {
    this.window.add(entry)
    this.flushAt = Math.min(this.flushAt, this.context.clock.now() + this.context.settings.claimWindowMs)
  }

  /** Gives a claim up; it will not be reported as claimed. */
  withdraw (entry: KeyEntry): void {
    this.window.delete(entry)
    this.batches.get(entry.batch)?.entries.delete(entry)
  }

  /** Whether some key of a partition is known to a witness only. */
  hasUnlogged (partition: number): boolean {
    for (const entry of this.unlogged) {
      if (entry.partition === partition) return true
    }
    return false
  }

  nextTimerAt (): Milliseconds {
    let next = this.flushAt
    for (const batch of this.batches.values()) next = Math.min(next, batch.nextWitnessAt)
    return next
  }

  tick (): void {
    const now = this.context.clock.now()
    if (now >= this.flushAt) this.flush(now)
    for (const batch of this.batches.values()) {
      if (batch.entries.size === 0) this.batches.delete(batch.id)
      else if (now >= batch.nextWitnessAt) this.askWitness(batch, now)
    }
  }

  /** Periodic work: claims that only a witness holds go into the log, and requests without answer are forgotten. */
  tickPeriodic (): void {
    const now = this.context.clock.now()
    for (const [id, request] of this.requests) {
      if (request.sentAt + this.context.timing.maxDeadlineMs < now) this.requests.delete(id)
    }
    if (this.context.evidence.isLogHealthy(2 * this.context.timing.repeatMs)) this.backfill(now)
    else this.renewProofs(now)
  }

  /** Reads back a record of this VM. */
  onLogged (record: ClaimsRecord, valid: readonly Claim[]): void {
    this.logConfirmedAt = this.context.clock.now()
    if (!isClaimLogSound(this.context)) return
    for (const { key, epoch } of valid) {
      const entry = this.context.table.get(key)
      if (entry === undefined || entry.batch !== record.batch) continue
      if (this.context.owned.get(entry.partition)?.epoch !== epoch) continue
      entry.inLog = true
      this.unlogged.delete(entry)
      this.confirm(entry)
    }
  }

  /** Takes a witness's answer; undefined where it refused or cannot be reached. */
  onWitnessAnswer (requestId: number, answer: WitnessAnswer | undefined): void {
    const request = this.requests.get(requestId)
    if (request === undefined) return
    this.requests.delete(requestId)
    if (answer === undefined) {
      if (request.batch !== undefined) request.batch.nextWitnessAt = Math.min(request.batch.nextWitnessAt, this.context.clock.now())
      return
    }
    for (const partition of answer.granted) this.applyGrant(request, partition)
    this.events.onFenced(answer.fenced)
  }

  private applyGrant (request: PendingRequest, partition: number): void {
    const owned = this.context.owned.get(partition)
    if (owned === undefined || request.epochs.get(partition) !== owned.epoch) return
    if (!usableWitnesses(this.context, owned).includes(request.to)) return
    owned.proofAt = Math.max(owned.proofAt, request.sentAt)
    for (const entry of request.batch?.entries ?? []) {
      if (entry.partition !== partition || entry.state !== 'claiming') continue
      this.unlogged.add(entry)
      this.confirm(entry)
    }
  }

  private confirm (entry: KeyEntry): void {
    this.batches.get(entry.batch)?.entries.delete(entry)
    if (entry.state === 'claiming') this.events.onClaimed(entry)
  }

  private flush (now: Milliseconds): void {
    const entries = this.window
    this.window = new Set()
    this.flushAt = Infinity
    if (entries.size === 0) return
    const logSuspect = this.logTimedOutAt > this.logConfirmedAt
    const batch: Batch = {
      id: this.nextId++,
      at: now,
      entries,
      tried: new Set(),
      nextWitnessAt: now + (logSuspect ? 0 : this.context.settings.claimLogTimeoutMs)
    }
    this.batches.set(batch.id, batch)
    this.append(batch.id, entries, now)
  }

  private append (batchId: number, entries: Iterable<KeyEntry>, now: Milliseconds): void {
    const claims: Claim[] = []
    for (const entry of entries) {
      entry.batch = batchId
      const owned = this.context.owned.get(entry.partition)
      if (owned !== undefined) claims.push(toClaim(entry, owned))
    }
    const record: ClaimsRecord = { type: 'claims', version: KEYED_RECORD_VERSION, at: now, owner: this.context.self, batch: batchId, claims }
    this.context.port.append('claims', JSON.stringify(record))
  }

  /** Offers the open claims of a batch to a member that has not been asked yet in this round. */
  private askWitness (batch: Batch, now: Milliseconds): void {
    if (now >= batch.at + this.context.settings.claimLogTimeoutMs) this.logTimedOutAt = now
    batch.nextWitnessAt = now + this.context.timing.witnessTimeoutMs
    if (isInDoubt(this.context)) return
    const shares = this.groupByWitness([...batch.entries])
    if ([...shares.keys()].every(member => batch.tried.has(member))) batch.tried.clear()
    const choice = this.chooseWitness(shares, batch.tried)
    if (choice === undefined) return
    batch.tried.add(choice)
    const entries = shares.get(choice) ?? []
    this.send(batch, choice, entries.map(entry => this.context.owned.get(entry.partition)).filter(owned => owned !== undefined), entries, now)
  }

  private groupByWitness (entries: readonly KeyEntry[]): Map<Member, KeyEntry[]> {
    const shares = new Map<Member, KeyEntry[]>()
    for (const entry of entries) {
      const owned = this.context.owned.get(entry.partition)
      if (owned === undefined) continue
      for (const member of usableWitnesses(this.context, owned)) {
        const share = shares.get(member)
        if (share === undefined) shares.set(member, [entry])
        else share.push(entry)
      }
    }
    return shares
  }

  /** Members that answer come first, then those that can take most of the claims. */
  private chooseWitness (shares: ReadonlyMap<Member, readonly KeyEntry[]>, tried: ReadonlySet<Member>): Member | undefined {
    const { peers } = this.context
    const rank = (member: Member) => (peers.includes(member) ? 1_000_000 : 0) + (shares.get(member)?.length ?? 0)
    return [...shares.keys()].filter(member => !tried.has(member)).sort((a, b) => rank(b) - rank(a))[0]
  }

  private send (batch: Batch | undefined, to: Member, owned: readonly OwnedPartition[], entries: readonly KeyEntry[], now: Milliseconds): void {
    const id = this.nextId++
    const epochs = new Map(owned.map(({ partition, epoch }) => [partition, epoch]))
    this.requests.set(id, { batch, to, sentAt: now, epochs })
    this.context.port.requestWitness({
      id,
      from: this.context.self,
      to,
      at: batch?.at ?? now,
      claims: entries.map(entry => toClaim(entry, { epoch: epochs.get(entry.partition) ?? 0 })),
      partitions: [...epochs].map(([partition, epoch]) => ({ partition, epoch }))
    })
  }

  private backfill (now: Milliseconds): void {
    const entries: KeyEntry[] = []
    for (const entry of this.unlogged) {
      if (this.context.table.get(entry.key) !== entry || !this.context.owned.has(entry.partition)) this.unlogged.delete(entry)
      else if (entries.length < MAX_BACKFILL) entries.push(entry)
    }
    if (entries.length > 0) this.append(this.nextId++, entries, now)
  }

  /** With the log down, asks witnesses whether this VM still owns its partitions, so that it can answer "not run". */
  private renewProofs (now: Milliseconds): void {
    if (isInDoubt(this.context)) return
    const shares = new Map<Member, OwnedPartition[]>()
    for (const owned of this.context.owned.values()) {
      if (now - owned.proofAt < this.context.timing.repeatMs) continue
      const member = usableWitnesses(this.context, owned).find(candidate => this.context.peers.includes(candidate))
      if (member !== undefined) shares.set(member, [...shares.get(member) ?? [], owned])
    }
    for (const [member, owned] of shares) this.send(undefined, member, owned, [], now)
  }
}

function toClaim (entry: KeyEntry, owned: { readonly epoch: number }): Claim {
  return { key: entry.key, partition: entry.partition, epoch: owned.epoch, fingerprint: entry.fingerprint }
}
