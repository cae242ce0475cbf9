import { expect } from 'chai'
import { UpstreamReachability, type ContactFailure, type ReachabilityState } from '../src/core/handover/upstreamReachability.js'
import { FakeClock } from '../src/types/clock.js'
import { SeededRandom } from '../src/types/randomSource.js'
import type { Upstream } from '../src/types/upstream.js'

const TICK_MS = 50
/** Requests of a small VM: one in five ticks. */
const TICKS_PER_REQUEST = 5
const PROBE_TIMEOUT_MS = 250
const CONNECT_TIMEOUT_MS = 500
const SERVICES = ['permits', 'fees']

/** What happens to a request or probe: a response or a failure after a time, or nothing at all. */
interface Fate {
  readonly afterMs: number
  readonly failure?: ContactFailure
  readonly onNewConnection?: boolean
}

type Behaviour = (upstream: Upstream, isProbe: boolean, random: number) => Fate | undefined

const answers: Behaviour = (_upstream, isProbe, random) => ({ afterMs: isProbe ? 5 : 170 + random * 110 })
const hangs: Behaviour = (_upstream, isProbe) => isProbe ? { afterMs: PROBE_TIMEOUT_MS, failure: 'silent' } : undefined
const connectsHang: Behaviour = (_upstream, isProbe) =>
  isProbe ? { afterMs: PROBE_TIMEOUT_MS, failure: 'silent' } : { afterMs: CONNECT_TIMEOUT_MS, failure: 'unconnected' }
const refuses: Behaviour = () => ({ afterMs: 1, failure: 'unconnected' })
const resets: Behaviour = () => ({ afterMs: 1, failure: 'lost' })
const sheds: Behaviour = () => ({ afterMs: 2 })
/** Half of the upstreams have open connections, which go on; new ones fail. */
const keptOnly: Behaviour = ({ port }, isProbe, random) =>
  port % 4 < 2 ? { ...answers({} as Upstream, isProbe, random), onNewConnection: false } as Fate : { afterMs: 1, failure: 'unconnected' }
const oneServiceDown: Behaviour = (upstream, isProbe, random) => upstream.service === 'fees' ? refuses(upstream, isProbe, random) : answers(upstream, isProbe, random)
const domainDown: Behaviour = (upstream, isProbe, random) => upstream.failureDomain === 'a' ? hangs(upstream, isProbe, random) : answers(upstream, isProbe, random)
const slow: Behaviour = (_upstream, isProbe, random) => ({ afterMs: isProbe ? 5 : 800 + random * 400 })

/** A VM that sends requests to upstreams of two services in three failure domains. */
class World {
  readonly clock = FakeClock.create(1000)
  readonly states: ReachabilityState[] = []
  probes = 0
  behaviour = answers
  private readonly random = SeededRandom.create(7)
  private readonly upstreams = this.createUpstreams()
  private readonly reachability = UpstreamReachability.create({
    clock: this.clock, random: this.random, onChange: ({ state }) => void this.states.push(state)
  })

  private due: Array<{ readonly at: number, readonly exchange: object, readonly fate: Fate }> = []
  private ticks = 0

  constructor () {
    this.reachability.setUpstreams(this.upstreams)
  }

  get state (): ReachabilityState {
    return this.reachability.state
  }

  run (durationMs: number, isBusy = true): void {
    for (const end = this.clock.now() + durationMs; this.clock.now() < end; this.clock.advance(TICK_MS)) {
      this.settle()
      this.reachability.tick()
      if (isBusy && this.ticks++ % TICKS_PER_REQUEST === 0) this.send(this.upstreams[Math.floor(this.random.next() * this.upstreams.length)] as Upstream, false)
      for (const id of this.reachability.takeProbes(() => true)) {
        this.probes += 1
        this.send(this.upstreams.find(upstream => upstream.id === id) as Upstream, true)
      }
    }
  }

  /** The process does not run; what becomes due meanwhile is handled at its end, failures first. */
  freeze (durationMs: number): void {
    this.clock.advance(durationMs)
    this.due.sort((one, other) => Number(other.fate.failure !== undefined) - Number(one.fate.failure !== undefined))
  }

  /** Everything in flight and everything sent from now on has this behaviour. */
  become (behaviour: Behaviour): void {
    this.behaviour = behaviour
    this.due = this.due.filter(() => behaviour !== hangs)
  }

  private createUpstreams (): Upstream[] {
    return Array.from({ length: 12 }, (_, index) => ({
      id: `u${index}`, service: SERVICES[index % 2] as string, address: '10.0.0.1', port: 7000 + index, failureDomain: 'abc'[index % 3] as string, state: 'live'
    }))
  }

