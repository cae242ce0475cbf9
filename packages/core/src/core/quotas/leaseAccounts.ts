import type { Milliseconds } from '../../types/clock.js'
import type { Quota, QuotaDecision } from '../../types/quota.js'
import { LeaseAccount, type LeaseAccountOptions, type QuotaCounters } from './leaseAccount.js'

/** Accounts without a request for this time are dropped; longer than a window, in which the own allowance counts. */
const IDLE_MS: Milliseconds = 60_000

/** Options of the accounts. */
export type LeaseAccountsOptions = Omit<LeaseAccountOptions, 'counters'>

/** This VM's accounts of the customers with a quota. */
export class LeaseAccounts {
  readonly counters: QuotaCounters = { refused: 0, allowanceUsed: 0, leases: { granted: 0, partlyGranted: 0, empty: 0, notHolder: 0, unreachable: 0 } }
  private readonly accounts = new Map<string, LeaseAccount>()
  private evictedAt: Milliseconds = 0

  private constructor (private readonly options: LeaseAccountsOptions) {}

  static create (options: LeaseAccountsOptions): LeaseAccounts {
    return new LeaseAccounts(options)
  }

  /** Decides on a request, see `LeaseAccount.admit`. */
  admit (quota: Quota, decide: (decision: QuotaDecision) => void): () => void {
    this.evictIdle(this.options.clock.now())
    const account = this.accounts.get(quota.customer) ?? LeaseAccount.create(quota, { ...this.options, counters: this.counters })
    this.accounts.set(quota.customer, account)
    return account.admit(quota, decide)
  }

  /** Unused tokens by customer, at most `limit` of them. */
  balances (limit: number): Record<string, number> {
    return Object.fromEntries([...this.accounts].slice(0, limit).map(([customer, account]) => [customer, account.tokens]))
  }

  private evictIdle (now: Milliseconds): void {
    if (now < this.evictedAt + IDLE_MS) return
    this.evictedAt = now
    for (const [customer, account] of this.accounts) {
      if (account.isIdle && now - account.usedAt > IDLE_MS) this.accounts.delete(customer)
    }
  }
}
