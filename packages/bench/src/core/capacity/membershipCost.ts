import { EXCHANGE_EVERY_MS, Membership } from '@cowsliplead/core/core/membership/membership.js'
import { FakeClock } from '@cowsliplead/core/types/clock.js'
import { MAX_EXCHANGE_ENTRIES } from '@cowsliplead/core/types/exchange.js'
import { vmIdOf } from '@cowsliplead/core/types/member.js'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import type { Measurement } from '../../types/capacity.js'
import { cpuMicrosOf, heapBytesOf, measureSizes } from './measure.js'
import { createMembers, listOf } from './memberNames.js'

const VMS = [6, 60, 240]
const MARKS = [0, 16, MAX_EXCHANGE_ENTRIES]
const MARKED_VMS = 240
const WARM_UP_ROUNDS = 20
const ROUNDS = 10
const START_AT = 1_000_000

/** The regular exchange against the number of entry VMs. */
export function measureMembership (rounds: number): Measurement[] {
  const vms = 'entry VMs'
  return [
    measureSizes('Membership: exchange message', 'bytes', vms, VMS, count => run(count).bytesPerMessage),
    measureSizes('Membership: exchange message among 240', 'bytes', 'draining notices and as many suspects', MARKS, count => run(MARKED_VMS, count).bytesPerMessage),
    measureSizes('Membership: messages sent per VM', '1/s', vms, VMS, count => run(count).messagesPerVmSecond),
    measureSizes('Membership: time per exchange, both ends', 'us', vms, VMS, count => timeOfExchange(count, rounds)),
    measureSizes('Membership: heap per VM', 'bytes', vms, VMS, count => heapBytesOf(() => run(count)) / count)
  ]
}

/** VMs that exchange messages as JSON. */
class Fleet {
  messages = 0
  private bytes = 0
  private seconds = 0
  private readonly clock = FakeClock.create(START_AT)
  private readonly vms: Map<string, Membership>

  constructor (private readonly count: number) {
    const random = SeededRandom.create(1)
    const port = { onDraining: () => undefined, onSuspect: () => undefined }
    this.vms = new Map(createMembers(count).map(member => [vmIdOf(member), Membership.create(member, this.clock, random, port)]))
    for (const vm of this.vms.values()) vm.onVmList(listOf(count, START_AT))
  }

  get bytesPerMessage (): number {
    return this.bytes / this.messages
  }

  get messagesPerVmSecond (): number {
    return this.messages / this.count / this.seconds
  }

  pass (rounds: number): void {
    for (let round = 0; round < rounds; round++) {
      this.clock.advance(EXCHANGE_EVERY_MS)
      this.seconds += EXCHANGE_EVERY_MS / 1000
      for (const vm of this.vms.values()) {
        for (const target of vm.takeTargets()) this.exchange(vm, this.vms.get(target))
      }
    }
  }

  mark (count: number): void {
    const [first] = this.vms.values()
    for (let index = 0; index < count; index++) {
      first?.noteDraining(`service-100-upstream-${index}`)
      // Fingerprints are hashes of about this length.
      first?.noteCrash(`${index}`.padStart(64, 'f'))
    }
  }

  resetCounts (): void {
    this.messages = 0
    this.bytes = 0
    this.seconds = 0
  }

  private exchange (from: Membership, to: Membership | undefined): void {
    to?.onMessage(this.carry(from))
    if (to !== undefined) from.onMessage(this.carry(to))
  }

  private carry (sender: Membership): unknown {
    const text = JSON.stringify(sender.createMessage())
    this.messages++
    this.bytes += Buffer.byteLength(text)
    return JSON.parse(text)
  }
}

/** A fleet in which all VMs know each other; its counters cover the rounds after that. */
function run (count: number, marks = 0): Fleet {
  const fleet = new Fleet(count)
  fleet.pass(WARM_UP_ROUNDS)
  fleet.mark(marks)
  fleet.pass(ROUNDS)
  fleet.resetCounts()
  fleet.pass(ROUNDS)
  return fleet
}

function timeOfExchange (count: number, rounds: number): number {
  const fleet = run(count)
  const passes = Math.max(Math.round(600 / count), 5)
  const before = fleet.messages
  const time = cpuMicrosOf(() => fleet.pass(1), passes, rounds)
  const exchangesPerPass = (fleet.messages - before) / 2 / (passes * rounds)
  return time / exchangesPerPass
}
