import type { Clock, Milliseconds } from '../../types/clock.js'
import type { KeyedCallSettings } from '../../types/configDocument.js'
import type {
  CollectAnswer, CollectRequest, HandoverPayload, KeyedCall, KeyedEnd, KeyedPort, WitnessAnswer, WitnessRequest
} from '../../types/keyedCall.js'
import type { OwnershipEntry, OwnershipTable, PartitionEpoch } from '../../types/keyedRecords.js'
import { KEYED_TIMING, type KeyedTiming } from '../../types/keyedTiming.js'
import type { LogRecord } from '../../types/logRecord.js'
import { vmIdOf, type Member, type VmListView } from '../../types/member.js'
import { partitionOf } from '../../utils/hash.js'
import { ClaimLog } from './claimLog.js'
import { ClaimTable } from './claimTable.js'
import { Claimer } from './claimer.js'
import { KeyDesk } from './keyDesk.js'
import { isClaimLogSound, isInDoubt, opensAt, type KeyedContext } from './keyedContext.js'
import { ListEvidence } from '../membership/listEvidence.js'
import { OwnedPartitions } from './ownedPartitions.js'
import { Ownership } from './ownership.js'
import { OwnershipPlan } from './ownershipPlan.js'
import { PartitionHandover } from './partitionHandover.js'
import { PartitionRecovery } from './partitionRecovery.js'
import { WitnessTable } from './witnessTable.js'

/** Interval of periodic work; well below the gap that counts as a pause. */
const PERIOD_MS = 250

/** What keyed calls are built from. */
export interface KeyedCallsOptions {
  readonly self: Member
  readonly clock: Clock
  readonly port: KeyedPort
  readonly settings: KeyedCallSettings
  /** Retention of the stream `ownership`; ownership is renewed four times within it. */
  readonly logRetentionMs: Milliseconds
  /** Replaced in tests only. */
  readonly timing?: KeyedTiming
}

/**
 * Runs calls with idempotency keys at most once across all entry VMs: the owner's side of section 3.4 of the
 * design. The host feeds it the records of the streams `ownership` and `claims` in order, both from their
 * beginning and continuously, the VM list, the peers, and the answers to its requests.
 */
export class KeyedCalls {
  private readonly claimer: Claimer
  private readonly recovery: PartitionRecovery
  private readonly plan: OwnershipPlan
  private readonly handover: PartitionHandover
  private readonly desk: KeyDesk
  private readonly partitions: OwnedPartitions
  private periodicAt: Milliseconds
  private lastActiveAt: Milliseconds

  private constructor (private readonly context: KeyedContext, logRetentionMs: Milliseconds) {
    const onFenced = (partitions: readonly PartitionEpoch[]) => this.partitions.applyFences(partitions)
    this.claimer = Claimer.create(context, { onClaimed: entry => this.desk.run(entry), onFenced })
    this.recovery = PartitionRecovery.create(context, onFenced)
    this.plan = OwnershipPlan.create(context, this.claimer, logRetentionMs / 4)
    this.handover = PartitionHandover.create(context, this.plan)
    this.desk = KeyDesk.create(context, this.claimer, this.handover)
    const { desk, handover, plan, recovery } = this
    this.partitions = OwnedPartitions.create(context, { desk, handover, plan, recovery })
    this.lastActiveAt = context.clock.now()
    this.periodicAt = this.lastActiveAt + PERIOD_MS
  }

  static create (options: KeyedCallsOptions): KeyedCalls {
    const { self, clock, port, settings } = options
    const timing = options.timing ?? KEYED_TIMING
    const ownership = Ownership.create(timing)
    const claimLog = ClaimLog.create(timing, settings.maxKeys)
    const epochOf = (partition: number) => Math.max(claimLog.fenceOf(partition), ownership.entryOf(partition)?.epoch ?? 0)
    const context: KeyedContext = {
      self, clock, timing, port, ownership, claimLog, settings,
      evidence: ListEvidence.create(self, clock, timing),
      table: ClaimTable.create(timing, settings),
      witnessTable: WitnessTable.create(self, timing, settings.maxKeys, epochOf),
      owned: new Map(),
      peers: [],
      claimsGapAt: -Infinity,
      leaving: false
    }
    context.evidence.onMember(self)
    return new KeyedCalls(context, options.logRetentionMs)
  }

