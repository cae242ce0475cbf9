import { LeaseAccounts } from '../src/core/quotas/leaseAccounts.js'
import { QuotaHolder } from '../src/core/quotas/quotaHolder.js'
import { QuotaHolders } from '../src/core/quotas/quotaHolders.js'
import { FleetMembers } from '../src/core/membership/fleetMembers.js'
import { FakeClock } from '../src/types/clock.js'
import type { FleetMember } from '../src/types/fleetMember.js'
import type { LeaseAnswer, Quota, QuotaSlack } from '../src/types/quota.js'
import { SeededRandom, type RandomSource } from '../src/types/randomSource.js'

export const SLACK: QuotaSlack = { windowMs: 5000, share: 0.1, requests: 20 }
const TIMEOUT_MS = 60

/** A simulated VM. A process that is restarted is replaced by a new one with the same id. */
interface Vm {
  readonly id: string
  readonly members: FleetMembers
  readonly holders: QuotaHolders
  readonly holder: QuotaHolder
  readonly accounts: LeaseAccounts
  quota: Quota
  frozenUntil: number
  cutOffUntil: number
}

/** Several VMs that exchange tokens over a simulated network. */
export class QuotaFleet {
  readonly clock = FakeClock.create(1_000_000)
  readonly random: RandomSource
  readonly vms = new Map<string, Vm>()
  readonly admittedAt: number[] = []
  refused = 0
  messages = 0
  private readonly events = new Map<number, Array<() => void>>()
  private nextId = 0

  constructor (size: number, private quota: Quota, seed: number) {
    this.random = SeededRandom.create(seed)
    for (let index = 0; index < 100; index++) this.random.next()
    const ids = Array.from({ length: size }, () => `vm${this.nextId++}`)
    for (const id of ids) this.start(id, ids)
  }

  get now (): number {
    return this.clock.now()
  }

  /** Runs `action` after `ms`. */
  after (ms: number, action: () => void): void {
    const at = Math.ceil(this.now + ms)
    this.events.set(at, [...this.events.get(at) ?? [], action])
  }

  /** Advances by one millisecond. */
  step (): void {
    this.clock.advance(1)
    const due = this.events.get(this.now) ?? []
    this.events.delete(this.now)
    for (const action of due) action()
  }

  call (id: string): void {
    const vm = this.vms.get(id)
    if (vm === undefined) return
    if (vm.frozenUntil > this.now) return this.after(vm.frozenUntil - this.now, () => this.call(id))
    vm.accounts.admit(vm.quota, ({ kind }) => {
      if (kind === 'admitted') this.admittedAt.push(this.now)
      else this.refused++
    })
  }

  restart (id: string): void {
    const listed = [...this.vms.keys()]
    this.start(id, listed)
  }

  /** Adds a VM, which knows of itself at once, and of which the others learn within `skewMs`. */
  join (skewMs: number): void {
    const id = `vm${this.nextId++}`
    const before = [...this.vms.keys()]
    this.start(id, before)
    for (const other of [...before, id]) {
      const delayMs = other === id ? 0 : this.random.next() * skewMs
      this.after(1 + delayMs, () => this.update(other, ({ members }) => members.put(memberOf(id))))
    }
  }

  /** Stops a VM, and removes its record after a time. */
  leave (id: string, skewMs: number): void {
    this.vms.delete(id)
    for (const other of this.vms.keys()) {
      this.after(1 + this.random.next() * skewMs, () => this.update(other, ({ members }) => members.remove(id)))
    }
  }

  /** Changes the limit, of which the VMs learn within `skewMs`. */
  setQuota (quota: Quota, skewMs: number): void {
    this.quota = quota
    for (const id of this.vms.keys()) {
      this.after(1 + this.random.next() * skewMs, () => this.update(id, vm => {
        vm.quota = quota
      }))
    }
  }

  private update (id: string, action: (vm: Vm) => void): void {
    const vm = this.vms.get(id)
    if (vm === undefined) return
    action(vm)
    vm.holders.refresh()
    vm.holder.dropLost()
  }

  private start (id: string, listed: readonly string[]): void {
    const { clock, random, quota } = this
    const members = FleetMembers.create(id)
    const holders = QuotaHolders.create({ members, ownId: id, exchangesTokens: true, clock })
    for (const other of listed) members.put(memberOf(other))
    const vm: Vm = {
      id, members, holders, quota, frozenUntil: 0, cutOffUntil: 0,
      holder: QuotaHolder.create({ holders, clock, slack: SLACK, quotaOf: () => vm.quota }),
      accounts: LeaseAccounts.create({
        vmId: id, holders, clock, random, slack: SLACK,
        port: { requestLease: (holder, request, done) => this.send(vm, holder.vmId, answer => answer.holder.grant(request), done) }
      })
    }
    holders.refresh()
    this.vms.set(id, vm)
  }

  private send (from: Vm, to: string, grant: (vm: Vm) => LeaseAnswer, done: (result: LeaseAnswer | { kind: 'unreachable' }) => void): void {
    if (to === from.id) return done(grant(from))
    this.messages++
    let isDone = false
    const finish = (result: LeaseAnswer | { kind: 'unreachable' }): void => {
      if (this.vms.get(from.id) !== from || (isDone && result.kind === 'unreachable')) return
      if (from.frozenUntil > this.now) return this.after(from.frozenUntil - this.now, () => finish(result))
      isDone = true
      done(result)
    }
    this.after(TIMEOUT_MS, () => finish({ kind: 'unreachable' }))
    const deliver = (vm: Vm | undefined): void => {
      if (vm === undefined || this.isCutOff(vm) || this.isCutOff(from)) return
      if (vm.frozenUntil > this.now) return this.after(vm.frozenUntil - this.now, () => deliver(this.vms.get(to)))
      const answer = grant(vm)
      this.after(1 + this.random.next() * 5, () => {
        if (!this.isCutOff(vm) && !this.isCutOff(from)) finish(answer)
      })
    }
    this.after(1 + this.random.next() * 5, () => deliver(this.vms.get(to)))
  }

  private isCutOff (vm: Vm): boolean {
    return vm.cutOffUntil > this.now
  }
}

function memberOf (vmId: string): FleetMember {
  return { vmId, feedAddress: `${vmId}:1`, peerAddress: `${vmId}:2`, failureDomain: 'a' }
}
