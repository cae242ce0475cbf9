import { expect } from 'chai'
import { FleetRateDivision } from '../src/core/limits/rateDivision.js'
import { UpstreamRateLimit } from '../src/core/limits/upstreamRateLimit.js'
import { FleetMembers } from '../src/core/membership/fleetMembers.js'
import { UpstreamDirectory } from '../src/core/membership/upstreamDirectory.js'
import { SeededRandom } from '../src/types/randomSource.js'
import type { Upstream } from '../src/types/upstream.js'
import type { UpstreamEntry } from '../src/types/upstreamEntry.js'
import { createUpstreams, Harness, LOOKUP } from './dispatcherHarness.js'

const WINDOW_MS = 1000
const STEP_MS = 20
const WARMUP_MS = 3000
const DOMAINS = 3
/** `SEEDS=50 npm test` plays more. */
const SEEDS = Number(process.env['SEEDS'] ?? 8)

/** What a cold upstream may get within a second. */
function allowedInSecond (requestsPerSecond: number): number {
  return requestsPerSecond * 1.5 + 8
}

interface Vm {
  readonly vmId: string
  readonly members: FleetMembers
  readonly random: SeededRandom
}

/** A source that has been in use for a while: the first numbers of similar seeds are similar. */
function usedRandom (seed: number): SeededRandom {
  const random = SeededRandom.create(seed)
  for (let index = 0; index < 100; index++) random.next()
  return random
}

function createFleet (size: number, known: number, seed: number): Vm[] {
  return Array.from({ length: size }, (_, index) => {
    const vmId = `vm${index}`
    const members = FleetMembers.create(vmId)
    for (let other = 0; other < known; other++) {
      members.put({ vmId: `vm${other}`, feedAddress: `10.0.0.1:${7000 + other}`, failureDomain: `domain${other % DOMAINS}` })
    }
    return { vmId, members, random: usedRandom(seed * 1000 + index) }
  })
}

function coldLimit ({ vmId, members, random }: Vm, upstream: Upstream, requestsPerSecond: number): UpstreamRateLimit {
  const limit = UpstreamRateLimit.create({ upstream, division: FleetRateDivision.create(members, vmId), random })
  limit.setWarmup({ durationMs: WARMUP_MS, requestsPerSecond })
  limit.setColdUntil(WARMUP_MS)
  return limit
}

/** Times at which VMs that always have a call to send use what their limits allow while the upstream is cold. */
function sendWhileCold (limits: readonly UpstreamRateLimit[]): number[] {
  const sentAt: number[] = []
  for (let now = 0; now < WARMUP_MS; now += STEP_MS) {
    for (const limit of limits) {
      for (; limit.allows(now); limit.onRequest(now)) sentAt.push(now)
    }
  }
  return sentAt
}

function mostInSecond (sentAt: readonly number[]): number {
  return Math.max(0, ...sentAt.map(from => sentAt.filter(at => at >= from && at < from + WINDOW_MS).length))
}

describe('upstreams of a failure domain that comes back cold', () => {
  const upstreams = createUpstreams(10).map(upstream => ({ ...upstream, failureDomain: 'domain0' }))

  for (const vms of [1, 6, 40, 56, 124, 300]) {
    for (const rate of [3.7, 7.6]) {
      // Guards against a fleet that crashes cold upstreams, and against one that leaves them idle while others are busy.
      it(`get at most ${rate} requests a second each over ${vms} busy VMs, and most of that`, () => {
        for (let seed = 1; seed <= Math.max(1, SEEDS / 4); seed++) {
          const fleet = createFleet(vms, vms, seed)
          const sent = upstreams.map(upstream => sendWhileCold(fleet.map(vm => coldLimit(vm, upstream, rate))))
          for (const sentAt of sent) expect(mostInSecond(sentAt), `seed ${seed}`).to.be.at.most(allowedInSecond(rate))
          const perUpstream = sent.flat().length / upstreams.length
          expect(perUpstream, `seed ${seed}`).to.be.at.least(rate * WARMUP_MS / 1000 * 0.7)
        }
      })
    }
  }

  // Guards against VMs that have just started: they do not know the fleet, and many of them start together.
  it('are not overrun by VMs that know no members yet', () => {
    for (let seed = 1; seed <= SEEDS; seed++) {
      const fleet = [...createFleet(40, 40, seed), ...createFleet(30, 0, seed)]
      const limits = fleet.map(vm => coldLimit(vm, upstreams[0] as Upstream, 7.6))
      expect(mostInSecond(sendWhileCold(limits)), `seed ${seed}`).to.be.at.most(allowedInSecond(7.6))
    }
  })
})