  /** Ownership of the partition of a key, as far as this VM knows. */
  ownerOfKey (key: string): OwnershipEntry | undefined {
    return this.context.ownership.entryOf(partitionOf(key, this.context.timing.partitionCount))
  }

  /** Epoch of a partition that this VM owns; undefined for others. */
  ownedEpoch (partition: number): number | undefined {
    return this.context.owned.get(partition)?.epoch
  }

  /** Difference between clocks that comparisons of arrival times cover. */
  get clockSkewMs (): Milliseconds {
    return this.context.timing.clockSkewMs
  }

  /** Partitions that this VM owns. */
  get ownedCount (): number {
    return this.context.owned.size
  }

  /** Partitions in which keys not seen before can run. */
  get openCount (): number {
    const now = this.context.clock.now()
    return [...this.context.owned.values()].filter(owned => opensAt(owned) <= now).length
  }

  /** Offsets at which to read the streams on. */
  get nextOffsets (): { ownership: number, claims: number } {
    return { ownership: this.context.ownership.nextOffset, claims: this.context.claimLog.nextOffset }
  }

  /** Whether the host should ask all peers for their tables, about once a second: records are missing, or this VM is in doubt. */
  get needsPeerTables (): boolean {
    return isInDoubt(this.context)
  }

  /** Whether this VM relies on its view of ownership; false after a pause, a gap or without a recent VM list. */
  get isInDoubt (): boolean {
    return isInDoubt(this.context)
  }

  setSettings (settings: KeyedCallSettings): void {
    this.context.settings = settings
    this.context.table.setLimits(settings)
    this.context.witnessTable.setMaxClaims(settings.maxKeys)
  }

  onVmList (list: VmListView): void {
    this.noticePause()
    this.context.evidence.onVmList(list)
  }

  /** Sets the other members that answer this VM. */
  setPeers (peers: readonly Member[]): void {
    this.noticePause()
    this.context.peers = peers.filter(peer => vmIdOf(peer) !== vmIdOf(this.context.self))
    for (const peer of peers) this.context.evidence.onMember(peer)
  }

  /** Reads the next record of the stream `ownership`. */
  onOwnershipRecord (record: LogRecord): void {
    this.noticePause()
    const wasComplete = this.context.ownership.isComplete
    this.partitions.applyChanges(this.context.ownership.apply(record))
    this.noticeGap(wasComplete)
  }

  /** Notes that records of the stream `ownership` before `offset` no longer exist. */
  onOwnershipGap (offset: number): void {
    const wasComplete = this.context.ownership.isComplete
    this.context.ownership.skipTo(offset)
    this.noticeGap(wasComplete)
  }

  /** Reads the next record of the stream `claims`. */
  onClaimsRecord (record: LogRecord): void {
    this.noticePause()
    if (record.offset > this.context.claimLog.nextOffset) this.onClaimsGap(record.offset)
    const unreadable = this.context.claimLog.unreadableRecords
    const event = this.context.claimLog.apply(record)
    if (this.context.claimLog.unreadableRecords > unreadable) this.context.claimsGapAt = this.context.clock.now()
    if (event?.kind === 'fence') this.partitions.applyFences(event.record.partitions)
    if (event?.record.owner !== this.context.self) return
    if (event.kind === 'fence') this.recovery.onFenceLogged(event.record)
    else this.claimer.onLogged(event.record, event.valid)
  }

  /** Notes that records of the stream `claims` before `offset` no longer exist. */
  onClaimsGap (offset: number): void {
    if (offset <= this.context.claimLog.nextOffset) return
    this.context.claimLog.skipTo(offset)
    this.context.claimsGapAt = this.context.clock.now()
  }

  /** Notes that a read sent at `requestedAt` reached the end of a stream, after its records were passed on. */
  onTail (stream: 'ownership' | 'claims', requestedAt: Milliseconds): void {
    this.noticePause()
    this.context.evidence.onTail(stream, requestedAt)
    if (stream !== 'claims' || !isClaimLogSound(this.context)) return
    for (const owned of this.context.owned.values()) owned.proofAt = Math.max(owned.proofAt, requestedAt)
  }

