import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Quota } from '@cowsliplead/core/types/quota.js'
import type { Logger } from '../operators/logger.js'

/** A customer without a refusal for this time is within its quota again; this also bounds the lines per customer. */
const QUIET_MS: Milliseconds = 5000

const CHECK_INTERVAL_MS: Milliseconds = 1000

/** Customers that are logged at the same time; further ones are only counted. */
const MAX_CUSTOMERS = 200

interface OverQuota {
  readonly since: Milliseconds
  lastRefusalAt: Milliseconds
  refused: number
}

/** Logs when customers start and stop being over their quotas on this VM. */
export class QuotaLog {
  private readonly customers = new Map<string, OverQuota>()
  private timer: NodeJS.Timeout | undefined

  private constructor (private readonly clock: Clock, private readonly logger: Logger) {}

  static create (clock: Clock, logger: Logger): QuotaLog {
    return new QuotaLog(clock, logger)
  }

  /** Names of the customers that are over their quotas. */
  get overQuota (): readonly string[] {
    return [...this.customers.keys()]
  }

  /** Records that a request was refused. */
  onRefusal (quota: Quota): void {
    const now = this.clock.now()
    const known = this.customers.get(quota.customer)
    if (known !== undefined) {
      known.lastRefusalAt = now
      known.refused += 1
      return
    }
    if (this.customers.size >= MAX_CUSTOMERS) return
    this.customers.set(quota.customer, { since: now, lastRefusalAt: now, refused: 1 })
    this.logger.info('customer over its quota', { ...quota })
    this.timer ??= setInterval(() => this.logEnds(), CHECK_INTERVAL_MS).unref()
  }

  close (): void {
    clearInterval(this.timer)
    this.timer = undefined
  }

  private logEnds (): void {
    const now = this.clock.now()
    for (const [customer, { since, lastRefusalAt, refused }] of this.customers) {
      if (now - lastRefusalAt < QUIET_MS) continue
      this.customers.delete(customer)
      this.logger.info('customer within its quota again', { customer, refused, overForMs: Math.round(lastRefusalAt - since) })
    }
    if (this.customers.size === 0) this.close()
  }
}