  private send (upstream: Upstream, isProbe: boolean): void {
    const exchange = {}
    this.reachability.onStart(exchange, upstream.id, isProbe ? 'probe' : 'request')
    const fate = this.behaviour(upstream, isProbe, this.random.next())
    if (fate !== undefined) this.due.push({ at: this.clock.now() + fate.afterMs, exchange, fate })
  }

  private settle (): void {
    const now = this.clock.now()
    const ready = this.due.filter(({ at }) => at <= now)
    this.due = this.due.filter(({ at }) => at > now)
    for (const { exchange, fate } of ready) {
      if (fate.failure === undefined) this.reachability.onResponse(exchange, fate.onNewConnection ?? true)
      else this.reachability.onEnd(exchange, fate.failure)
    }
  }
}

describe('UpstreamReachability', () => {
  // Guards against a cut that is noticed too late for callers to be served from 3 s after it began.
  for (const [name, behaviour] of Object.entries({ hangs, connectsHang, refuses, resets })) {
    it(`notices within 1.5 s that every upstream ${name}, and the end of it within 0.5 s`, () => {
      const world = new World()
      world.run(3000)
      world.become(behaviour)
      world.run(1500)
      expect(world.state).to.equal('cutOff')
      world.run(5000)
      expect(world.state).to.equal('cutOff')
      world.become(answers)
      world.run(500)
      expect(world.state).to.equal('reachable')
    })
  }

  // Guards against a VM without traffic that does not notice when requests come, or sends probes without need.
  it('notices a cut with the first requests after a quiet time', () => {
    const quiet = new World()
    quiet.become(hangs)
    quiet.run(5000, false)
    expect([quiet.state, quiet.probes]).to.deep.equal(['reachable', 0])
    quiet.run(1500)
    expect(quiet.state).to.equal('cutOff')
  })

  // Guards against calls that are handed over although this VM reaches upstreams.
  for (const [name, behaviour] of Object.entries({ sheds, oneServiceDown, domainDown, slow, keptOnly })) {
    it(`is not cut off where upstreams answer in part: ${name}`, () => {
      const world = new World()
      world.run(3000)
      world.become(behaviour)
      world.run(20_000)
      expect(world.states).not.to.include('cutOff')
    })
  }

  // Guards against calls that fail while connections that are open still carry answers but no new one can be opened.
  it('is suspected while new connections fail and open ones answer', () => {
    const world = new World()
    world.run(1000)
    world.become(keptOnly)
    world.run(3000)
    expect(world.state).to.equal('suspected')
  })

  // Guards against a frozen process that takes its own timeouts for failures of the upstreams.
  it('is not cut off after the process did not run', () => {
    const world = new World()
    for (let round = 0; round < 20; round++) {
      world.run(1000 + round * 10)
      world.freeze(2000)
    }
    expect(world.states).not.to.include('cutOff')
  })

  // Guards against a flood of probes during a long cut.
  it('probes at most four times at once and four times a second', () => {
    const world = new World()
    world.become(hangs)
    world.run(10_000)
    expect(world.probes).to.be.within(30, 44)
  })

  // Guards against a deployment with a single upstream that never counts as cut off.
  it('needs no more upstreams than there are', () => {
    const clock = FakeClock.create()
    const reachability = UpstreamReachability.create({ clock, random: SeededRandom.create(1) })
    reachability.setUpstreams([{ id: 'u', service: 's', address: '10.0.0.1', port: 1, failureDomain: 'a', state: 'live' }])
    for (let i = 0; i < 12; i++) {
      const exchange = {}
      reachability.onStart(exchange, 'u', 'probe')
      reachability.onEnd(exchange, 'unconnected')
      clock.advance(TICK_MS)
      reachability.tick()
    }
    expect(reachability.state).to.equal('cutOff')
  })
})

describe('reachability of many upstreams', () => {
  // Guards against work that grows with VMs times upstreams: twenty times a second, on each VM, for all upstreams.
  it('does not look at all upstreams at each tick and response', () => {
    let reads = 0
    const upstreams = Array.from({ length: 200 }, (_, index): Upstream => ({
      id: `u${index}`, service: 'permits', address: '10.0.0.1', port: index, slots: 4, state: 'live', incarnation: 1, warmAt: 0,
      get failureDomain () {
        reads += 1
        return 'a'
      }
    }))
    const clock = FakeClock.create(1000)
    const reachability = UpstreamReachability.create({ clock, random: SeededRandom.create(1) })
    reachability.setUpstreams(upstreams)
    const readsOfList = reads
    for (let round = 0; round < 20; round++) {
      const exchange = {}
      reachability.onStart(exchange, `u${round}`, 'request')
      reachability.tick()
      reachability.onEnd(exchange, 'unconnected')
      clock.advance(50)
      reachability.tick()
    }
    expect(reads - readsOfList).to.be.below(20 * upstreams.length / 4)
  })
})