  /** This VM's view of ownership, for a peer that asks. */
  ownershipTable (): OwnershipTable {
    return this.context.ownership.table()
  }

  /** Takes a peer's view; once every listed VM gave its own, what none knows counts as never owned. */
  onPeerTable (from: Member, table: unknown): void {
    this.noticePause()
    const entries = (table as OwnershipTable | undefined)?.entries
    if (!Array.isArray(entries)) return
    // What this member owns it learns from the log only: its witnesses must be those that everyone reads.
    const others = entries.filter(entry => (entry as OwnershipEntry | null)?.owner !== this.context.self)
    this.partitions.applyChanges(this.context.ownership.adoptTable({ ...table as OwnershipTable, entries: others }))
    this.context.evidence.onPeerTable(from)
    if (this.context.evidence.hasAllTables) this.context.ownership.completeFromPeers()
  }

  /** Takes a hint about a newer owner, for instance from a VM that was taken for the owner. */
  onOwnerHint (entry: OwnershipEntry): void {
    if (entry.owner === this.context.self) return
    this.partitions.applyChanges(this.context.ownership.adoptTable({ version: 1, upTo: -1, complete: false, entries: [entry] }))
  }

  /** Takes a call whose key this VM should own; answered through the port. */
  receive (call: KeyedCall): void {
    this.noticePause()
    this.desk.receive(call)
  }

  onAttemptEnd (attemptId: number, end: KeyedEnd): void {
    this.noticePause()
    this.desk.onAttemptEnd(attemptId, end)
  }

  onWitnessAnswer (requestId: number, answer: WitnessAnswer | undefined): void {
    this.noticePause()
    this.claimer.onWitnessAnswer(requestId, answer)
  }

  onCollectAnswer (requestId: number, answer: CollectAnswer | undefined): void {
    this.noticePause()
    this.recovery.onCollectAnswer(requestId, answer)
  }

  /** Answers a peer's request to witness claims; undefined for a refusal. */
  witness (request: WitnessRequest): WitnessAnswer | undefined {
    this.noticePause()
    return isInDoubt(this.context) ? undefined : this.context.witnessTable.grant(request)
  }

  /** Answers a new owner's request for witnessed claims; undefined where it is meant for another incarnation. */
  witnessedClaims (request: CollectRequest): CollectAnswer | undefined {
    this.noticePause()
    const answer = this.context.witnessTable.collect(request)
    const fenced = new Set(answer?.fenced.map(({ partition }) => partition))
    if (answer !== undefined) this.partitions.applyFences(request.partitions.filter(({ partition }) => !fenced.has(partition)))
    return answer
  }

  receiveHandover (payload: HandoverPayload): void {
    this.noticePause()
    this.handover.receive(payload)
  }

  /** Starts to hand all partitions over; done when `ownedCount` is 0. */
  leave (): void {
    this.context.leaving = true
  }

  nextTimerAt (): Milliseconds {
    return Math.min(this.periodicAt, this.claimer.nextTimerAt(), this.recovery.nextTimerAt(), this.desk.nextTimerAt())
  }

  tick (): void {
    this.noticePause()
    this.desk.tick()
    this.claimer.tick()
    this.recovery.tick()
    if (this.context.clock.now() >= this.periodicAt) this.tickPeriodic()
  }

  private tickPeriodic (): void {
    const now = this.context.clock.now()
    this.periodicAt = now + PERIOD_MS
    this.context.table.sweep(now)
    this.context.claimLog.sweep(now)
    this.context.witnessTable.sweep(now)
    this.claimer.tickPeriodic()
    this.plan.tick()
    this.partitions.movePartitions()
    this.handover.tick()
  }

  private noticeGap (wasComplete: boolean): void {
    if (wasComplete && !this.context.ownership.isComplete) this.context.evidence.raiseDoubt()
  }

  /** A process that was paused may have been replaced meanwhile. */
  private noticePause (): void {
    const now = this.context.clock.now()
    if (now - this.lastActiveAt > this.context.timing.pauseGapMs) this.context.evidence.raiseDoubt()
    this.lastActiveAt = now
  }
}
