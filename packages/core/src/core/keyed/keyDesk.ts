import type { Milliseconds } from '../../types/clock.js'
import type { HandoverPayload, KeyedCall, KeyedEnd, KeyedResult } from '../../types/keyedCall.js'
import type { ResultCodeName } from '../../types/resultCode.js'
import { partitionOf } from '../../utils/hash.js'
import type { KeyEntry } from './claimTable.js'
import type { Claimer } from './claimer.js'
import { opensAt, type KeyedContext, type OwnedPartition } from './keyedContext.js'
import type { PartitionHandover } from './partitionHandover.js'

const UNKNOWN: KeyedResult = { kind: 'outcomeUnknown', code: 'keyOutcomeUnknown' }

/** Answers calls by key: runs a key that never ran, and tells repeats what became of the first call. */
export class KeyDesk {
  /** Keys that are being claimed or run. */
  private readonly active = new Set<KeyEntry>()
  private readonly attempts = new Map<number, KeyEntry>()
  private nextAttemptId = 1
  /** No deadline passes before. */
  private nextDeadlineAt: Milliseconds = Infinity

  private constructor (
    private readonly context: KeyedContext,
    private readonly claimer: Claimer,
    private readonly handover: PartitionHandover
  ) {}

  static create (context: KeyedContext, claimer: Claimer, handover: PartitionHandover): KeyDesk {
    return new KeyDesk(context, claimer, handover)
  }

  nextTimerAt (): Milliseconds {
    return this.nextDeadlineAt
  }

  receive (call: KeyedCall): void {
    const owned = this.context.owned.get(partitionOf(call.key, this.context.timing.partitionCount))
    const known = this.context.table.get(call.key)
    if (owned === undefined) this.answerNotOwner(call)
    else if (known !== undefined) this.answerKnown(call, known)
    else if (owned.handover !== undefined) this.hold(call, owned)
    else this.receiveNew(call, owned)
  }

  /** Takes held calls up again after a handover was decided. */
  receiveHeld (partition: number): void {
    for (const call of this.handover.release(partition)) this.receive(call)
  }

  /** Runs a key whose claim is recorded. */
  run (entry: KeyEntry): void {
    const first = entry.waiters[0]
    if (first === undefined || this.context.clock.now() >= entry.deadlineAt) {
      this.giveUp(entry, 'deadlinePassed')
      return
    }
    entry.state = 'running'
    entry.attemptId = this.nextAttemptId++
    this.attempts.set(entry.attemptId, entry)
    this.context.port.startAttempt({ attemptId: entry.attemptId, key: entry.key, callId: first.id, deadlineAt: entry.deadlineAt })
  }

  onAttemptEnd (attemptId: number, end: KeyedEnd): void {
    const entry = this.attempts.get(attemptId)
    if (entry === undefined) return
    this.attempts.delete(attemptId)
    this.active.delete(entry)
    const now = this.context.clock.now()
    if (end.kind === 'response') this.context.table.complete(entry, end.response, now)
    else if (end.kind === 'outcomeUnknown') this.context.table.markUnknown(entry, now)
    else if (!this.releaseKey(entry, end.code)) return
    const result: KeyedResult = end.kind === 'notRun' ? { ...end, at: now } : end
    for (const call of entry.waiters.splice(0)) this.context.port.answer(call.id, result)
  }

  /** Loads the table of a leaving owner. */
  load (owned: OwnedPartition, payload: HandoverPayload): void {
    const now = this.context.clock.now()
    owned.readyAt = payload.servesArrivalsFrom
    owned.unseenUntil = Math.max(owned.unseenUntil, payload.unseenUntil)
    for (const { member, until } of payload.unanswered) owned.unanswered.set(member, until ?? 0)
    const loaded = payload.keys.map(handed => this.context.table.addHanded(handed, owned.partition))
    const noted = payload.refusals.map(refusal => this.context.table.noteRefusal(refusal))
    if ([...loaded, ...noted].every(Boolean)) return
    // A full table cannot tell a key that ran from one that did not.
    owned.unseenUntil = Math.max(owned.unseenUntil, now + this.context.timing.keyRetentionMs)
  }

  /** Stops claiming for a partition that has another owner; keys that run go on. */
  dismiss (partition: number): void {
    for (const entry of this.active) {
      if (entry.partition !== partition || entry.state !== 'claiming') continue
      this.drop(entry)
      for (const call of entry.waiters.splice(0)) this.answerNotOwner(call)
    }
    for (const call of this.handover.release(partition)) this.answerNotOwner(call)
  }

  /** Answers calls whose deadline has passed. */
  tick (): void {
    const now = this.context.clock.now()
    if (now < this.nextDeadlineAt) return
    for (const call of this.handover.takeExpired(now)) this.context.port.answer(call.id, UNKNOWN)
    this.nextDeadlineAt = Infinity
    for (const entry of this.active) this.checkDeadlines(entry, now)
    for (const call of this.handover.all()) this.nextDeadlineAt = Math.min(this.nextDeadlineAt, call.deadlineAt)
  }

