import type { PolicyRecord } from '@cowsliplead/core/core/configuration/policyRecord.js'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { RandomSource } from '@cowsliplead/core/types/randomSource.js'
import type { Logger } from '../operators/logger.js'
import type { PolicyPublisher } from './policyPublisher.js'

/** VMs that notice the loss wait a random part of this time, so that one of them writes the record and the others see it. */
const MAX_DELAY_MS: Milliseconds = 1000

/** Options of the policy restorer. */
export interface PolicyRestorerOptions {
  readonly publisher: PolicyPublisher
  readonly random: RandomSource
  readonly logger: Logger
}

/**
 * Writes the policy record in force again after the control store was restored from a copy without it: operators have
 * read its confirmation, and VMs that start would serve by an older one.
 */
export class PolicyRestorer {
  private timer: NodeJS.Timeout | undefined

  private constructor (private readonly options: PolicyRestorerOptions) {}

  static create (options: PolicyRestorerOptions): PolicyRestorer {
    return new PolicyRestorer(options)
  }

  close (): void {
    clearTimeout(this.timer)
  }

  /** Called when the store has an older record than the one in force, or none. */
  onLost (record: PolicyRecord): void {
    clearTimeout(this.timer)
    this.timer = setTimeout(() => void this.restore(record), this.options.random.next() * MAX_DELAY_MS)
  }

  /** Called when the store has the record in force. */
  onPresent (): void {
    clearTimeout(this.timer)
  }

  private async restore (record: PolicyRecord): Promise<void> {
    const { publisher, logger } = this.options
    const result = await publisher.restore(record)
    if (result.isErr) logger.error('policy record was not written again', { revision: record.revision, failure: result.error })
    else if (result.value === 'written') logger.warn('policy record written again after a restore of the store', { revision: record.revision })
  }
}