describe('a cold upstream', () => {
  const SERVICE_MS = 10

  /** Submits a call every 5 ms for `ms` and returns how many each upstream got. */
  function play (harness: Harness, ms: number): Map<string, number> {
    const counts = new Map<string, number>()
    const first = harness.started.length
    for (let at = 0; at < ms; at += 5) {
      const id = harness.submit(LOOKUP)
      const attempt = harness.started.at(-1)
      if (attempt?.callId === id) setEnd(harness, id)
      harness.advance(5)
    }
    for (const { upstreamId } of harness.started.slice(first)) counts.set(upstreamId, (counts.get(upstreamId) ?? 0) + 1)
    return counts
  }

  /** Ends the attempt of an earlier call, so that each takes `SERVICE_MS`. */
  function setEnd (harness: Harness, id: number): void {
    const earlier = harness.started.find(({ callId }) => callId === id - SERVICE_MS / 5)
    if (earlier !== undefined) harness.end(earlier)
  }

  function harnessWith (upstreams: readonly Upstream[]): Harness {
    const harness = Harness.create(4)
    harness.dispatcher.setWarmup({ durationMs: WARMUP_MS, requestsPerSecond: 5 })
    harness.warmUp()
    harness.dispatcher.setUpstreams(upstreams)
    return harness
  }

  // Guards against an upstream that becomes cold in the middle of its life and goes on getting all requests.
  it('gets no more than its rate although it was warm before, and calls go elsewhere', () => {
    const harness = harnessWith(createUpstreams(4))
    harness.dispatcher.onWarmupNotice('u000', WARMUP_MS)
    const counts = play(harness, WARMUP_MS - 100)
    expect(counts.get('u000') ?? 0).to.be.at.most(5 * 3 + 1)
    expect([...counts.values()].reduce((sum, count) => sum + count)).to.be.at.least(500)
    expect(harness.dispatcher.snapshot().upstreams[0]?.isCold).to.equal(true)
    harness.advance(200)
    expect(harness.dispatcher.snapshot().upstreams[0]?.isCold).to.equal(false)
  })

  // Guards against a limit in deployments that set none.
  it('gets any number of requests where its service limits none', () => {
    const harness = harnessWith(createUpstreams(1))
    harness.dispatcher.setWarmup(undefined)
    harness.dispatcher.onWarmupNotice('u000', WARMUP_MS)
    for (let index = 0; index < 4; index++) harness.submit()
    expect(harness.started.slice(-4)).to.have.length(4)
    expect(harness.dispatcher.snapshot().upstreams[0]?.isCold).to.equal(false)
  })

  // Guards against callers that wait for upstreams that are all cold.
  it('has calls refused at once with a Retry-After where all others are cold too', () => {
    const harness = harnessWith(createUpstreams(1))
    harness.dispatcher.onWarmupNotice('u000', WARMUP_MS)
    const ids = Array.from({ length: 20 }, () => harness.submit(LOOKUP))
    const refused = ids.map(id => harness.results.get(id)).filter(result => result?.kind === 'notRun')
    expect(refused.length).to.be.at.least(15)
    expect(refused.at(-1)).to.have.property('retryAfterMs').at.least(20)
  })
})

describe('warm-up in the entries of upstreams', () => {
  const ENTRY: UpstreamEntry = {
    id: 'u1', service: 'register', address: '10.0.0.1', port: 80, failureDomain: 'domain0', slots: 3, state: 'live', incarnation: 7, sequence: 1, warmupLeftMs: 0
  }

  function directoryWith (entry: UpstreamEntry): UpstreamDirectory {
    const directory = UpstreamDirectory.create({ renewalMs: 2000 })
    directory.put(entry, 0)
    return directory
  }

  // Guards against taking the warm-up of a running upstream for a heartbeat that changes nothing.
  it('begins anew in the middle of a life', () => {
    const directory = directoryWith(ENTRY)
    expect(directory.put({ ...ENTRY, sequence: 2, warmupLeftMs: 3000 }, 10_000)).to.equal('updated')
    expect(directory.get('u1')?.warmAt).to.equal(13_000)
  })

  // Guards against a warm-up that each late or repeated heartbeat prolongs.
  it('is not prolonged by heartbeats that are read late or again', () => {
    const directory = directoryWith({ ...ENTRY, warmupLeftMs: 3000 })
    expect(directory.put({ ...ENTRY, sequence: 2, warmupLeftMs: 1500 }, 1900)).to.equal('renewed')
    expect(directory.put({ ...ENTRY, sequence: 2, warmupLeftMs: 1500 }, 5000)).to.equal('renewed')
    expect(directory.get('u1')?.warmAt).to.equal(3000)
  })
})

describe('upstreams whose failure domain was evacuated', () => {
  // Guards against a flood on upstreams that became cold before the evacuation ended and have not said so yet.
  it('get no more than the warm-up rate after the evacuation', () => {
    const harness = Harness.create(2)
    harness.dispatcher.setWarmup({ durationMs: WARMUP_MS, requestsPerSecond: 5 })
    harness.dispatcher.setEvacuatedDomains(new Set(['domain0']))
    harness.warmUp()
    harness.dispatcher.setEvacuatedDomains(new Set())
    expect(harness.dispatcher.snapshot().upstreams.map(({ isCold }) => isCold)).to.deep.equal([true, false])
    harness.advance(WARMUP_MS)
    expect(harness.dispatcher.snapshot().upstreams.some(({ isCold }) => isCold)).to.equal(false)
  })
})
