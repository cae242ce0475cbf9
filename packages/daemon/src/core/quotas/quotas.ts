import { LeaseAccounts } from '@cowsliplead/core/core/quotas/leaseAccounts.js'
import type { QuotaCounters } from '@cowsliplead/core/core/quotas/leaseAccount.js'
import { QuotaHolder } from '@cowsliplead/core/core/quotas/quotaHolder.js'
import { QuotaHolders } from '@cowsliplead/core/core/quotas/quotaHolders.js'
import type { FleetMembers } from '@cowsliplead/core/core/membership/fleetMembers.js'
import { SystemClock, type Clock } from '@cowsliplead/core/types/clock.js'
import type { Customer } from '@cowsliplead/core/types/customer.js'
import { quotaOf, type QuotaDecision } from '@cowsliplead/core/types/quota.js'
import type { RandomSource } from '@cowsliplead/core/types/randomSource.js'
import type { RouteConfig } from '@cowsliplead/core/types/routes.js'
import type { GatewaySettings } from '../../types/gatewaySettings.js'
import type { Logger } from '../operators/logger.js'
import type { PeerHandler } from '../peers/peerServer.js'
import { LeaseClient } from './leaseClient.js'
import { createLeaseHandler } from './leaseHandler.js'
import { QuotaLog } from './quotaLog.js'

/** Customers in the dump. */
const MAX_DUMPED_CUSTOMERS = 100

const ADMITTED: QuotaDecision = { kind: 'admitted' }

/** Options of the quotas. */
export interface QuotasOptions {
  readonly settings: Pick<GatewaySettings, 'vmId' | 'peerAddress' | 'quotaTolerance'>
  readonly members: FleetMembers
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: Logger
  /** The configuration in force; undefined before it is known. */
  readonly config: () => RouteConfig | undefined
}

/** Keeps customers within their quotas, which hold over all VMs together. */
export class Quotas {
  /** Handles other VMs' requests for tokens. */
  readonly handler: PeerHandler
  private readonly holders: QuotaHolders
  private readonly holder: QuotaHolder
  private readonly accounts: LeaseAccounts
  private readonly client: LeaseClient
  private readonly log: QuotaLog

  private constructor ({ settings: { vmId, peerAddress, quotaTolerance: slack }, members, clock, random, logger, config }: QuotasOptions) {
    const onError = (error: Error): void => void logger.error('internal error while handling tokens', { error: error.stack })
    this.holders = QuotaHolders.create({ members, ownId: vmId, exchangesTokens: peerAddress !== undefined, clock })
    this.holder = QuotaHolder.create({
      holders: this.holders,
      clock,
      slack,
      quotaOf: name => {
        const customer = config()?.customers?.get(name)
        return customer && quotaOf(customer)
      }
    })
    this.client = LeaseClient.create({ vmId, grantLocally: request => this.holder.grant(request), onError })
    // The monotonic clock stops while the VM is suspended, and tokens must not outlive that.
    this.accounts = LeaseAccounts.create({ vmId, holders: this.holders, port: this.client, clock: SystemClock.create(), random, slack })
    this.log = QuotaLog.create(clock, logger)
    this.handler = createLeaseHandler(request => this.holder.grant(request), onError)
  }

  static create (options: QuotasOptions): Quotas {
    return new Quotas(options)
  }

  get counters (): QuotaCounters {
    return this.accounts.counters
  }

  /**
   * Decides whether a request of a customer may run; `decide` is called at once where tokens are there, else after the
   * answers of other VMs. Returns a function that withdraws the request.
   */
  admit (customer: Customer, decide: (decision: QuotaDecision) => void): () => void {
    const quota = quotaOf(customer)
    if (quota === undefined) {
      decide(ADMITTED)
      return () => {}
    }
    return this.accounts.admit(quota, decision => {
      if (decision.kind === 'refused') this.log.onRefusal(quota)
      decide(decision)
    })
  }

  /** Must be called when the members of the fleet may have changed. */
  onMembersChange (): void {
    this.holders.refresh()
    this.holder.dropLost()
  }

  /** State for the dump. */
  describe (): Record<string, unknown> {
    return {
      counters: this.counters,
      tokens: this.accounts.balances(MAX_DUMPED_CUSTOMERS),
      heldTokens: this.holder.balances(MAX_DUMPED_CUSTOMERS),
      overQuota: this.log.overQuota
    }
  }

  close (): void {
    this.client.close()
    this.log.close()
  }
}
