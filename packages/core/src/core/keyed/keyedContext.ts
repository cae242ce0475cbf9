import type { Clock, Milliseconds } from '../../types/clock.js'
import type { KeyedCallSettings } from '../../types/configDocument.js'
import type { KeyedPort } from '../../types/keyedCall.js'
import type { WitnessEntry } from '../../types/keyedRecords.js'
import type { KeyedTiming } from '../../types/keyedTiming.js'
import type { Member } from '../../types/member.js'
import type { ClaimLog } from './claimLog.js'
import type { ClaimTable } from './claimTable.js'
import type { ListEvidence } from '../membership/listEvidence.js'
import type { Ownership } from './ownership.js'
import type { WitnessTable } from './witnessTable.js'

/** A partition that this VM owns, as far as it has read. */
export interface OwnedPartition {
  readonly partition: number
  epoch: number
  /** Whether the fence of this ownership has still to be read back. */
  fencePending: boolean
  /** Members that have not yet given their claims of earlier epochs, and until when these matter. */
  readonly unanswered: Map<Member, Milliseconds>
  /** Keys not seen may be run from then on, once everything else is settled. */
  readyAt: Milliseconds
  /** Keys not seen before may have run until then, because a holder of claims or some records are lost. */
  unseenUntil: Milliseconds
  /** Latest instant as of which no newer owner existed. */
  proofAt: Milliseconds
  /** Set while the partition is being handed over. */
  handover: HandoverProgress | undefined
  /** Number of the last hold record that this VM wrote. */
  holdNumber: number
  /** Witnesses that this VM no longer uses, because it wrote a hold record without them. */
  readonly dropped: Set<Member>
}

/** Progress of a handover by the leaving owner. */
export interface HandoverProgress {
  readonly to: Member
  readonly startedAt: Milliseconds
  repeatAt: Milliseconds
}

/** Parts of keyed calls that work on the same state. */
export interface KeyedContext {
  readonly self: Member
  readonly clock: Clock
  readonly timing: KeyedTiming
  readonly port: KeyedPort
  readonly ownership: Ownership
  readonly evidence: ListEvidence
  readonly claimLog: ClaimLog
  readonly table: ClaimTable
  readonly witnessTable: WitnessTable
  readonly owned: Map<number, OwnedPartition>
  settings: KeyedCallSettings
  /** Other members that answer this VM. */
  peers: readonly Member[]
  /** Time of the last gap in the stream `claims`. */
  claimsGapAt: Milliseconds
  leaving: boolean
}

/** Whether this VM must not rely on its own view of ownership. */
export function isInDoubt (context: KeyedContext): boolean {
  return context.evidence.isInDoubt() || !context.ownership.isComplete
}

/** Whether the stream `claims` shows every fence: since a gap, all ownership records have been read. */
export function isClaimLogSound (context: KeyedContext): boolean {
  return context.ownership.isComplete && context.evidence.tailOf('ownership') > context.claimsGapAt
}

/** From when on keys that were not seen may run; Infinity while a holder of claims is still to be heard. */
export function opensAt (owned: OwnedPartition): Milliseconds {
  if (owned.fencePending) return Infinity
  return Math.max(owned.readyAt, owned.unseenUntil, ...owned.unanswered.values())
}

/** Members that may witness claims of this ownership: recorded with it, read back, and not given up since. */
export function usableWitnesses (context: KeyedContext, owned: OwnedPartition): Member[] {
  const entry = context.ownership.entryOf(owned.partition)
  if (entry?.epoch !== owned.epoch) return []
  return entry.witnesses.filter(isOpen).map(({ member }) => member).filter(member => !owned.dropped.has(member))
}

/** Whether a member may hold claims of the current epoch. */
export function isOpen (witness: WitnessEntry): boolean {
  return witness.until === undefined
}
