import type { Clock, Milliseconds } from '../../types/clock.js'
import type { FleetMember } from '../../types/fleetMember.js'
import type { LeaseRequest, LeaseResult, Quota, QuotaDecision, QuotaSlack } from '../../types/quota.js'
import type { RandomSource } from '../../types/randomSource.js'
import { OwnAllowance } from './ownAllowance.js'
import type { QuotaHolders } from './quotaHolders.js'

/** Time from the request for tokens in which they can be used: what all VMs have unused counts for the next window too. */
const LEASE_MS: Milliseconds = 250

/** Tokens are asked for in advance for the expected requests of this time. */
const BATCH_MS: Milliseconds = 100

/** Time constant of the demand estimate. */
const DEMAND_MS: Milliseconds = 500

/** Largest number of tokens in one request. */
export const MAX_TOKENS = 1000

/** Largest number of calls that wait for tokens of one customer. */
const MAX_WAITING = 1000

/** How long a holder is not asked again after it did not answer. */
const UNREACHABLE_MS: Milliseconds = 1000

/** How long a VM that is no holder by its own view is not asked again: the views of the members are about to agree. */
const NOT_HOLDER_MS: Milliseconds = 300

/** Longest time that a refused caller is told to wait. */
const MAX_RETRY_MS: Milliseconds = 5000

/** Number of VMs that a VM assumes before it knows the fleet. */
const UNKNOWN_FLEET_VMS = 12

const ADMITTED: QuotaDecision = { kind: 'admitted' }

/** Counters of all accounts. */
export interface QuotaCounters {
  refused: number
  allowanceUsed: number
  readonly leases: Record<'granted' | 'partlyGranted' | 'empty' | 'notHolder' | 'unreachable', number>
}

/** Host of the accounts. */
export interface LeasePort {
  /** Sends a request to a holder, which may be this VM. `done` may be called again with a late answer after `unreachable`. */
  requestLease (holder: FleetMember, request: LeaseRequest, done: (result: LeaseResult) => void): void
}

/** What all accounts of a VM share. */
export interface LeaseAccountOptions {
  readonly vmId: string
  readonly holders: QuotaHolders
  readonly port: LeasePort
  /** Must also advance while the VM is suspended, so that no token is used after its time. */
  readonly clock: Clock
  readonly random: RandomSource
  readonly slack: QuotaSlack | undefined
  readonly counters: QuotaCounters
}

/** A call that waits for a holder's answer. */
interface Waiter {
  decide (decision: QuotaDecision): void
}

/** Until when a holder is not asked, and why. */
interface Pause {
  readonly until: Milliseconds
  readonly reason: 'empty' | 'unreachable'
}

/** This VM's tokens of one customer: asks the holders for more when they are used up, one holder at a time. */
export class LeaseAccount {
  /** In order of expiry. */
  private readonly leases: Array<{ tokens: number, readonly expiresAt: Milliseconds }> = []
  private readonly waiting = new Set<Waiter>()
  private readonly pauses = new Map<string, Pause>()
  private readonly allowance: OwnAllowance
  private isAsking = false
  /** Requests within `DEMAND_MS`, decaying. */
  private demand = 0
  /** When a request of the customer last arrived. */
  usedAt: Milliseconds = 0
  private quota: Quota

  private constructor (quota: Quota, private readonly options: LeaseAccountOptions) {
    this.quota = quota
    this.allowance = OwnAllowance.create(options.slack)
  }

  static create (quota: Quota, options: LeaseAccountOptions): LeaseAccount {
    return new LeaseAccount(quota, options)
  }

  get isIdle (): boolean {
    return !this.isAsking && this.waiting.size === 0
  }

  /** Tokens that can be used now. */
  get tokens (): number {
    this.dropExpired(this.options.clock.now())
    return this.leases.reduce((sum, lease) => sum + lease.tokens, 0)
  }

  /**
   * Decides on a request of the customer; `decide` is called at once or after the answers of holders. Returns a function that
   * withdraws the request.
   */
  admit (quota: Quota, decide: (decision: QuotaDecision) => void): () => void {
    this.quota = quota
    const now = this.options.clock.now()
    this.recordDemand(now)
    const waiter: Waiter = { decide }
    if (this.waiting.size >= MAX_WAITING) this.refuse(waiter, now)
    else this.waiting.add(waiter)
    if (!this.isAsking) this.serve()
    return () => {
      this.waiting.delete(waiter)
    }
  }

  /** Serves waiting calls with the tokens that are there, and asks for more if some are left. */
  private serve (): void {
    for (const waiter of this.waiting) {
      if (!this.takeToken(this.options.clock.now())) break
      this.decide(waiter, ADMITTED)
    }
    if (this.waiting.size > 0 && !this.isAsking) this.ask()
  }