  private receiveNew (call: KeyedCall, owned: OwnedPartition): void {
    const { clock, table, timing } = this.context
    const now = clock.now()
    const refusal = table.refusalOf(call.key)
    const opens = opensAt(owned)
    // A call that arrived before the partition opened may have been overtaken by a repeat that the earlier owner refused.
    if (now < opens || call.arrivedAt < opens) this.context.port.answer(call.id, UNKNOWN)
    else if (now >= call.deadlineAt) this.refuse(call, owned, 'deadlinePassed')
    // The caller was told since that the key did not run.
    else if (refusal !== undefined && call.arrivedAt <= refusal.at + timing.clockSkewMs) this.refuse(call, owned, refusal.code)
    else if (table.isFull) this.refuse(call, owned, 'keyTableFull')
    else this.claim(call, owned, now)
  }

  private claim (call: KeyedCall, owned: OwnedPartition, now: Milliseconds): void {
    const deadlineAt = Math.min(call.deadlineAt, now + this.context.timing.maxDeadlineMs)
    const entry = this.context.table.add(call, owned.partition, deadlineAt)
    this.active.add(entry)
    this.nextDeadlineAt = Math.min(this.nextDeadlineAt, deadlineAt)
    this.claimer.add(entry)
  }

  private answerKnown (call: KeyedCall, entry: KeyEntry): void {
    const { port, table } = this.context
    if (entry.fingerprint !== call.fingerprint) port.answer(call.id, { kind: 'outcomeUnknown', code: 'keyReused' })
    else if (entry.state === 'unknown') port.answer(call.id, UNKNOWN)
    else if (entry.state === 'done') port.answer(call.id, toResult(entry))
    else if (table.join(entry, call)) this.nextDeadlineAt = Math.min(this.nextDeadlineAt, call.deadlineAt)
    else port.answer(call.id, UNKNOWN)
  }

  private hold (call: KeyedCall, owned: OwnedPartition): void {
    this.handover.hold(call, owned.partition)
    this.nextDeadlineAt = Math.min(this.nextDeadlineAt, call.deadlineAt)
  }

  private answerNotOwner (call: KeyedCall): void {
    const entry = this.context.ownership.entryOf(partitionOf(call.key, this.context.timing.partitionCount))
    const other = entry?.owner === this.context.self ? undefined : entry
    this.context.port.answer(call.id, { kind: 'notOwner', entry: other })
  }

  private checkDeadlines (entry: KeyEntry, now: Milliseconds): void {
    if (entry.state === 'claiming' && now >= entry.deadlineAt) {
      this.giveUp(entry, 'claimUnavailable')
      return
    }
    const late = entry.waiters.filter(call => call.deadlineAt <= now)
    for (const call of late) {
      entry.waiters.splice(entry.waiters.indexOf(call), 1)
      this.context.port.answer(call.id, { kind: 'outcomeUnknown', code: 'deadlineExceeded' })
    }
    if (entry.state === 'claiming') this.nextDeadlineAt = Math.min(this.nextDeadlineAt, entry.deadlineAt)
    for (const call of entry.waiters) this.nextDeadlineAt = Math.min(this.nextDeadlineAt, call.deadlineAt)
  }

  /** Gives up a key that was not started. */
  private giveUp (entry: KeyEntry, code: ResultCodeName): void {
    this.drop(entry)
    const owned = this.context.owned.get(entry.partition)
    for (const call of entry.waiters.splice(0)) {
      if (owned === undefined) this.answerNotOwner(call)
      else this.refuse(call, owned, code)
    }
  }

  private drop (entry: KeyEntry): void {
    this.claimer.withdraw(entry)
    this.active.delete(entry)
    this.context.table.remove(entry)
  }

  /** After an attempt that no upstream ran. The claim keeps other VMs from running the key, so no proof is needed. */
  private releaseKey (entry: KeyEntry, code: ResultCodeName): boolean {
    const now = this.context.clock.now()
    if (this.context.table.noteRefusal({ key: entry.key, at: now, code })) {
      this.context.table.remove(entry)
      return true
    }
    this.context.table.markUnknown(entry, now)
    for (const call of entry.waiters.splice(0)) this.context.port.answer(call.id, UNKNOWN)
    return false
  }

  /**
   * Answers "not run" where this VM is sure: it owned the partition a moment ago, and a newer owner runs nothing
   * that soon. Otherwise another owner may have run the key.
   */
  private refuse (call: KeyedCall, owned: OwnedPartition, code: ResultCodeName): void {
    const { clock, timing, table, port } = this.context
    const now = clock.now()
    const sure = owned.handover === undefined && now - owned.proofAt <= timing.proofMs
    const noted = sure && table.noteRefusal({ key: call.key, at: now, code })
    port.answer(call.id, noted ? { kind: 'notRun', code, at: now } : UNKNOWN)
  }
}

function toResult (entry: KeyEntry): KeyedResult {
  if (entry.response === undefined) return { kind: 'alreadyRan', status: entry.status }
  return { kind: 'response', response: entry.response }
}
