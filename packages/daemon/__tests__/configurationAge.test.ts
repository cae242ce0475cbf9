import { expect } from 'chai'
import winston from 'winston'
import { ElapsedClock } from '@cowsliplead/core/types/elapsedClock.js'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import { KeyConfirmation } from '../src/core/customers/keyConfirmation.js'
import { AdditionalSources } from '../src/core/feed/additionalSources.js'
import { FEED_MESSAGE, FEED_REQUEST } from '../src/types/feedMessage.js'
import type { TablePosition } from '../src/types/controlStore.js'

const MAX_AGE_MS = 5000

/** Clocks of one VM. */
class VmClocks {
  readonly times = { monotonic: 0, boot: 0, wall: 1_700_000_000_000 }
  readonly clock = ElapsedClock.create({ monotonic: () => this.times.monotonic, boot: () => this.times.boot, wall: () => this.times.wall })

  run (ms: number): void {
    this.times.monotonic += ms
    this.suspend(ms)
  }

  suspend (ms: number): void {
    this.times.boot += ms
    this.times.wall += ms
  }
}

interface TestVm {
  readonly clocks: VmClocks
  readonly keys: KeyConfirmation
}

function createVm (position: TablePosition, version = 1): TestVm {
  const clocks = new VmClocks()
  const keys = KeyConfirmation.create(MAX_AGE_MS, winston.createLogger({ silent: true }), clocks.clock)!
  keys.position = () => position
  keys.age.onConfig(version)
  return { clocks, keys }
}

function runAll (vms: readonly TestVm[], ms: number): void {
  for (const { clocks } of vms) clocks.run(ms)
}

describe('ConfigurationAge', () => {
  const position = { epoch: 0, offset: 7 }

  // Guards against an age that counts from an answer, which may have lain in a socket.
  it('counts from the instant at which a read was sent', () => {
    const { clocks, keys } = createVm(position)
    expect(keys.age.isConfirmed()).to.equal(false)
    const sentAt = keys.now()
    clocks.run(800)
    clocks.suspend(3000)
    keys.onRead(position, sentAt)
    expect(keys.age.ageMs).to.equal(3800)
    expect(keys.age.isConfirmed()).to.equal(true)
    clocks.suspend(1200)
    expect(keys.age.isConfirmed()).to.equal(false)
  })

  // Guards against an older read, or an answer to one, that replaces what a newer one has shown.
  it('keeps the newest confirmation', () => {
    const { clocks, keys } = createVm(position)
    const early = keys.now()
    clocks.run(1000)
    keys.onRead(position, keys.now())
    keys.onRead(position, early)
    expect(keys.age.ageMs).to.equal(0)
  })

  // Guards against a store that brings withdrawn keys back on a VM that starts after it was restored from a copy.
  it('is not confirmed while another VM has had a higher version for longer', () => {
    const { clocks, keys } = createVm(position, 3)
    keys.onRead(position, keys.now())
    keys.age.onOtherVersion(3, 60_000, keys.now())
    expect(keys.age.isConfirmed()).to.equal(true)
    keys.age.onOtherVersion(4, 600, keys.now())
    expect(keys.age.isConfirmed()).to.equal(true)
    keys.age.onOtherVersion(4, 60_000, keys.now())
    keys.onRead(position, keys.now())
    expect(keys.age.isConfirmed()).to.equal(false)
    clocks.run(10)
    keys.age.onConfig(4)
    expect(keys.age.isConfirmed()).to.equal(true)
  })
})