  private ask (): void {
    const { clock, port, vmId } = this.options
    const sentAt = clock.now()
    const holder = this.chooseHolder(sentAt)
    if (holder === undefined) return this.serveWithoutHolders(sentAt)
    const expected = Math.floor(this.demand * BATCH_MS / DEMAND_MS)
    const tokens = Math.min(this.waiting.size + expected, MAX_TOKENS)
    this.isAsking = true
    let isAnswered = false
    port.requestLease(holder, { customer: this.quota.customer, vmId, tokens }, result => {
      if (!isAnswered) this.isAsking = false
      isAnswered = true
      this.onResult(holder, tokens, sentAt, result)
    })
  }

  private onResult (holder: FleetMember, wanted: number, sentAt: Milliseconds, result: LeaseResult): void {
    const now = this.options.clock.now()
    this.count(wanted, result)
    switch (result.kind) {
      case 'unreachable':
        this.pauses.set(holder.vmId, { until: now + UNREACHABLE_MS, reason: 'unreachable' })
        break
      case 'notHolder':
        this.pauses.set(holder.vmId, { until: now + NOT_HOLDER_MS, reason: 'unreachable' })
        break
      case 'granted':
        // The holder granted the tokens after they were asked for, so that this is the earliest time of their expiry.
        if (result.tokens > 0) this.leases.push({ tokens: Math.min(result.tokens, wanted), expiresAt: sentAt + LEASE_MS })
        if (result.tokens >= wanted) this.pauses.delete(holder.vmId)
        else this.pauses.set(holder.vmId, { until: now + Math.max(result.nextTokenMs, 1), reason: 'empty' })
    }
    this.serve()
  }

  /** A random holder that may have tokens, this VM first; undefined if there is none now. */
  private chooseHolder (now: Milliseconds): FleetMember | undefined {
    const { holders, vmId, random } = this.options
    const open = holders.holdersOf(this.quota).filter(holder => (this.pauses.get(holder.vmId)?.until ?? 0) <= now)
    return open.find(holder => holder.vmId === vmId) ?? open[Math.floor(random.next() * open.length)]
  }

  private serveWithoutHolders (now: Milliseconds): void {
    const { holders, counters } = this.options
    const reachesNone = holders.holdersOf(this.quota).every(({ vmId }) => this.pauses.get(vmId)?.reason === 'unreachable')
    const vms = holders.isRegistered ? holders.vms : Math.max(holders.vms, UNKNOWN_FLEET_VMS)
    for (const waiter of this.waiting) {
      if (reachesNone && this.allowance.take(this.quota, holders.ownRank(this.quota.customer), vms, now)) {
        counters.allowanceUsed += 1
        this.decide(waiter, ADMITTED)
      } else {
        this.refuse(waiter, now)
      }
    }
  }

  private refuse (waiter: Waiter, now: Milliseconds): void {
    this.options.counters.refused += 1
    this.decide(waiter, { kind: 'refused', retryAfterMs: this.retryAfterMs(now) })
  }

  /** Time until the first holder may have a token again. */
  private retryAfterMs (now: Milliseconds): Milliseconds {
    const ends = this.options.holders.holdersOf(this.quota).map(({ vmId }) => this.pauses.get(vmId)?.until ?? now)
    const untilFirst = ends.length === 0 ? UNREACHABLE_MS : Math.min(...ends) - now
    return Math.min(Math.max(untilFirst, 1), MAX_RETRY_MS)
  }

  private decide (waiter: Waiter, decision: QuotaDecision): void {
    this.waiting.delete(waiter)
    waiter.decide(decision)
  }

  private takeToken (now: Milliseconds): boolean {
    this.dropExpired(now)
    const [lease] = this.leases
    if (lease === undefined) return false
    lease.tokens -= 1
    return true
  }

  private dropExpired (now: Milliseconds): void {
    while (this.leases[0] !== undefined && (this.leases[0].tokens <= 0 || this.leases[0].expiresAt <= now)) this.leases.shift()
  }

  private recordDemand (now: Milliseconds): void {
    this.demand = this.demand * Math.exp((this.usedAt - now) / DEMAND_MS) + 1
    this.usedAt = now
  }

  private count (wanted: number, result: LeaseResult): void {
    const { leases } = this.options.counters
    if (result.kind !== 'granted') leases[result.kind] += 1
    else if (result.tokens === 0) leases.empty += 1
    else leases[result.tokens < wanted ? 'partlyGranted' : 'granted'] += 1
  }
}
