import { judgeChange, type ChangeVerdict, type PolicyChange, type PolicyRecord } from '@cowsliplead/core/core/configuration/policyRecord.js'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import { Result } from 'true-myth/result'
import type { ControlStore, StoreFailure, StoreResult, TableRecord } from '../../types/controlStore.js'
import { sleep } from '../../utils/sleep.js'
import { decodePolicyRecord, encodePolicyRecord, POLICY_KEY } from './policyState.js'
import { readSnapshot } from './tableSnapshot.js'

const RETRY_MS: Milliseconds = 100

/** What a publication came to. `unconfirmed`: the change may have been or may yet be applied. */
export type PublishResult =
  | ChangeVerdict
  | { readonly kind: 'unconfirmed' }
  | { readonly kind: 'unavailable', readonly failure: StoreFailure }

/** The newest policy record with the offset at which a change of it has to be written. */
export interface NewestPolicy {
  readonly record: PolicyRecord | undefined
  readonly end: number
}

/** What publishing needs. */
export interface PolicyPublisherOptions {
  readonly store: ControlStore
  readonly clock: Clock
  /** Longest time to try. */
  readonly timeoutMs: Milliseconds
}

/**
 * Publishes changes of the policy document. A change is written only where the table has not changed since it was
 * judged, so that of two operators on the same revision one loses, and a repeat of a change is never applied twice.
 */
export class PolicyPublisher {
  private constructor (private readonly options: PolicyPublisherOptions) {}

  static create (options: PolicyPublisherOptions): PolicyPublisher {
    return new PolicyPublisher(options)
  }

  /** The newest record, and the offset of the next change of its table. */
  async newest (): Promise<StoreResult<NewestPolicy>> {
    const { store } = this.options
    const snapshot = await readSnapshot(store, 'fleet')
    if (snapshot.isErr) return Result.err(snapshot.error)
    const changes = await store.changes('fleet', snapshot.value.end, 0)
    if (changes.isErr) return Result.err(changes.error)
    const record = [...snapshot.value.records, ...changes.value.records].findLast(({ key }) => key === POLICY_KEY)
    return decodeNewest(record, changes.value.end)
  }

  /** Publishes a change; returns once its verdict is known or the time is over. */
  async publish (change: PolicyChange): Promise<PublishResult> {
    const { clock, timeoutMs } = this.options
    const giveUpAt = clock.now() + timeoutMs
    let isUncertain = false
    let failure: StoreFailure = 'unanswered'
    while (clock.now() < giveUpAt) {
      const outcome = await this.tryOnce(change)
      if (outcome.isOk) return outcome.value
      isUncertain ||= outcome.error.isWrite && outcome.error.failure === 'unanswered'
      failure = outcome.error.failure
      if (failure !== 'conflict') await sleep(RETRY_MS)
    }
    return isUncertain ? { kind: 'unconfirmed' } : { kind: 'unavailable', failure }
  }

  private async tryOnce (change: PolicyChange): Promise<Result<ChangeVerdict, { readonly isWrite: boolean, readonly failure: StoreFailure }>> {
    const newest = await this.newest()
    if (newest.isErr) return Result.err({ isWrite: false, failure: newest.error })
    const step = judgeChange(newest.value.record, change)
    if (step.kind !== 'replace') return Result.ok(step)
    const value = encodePolicyRecord(step.record)
    const written = await this.options.store.put('fleet', [{ key: POLICY_KEY, value }], newest.value.end)
    if (written.isErr) return Result.err({ isWrite: true, failure: written.error })
    return Result.ok({ kind: 'applied', revision: step.record.revision })
  }
}

function decodeNewest (record: TableRecord | undefined, end: number): StoreResult<NewestPolicy> {
  if (record?.value === undefined) return Result.ok({ record: undefined, end })
  const decoded = decodePolicyRecord(record.value)
  // Written over, an unreadable record would take the revision back.
  return decoded === undefined ? Result.err('invalid') : Result.ok({ record: decoded, end })
}
