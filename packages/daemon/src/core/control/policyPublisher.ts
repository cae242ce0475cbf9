import { evaluateChange, type ChangeOutcome, type PolicyChange, type PolicyRecord } from '@cowsliplead/core/core/configuration/policyRecord.js'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import { Result } from 'true-myth/result'
import type { ControlStore, StoreFailure, StoreResult, TableRecord } from '../../types/controlStore.js'
import { sleep } from '../../utils/sleep.js'
import { decodePolicyRecord, encodePolicyRecord, POLICY_KEY } from './policyRecordCodec.js'
import { readSnapshot } from './tableSnapshot.js'

const RETRY_MS: Milliseconds = 100

/** Outcome of publishing a change. `unconfirmed`: the change may have been applied, or may still be. */
export type PublishResult =
  | ChangeOutcome
  | { readonly kind: 'unconfirmed' }
  | { readonly kind: 'unavailable', readonly failure: StoreFailure }

/** The newest policy record, and the table offset at which its successor has to be written. */
export interface NewestPolicy {
  readonly record: PolicyRecord | undefined
  readonly end: number
}

/** Options of the publisher. */
export interface PolicyPublisherOptions {
  readonly store: ControlStore
  readonly clock: Clock
  /** Time limit for publishing a change, retries included. */
  readonly timeoutMs: Milliseconds
}

/**
 * Publishes changes of the policy document. A change is written only if the table has not changed since the change was
 * checked: if two operators edit the same revision, one gets a conflict, and a retried change is never applied twice.
 */
export class PolicyPublisher {
  private constructor (private readonly options: PolicyPublisherOptions) {}

  static create (options: PolicyPublisherOptions): PolicyPublisher {
    return new PolicyPublisher(options)
  }

  /** Reads the newest policy record and the offset of the table's next change. */
  async readNewest (): Promise<StoreResult<NewestPolicy>> {
    const { store } = this.options
    const snapshot = await readSnapshot(store, 'fleet')
    if (snapshot.isErr) return Result.err(snapshot.error)
    const changes = await store.readChanges('fleet', snapshot.value.position.offset, 0)
    if (changes.isErr) return Result.err(changes.error)
    const record = [...snapshot.value.records, ...changes.value.records].findLast(({ key }) => key === POLICY_KEY)
    return decodeNewest(record, changes.value.end)
  }

  /** Publishes a change, with retries; resolves once its outcome is known or the time limit has passed. */
  async publish (change: PolicyChange): Promise<PublishResult> {
    const { clock, timeoutMs } = this.options
    const deadline = clock.now() + timeoutMs
    let mayBeApplied = false
    let failure: StoreFailure = 'unanswered'
    while (clock.now() < deadline) {
      const outcome = await this.tryOnce(change)
      if (outcome.isOk) return outcome.value
      mayBeApplied ||= outcome.error.isWrite && isUncertain(outcome.error.failure)
      failure = outcome.error.failure
      if (failure !== 'conflict') await sleep(RETRY_MS)
    }
    return mayBeApplied ? { kind: 'unconfirmed' } : { kind: 'unavailable', failure }
  }

  /** Writes a record again that the store has lost, with retries; `present` if the store has it or a newer one. */
  async restore (record: PolicyRecord): Promise<StoreResult<'written' | 'present'>> {
    const { store, clock, timeoutMs } = this.options
    const deadline = clock.now() + timeoutMs
    let failure: StoreFailure = 'unanswered'
    while (clock.now() < deadline) {
      const newest = await this.readNewest()
      if (newest.isOk && (newest.value.record?.revision ?? 0) >= record.revision) return Result.ok('present')
      const records = [{ key: POLICY_KEY, value: encodePolicyRecord(record) }]
      const written = await newest.match({
        Ok: ({ end }) => store.put('fleet', records, end),
        Err: async error => Result.err<void, StoreFailure>(error)
      })
      if (written.isOk) return Result.ok('written')
      failure = written.error
      await sleep(RETRY_MS)
    }
    return Result.err(failure)
  }

  private async tryOnce (change: PolicyChange): Promise<Result<ChangeOutcome, { readonly isWrite: boolean, readonly failure: StoreFailure }>> {
    const newest = await this.readNewest()
    if (newest.isErr) return Result.err({ isWrite: false, failure: newest.error })
    const step = evaluateChange(newest.value.record, change)
    if (step.kind !== 'replace') return Result.ok(step)
    const value = encodePolicyRecord(step.record)
    const written = await this.options.store.put('fleet', [{ key: POLICY_KEY, value }], newest.value.end)
    if (written.isErr) return Result.err({ isWrite: true, failure: written.error })
    return Result.ok({ kind: 'applied', revision: step.record.revision })
  }
}

/** Whether a write that failed may have been applied. */
function isUncertain (failure: StoreFailure): boolean {
  return failure === 'unanswered' || failure === 'tooLarge'
}

function decodeNewest (record: TableRecord | undefined, end: number): StoreResult<NewestPolicy> {
  if (record?.value === undefined) return Result.ok({ record: undefined, end })
  const decoded = decodePolicyRecord(record.value)
  // Overwriting an unreadable record would decrease the revision.
  return decoded === undefined ? Result.err('invalid') : Result.ok({ record: decoded, end })
}