describe('ConfirmationExchange', () => {
  const position = { epoch: 0, offset: 7 }

  // Guards against an age that shrinks on its way through relays, or that misses the time in a socket.
  it('adds up the ages and transit times of a chain', () => {
    const vms = [1, 2, 3].map(() => createVm(position)) as [TestVm, TestVm, TestVm]
    const [source, relay, follower] = vms
    source.keys.onRead(position, source.keys.now())
    for (const [asked, asking] of [[source, relay], [relay, follower]] as const) {
      runAll(vms, 500)
      const request = asking.keys.exchange.request()
      runAll(vms, 40)
      const answer = asked.keys.exchange.answer(request)
      asking.clocks.suspend(1000)
      runAll(vms, 60)
      asking.keys.exchange.receive(answer)
    }
    expect(follower.keys.age.ageMs).to.be.at.least(source.keys.age.ageMs)
    expect(follower.keys.age.ageMs).to.equal(1200 + 1000 + 1000 + 80)
  })

  const answers = [
    { name: 'an answer to no request', answer: { id: 99, position: { epoch: 0, end: 7, ageMs: 0 } } },
    { name: 'a position that this VM has not reached', answer: { id: 1, position: { epoch: 0, end: 8, ageMs: 0 } } },
    { name: 'a position of another epoch', answer: { id: 1, position: { epoch: 1, end: 7, ageMs: 0 } } },
    { name: 'no position', answer: { id: 1 } }
  ]
  // Guards against keys that are accepted because of what says nothing about this VM's copy.
  for (const { name, answer } of answers) {
    it(`does not take ${name} for a confirmation`, () => {
      const { keys } = createVm(position)
      keys.exchange.request()
      keys.exchange.receive({ kind: 'confirmed', ...answer })
      expect(keys.age.ageMs).to.equal(Infinity)
    })
  }

  // Guards against an answer that is counted twice, the second time for a later request.
  it('uses an answer once and forgets old requests', () => {
    const { clocks, keys } = createVm(position)
    const first = keys.exchange.request()
    for (let count = 0; count < 40; count++) keys.exchange.request()
    clocks.run(100)
    keys.exchange.receive({ kind: 'confirmed', id: first.id, position: { epoch: 0, end: 7, ageMs: 0 } })
    expect(keys.age.ageMs).to.equal(Infinity)
  })

  const invalid = [
    { kind: 'confirm' }, { kind: 'confirm', id: -1 }, { kind: 'confirm', id: '1' }, { kind: 'confirm', id: 1, inForceMs: -5 }, { kind: 'confirmed', id: 1 },
    { kind: 'confirm', id: 1, version: 0.5 }, null, 7
  ]
  // Guards against a malformed message that ends the process or is taken for something else.
  for (const message of invalid) {
    it(`refuses the request ${JSON.stringify(message)}`, () => expect(FEED_REQUEST.safeParse(message).success).to.equal(false))
  }
  for (const message of [{ kind: 'confirmed' }, { kind: 'confirmed', id: 1, position: { epoch: 0, end: 1, ageMs: -1 } }, { kind: 'confirmed', id: 1, position: { epoch: 0, end: 1 } }]) {
    it(`refuses the answer ${JSON.stringify(message)}`, () => expect(FEED_MESSAGE.safeParse(message).success).to.equal(false))
  }
})

describe('AdditionalSources', () => {
  // Guards against a VM that gives up keys although other VMs have recent ones, and against reconnecting without end in an outage.
  it('follows further VMs while the configuration is old, ever longer, and keeps those that help', () => {
    const additionalSources = AdditionalSources.create(SeededRandom.create(1))
    const candidates = ['a', 'b', 'c', 'd']
    expect(additionalSources.update(Infinity, candidates, 0)).to.deep.equal([])
    expect(additionalSources.update(1000, candidates, 500)).to.deep.equal([])
    const chosen = additionalSources.update(3000, candidates, 3000)
    expect(new Set(chosen).size).to.equal(2)
    expect(additionalSources.update(3900, candidates, 3900)).to.equal(chosen)
    expect(additionalSources.update(4100, candidates, 4100)).not.to.equal(chosen)
    const kept = additionalSources.update(600, candidates, 4300)
    expect(additionalSources.update(900, candidates, 14_000)).to.equal(kept)
    expect(additionalSources.update(900, candidates, 14_400)).to.deep.equal([])
    expect(additionalSources.update(9000, [], 20_000)).to.deep.equal([])
  })
})
