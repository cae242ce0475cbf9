import { expect } from 'chai'
import type { Quota } from '../src/types/quota.js'
import { QuotaFleet, SLACK } from './quotaFleet.js'

const SEEDS = Number(process.env['SEEDS'] ?? 2)
const DURATION_MS = 25_000
const WARMUP_MS = 3000
const MAX_FAULTS_PER_SECOND = 2

/** Excess of the window with the most requests over what is allowed, by the highest quota in force in it or shortly before. */
function worstExcess (times: readonly number[], allowedAt: (at: number) => number): number {
  let first = 0
  return times.reduce((worst, at, index) => {
    while ((times[first] as number) <= at - SLACK.windowMs) first += 1
    return Math.max(worst, index - first + 1 - allowedAt(at))
  }, -Infinity)
}

function allowedBy ({ requestsPerSecond, burstRequests }: Quota): number {
  return (requestsPerSecond * SLACK.windowMs / 1000 + burstRequests) * (1 + SLACK.share) + SLACK.requests
}

function quota (requestsPerSecond: number, burstRequests = requestsPerSecond): Quota {
  return { customer: 'fenwick', requestsPerSecond, burstRequests }
}

/** Calls arrive at random at `times` times the quota, at the first `callers` VMs. */
function play (fleet: QuotaFleet, durationMs: number, rate: number, callers: number, onSecond: (second: number) => void = () => {}): void {
  for (let ms = 0; ms < durationMs; ms++) {
    if (ms % 1000 === 0) onSecond(ms / 1000)
    let expected = rate / 1000
    while (expected > 0) {
      const ids = [...fleet.vms.keys()].slice(0, callers)
      if (fleet.random.next() < expected) fleet.call(ids[Math.floor(fleet.random.next() * ids.length)] as string)
      expected -= 1
    }
    fleet.step()
  }
}

describe('quotas over several VMs', function () {
  this.timeout(120_000)

  for (const vms of [1, 6, 40, 124, 300]) {
    for (const [rate, callers] of [[1, 3], [20, 3], [100, 3], [100, 300]] as const) {
      // Guards against service lost below the quota where demand is steady, and against more than the quota.
      it(`uses ${rate} requests a second of ${vms} VMs, called at ${callers}`, () => {
        const fleet = new QuotaFleet(vms, quota(rate), 1)
        play(fleet, DURATION_MS, rate * 7, callers)
        const used = fleet.admittedAt.filter(at => at > 1_000_000 + WARMUP_MS).length
        expect(used).to.be.at.least(0.9 * rate * (DURATION_MS - WARMUP_MS) / 1000 - 1)
        expect(worstExcess(fleet.admittedAt, () => allowedBy(quota(rate)))).to.be.at.most(0)
      })
    }
  }

  // Guards against tokens that are lost to VMs with little demand.
  for (const share of [0.6, 0.9]) {
    it(`refuses few requests of a customer at ${share} of its quota`, () => {
      const fleet = new QuotaFleet(40, quota(20), 3)
      play(fleet, 5000, 0, 40)
      play(fleet, DURATION_MS, 20 * share, 40)
      expect(fleet.refused).to.be.at.most(0.02 * fleet.admittedAt.length)
    })
  }

  // Guards against new holders that grant their part while the VMs that they replace do not know of them.
  it('keeps the quota while most holders are replaced and VMs learn of it at different times', () => {
    for (let seed = 1; seed <= 3; seed++) {
      const fleet = new QuotaFleet(12, quota(100), seed)
      play(fleet, 8000, 700, 300)
      for (let index = 0; index < 60; index++) fleet.join(2900)
      play(fleet, 8000, 700, 300)
      expect(worstExcess(fleet.admittedAt, () => allowedBy(quota(100))), `seed ${seed}`).to.be.at.most(0)
    }
  })

  // Guards against tokens that a VM keeps, and that admit requests in a later window.
  it('drops unused tokens', () => {
    const fleet = new QuotaFleet(1, quota(100), 1)
    play(fleet, 5000, 0, 1)
    play(fleet, 1000, 60, 1)
    const tokens = (): number => fleet.vms.get('vm0')!.accounts.balances(1)['fenwick'] as number
    expect(tokens()).to.be.above(0)
    play(fleet, 250, 0, 1)
    expect(tokens()).to.equal(0)
  })

  for (const vms of [6, 40, 124, 300]) {
    for (let seed = 1; seed <= SEEDS; seed++) {
      for (const rate of vms === 300 ? [100] : [1, 15, 100]) {
        // Guards against holders that grant the same part twice when VMs fail, come, go, or disagree about members and limits.
        it(`keeps ${rate} requests a second of ${vms} VMs while they fail, with seed ${seed}`, () => {
          const fleet = new QuotaFleet(vms, quota(rate), seed * 1000 + rate)
          const { random } = fleet
          const changes: Array<{ at: number, quota: Quota }> = [{ at: -Infinity, quota: quota(rate) }]
          const anyVm = (): string => [...fleet.vms.keys()][Math.floor(random.next() * fleet.vms.size)] as string
          play(fleet, DURATION_MS, rate * 7, seed % 2 === 0 ? 3 : 300, second => {
            const faults = Math.min(Math.ceil(fleet.vms.size / 20), MAX_FAULTS_PER_SECOND)
            for (let fault = 0; fault < faults; fault++) disturb(fleet, anyVm(), random.next())
            if (second % 12 !== 9) return
            const next = quota(rate * (second % 24 === 9 ? 0.4 : 1))
            changes.push({ at: fleet.now, quota: next })
            fleet.setQuota(next, 2500)
          })
          const allowedAt = (at: number): number => {
            // A lowered limit binds a window after all VMs know it.
            const since = changes.findLastIndex(change => change.at <= at - SLACK.windowMs - 2500)
            return Math.max(...changes.slice(Math.max(since, 0)).filter(change => change.at <= at).map(change => allowedBy(change.quota)))
          }
          expect(worstExcess(fleet.admittedAt, allowedAt)).to.be.at.most(0)
        })
      }
    }
  }
})

function disturb (fleet: QuotaFleet, id: string, choice: number): void {
  const vm = fleet.vms.get(id)
  if (vm === undefined) return
  if (choice < 0.25) vm.frozenUntil = fleet.now + 300 + choice * 12_000
  else if (choice < 0.5) vm.cutOffUntil = fleet.now + 4000
  else if (choice < 0.7) fleet.restart(id)
  else if (choice < 0.85) fleet.join(2500)
  else if (fleet.vms.size > 4) fleet.leave(id, 2500)
}
