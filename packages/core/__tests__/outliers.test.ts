import { expect } from 'chai'
import type { Attempt, AttemptEnd } from '../src/types/dispatch.js'
import { createUpstreams, Harness } from './dispatcherHarness.js'

type Behaviour = (attempt: Attempt) => { kind: AttemptEnd['kind'], latencyMs: number, serverError?: boolean } | undefined

/** Submits one call per millisecond to upstreams with the given behaviour; counts attempts per upstream in the last quarter. */
function run (harness: Harness, calls: number, behaviour: Behaviour): Map<string, number> {
  const due: { at: number, attempt: Attempt, end: AttemptEnd }[] = []
  const late = new Map<string, number>()
  let nextIndex = harness.started.length
  for (let step = 0; step < calls; step++) {
    harness.submit()
    harness.advance(1)
    for (; nextIndex < harness.started.length; nextIndex++) {
      const attempt = harness.started[nextIndex]!
      if (step > calls * 0.75) late.set(attempt.upstreamId, (late.get(attempt.upstreamId) ?? 0) + 1)
      const response = behaviour(attempt)
      if (response === undefined) continue
      due.push({ at: harness.clock.now() + response.latencyMs, attempt, end: { kind: response.kind, serverError: response.serverError ?? false } })
    }
    for (const item of due.filter(each => each.at <= harness.clock.now())) {
      due.splice(due.indexOf(item), 1)
      harness.dispatcher.onAttemptEnd(item.attempt.id, item.end)
    }
  }
  return late
}

const FAULTY = 'u001'
const HEALTHY = { kind: 'answered', latencyMs: 5 } as const

interface FaultCase {
  readonly name: string
  readonly faultyBehaviour: ReturnType<Behaviour>
}

const FAULT_CASES: FaultCase[] = [
  { name: 'refuses connections', faultyBehaviour: { kind: 'notRun', latencyMs: 0 } },
  { name: 'fails fast', faultyBehaviour: { kind: 'failed', latencyMs: 0 } },
  { name: 'returns server errors fast', faultyBehaviour: { kind: 'answered', latencyMs: 0, serverError: true } },
  { name: 'truncates', faultyBehaviour: { kind: 'truncated', latencyMs: 5 } },
  { name: 'becomes ten times slower', faultyBehaviour: { kind: 'answered', latencyMs: 50 } },
  { name: 'hangs', faultyBehaviour: undefined }
]

describe('OutlierDetector', () => {
  for (const { name, faultyBehaviour } of FAULT_CASES) {
    // Guards against an upstream that attracts calls because it fails fast, and against calls lost to one that hangs.
    it(`stops sending work to an upstream that ${name}, and resumes after its recovery`, () => {
      const harness = Harness.create(8)
      harness.warmUp(200)
      let isFaulty = true
      const behaviour: Behaviour = attempt => isFaulty && attempt.upstreamId === FAULTY ? faultyBehaviour : HEALTHY
      const whileFaulty = run(harness, 2_000, behaviour)
      expect(whileFaulty.get(FAULTY) ?? 0).to.be.below(15)
      isFaulty = false
      run(harness, 6_000, behaviour)
      const after = run(harness, 4_000, behaviour)
      expect(after.get(FAULTY) ?? 0).to.be.above(60)
      expect(harness.dispatcher.snapshot().upstreams.every(each => !each.ejected)).to.equal(true)
    })
  }

  // Guards against ejecting so much capacity that the remaining upstreams are overloaded.
  it('ejects at most the configured share of the slots', () => {
    const harness = Harness.create(10)
    harness.warmUp(200)
    let largest = 0
    for (let round = 0; round < 50; round++) {
      run(harness, 20, () => ({ kind: 'failed', latencyMs: 1 }))
      largest = Math.max(largest, harness.dispatcher.snapshot().upstreams.filter(each => each.ejected).length)
    }
    expect(largest).to.equal(3)
  })

  // Guards against a new upstream that is overloaded before it is warm, and against one that never gets work.
  it('starts a new upstream with a slow start', () => {
    const harness = Harness.create(4)
    harness.warmUp(100)
    harness.dispatcher.setUpstreams(createUpstreams(5))
    harness.warmUp(1)
    const fresh = () => harness.dispatcher.snapshot().upstreams.find(each => each.id === 'u004')!
    expect(fresh()).to.include({ warmth: 0.1, limit: 2 })
    const late = run(harness, 4_000, () => HEALTHY)
    expect(fresh().warmth).to.equal(1)
    expect(late.get('u004') ?? 0).to.be.above(60)
  })
})

describe('backoff after refused connections', () => {
  // Guards against calls that use up all their attempts within a millisecond while every upstream restarts.
  it('keeps calls waiting during the backoff and starts them afterwards', () => {
    const harness = Harness.create(2)
    harness.warmUp()
    const before = harness.started.length
    for (let step = 0; step < 4; step++) {
      const id = harness.submit()
      const attempt = harness.started.find(each => each.callId === id)
      if (attempt !== undefined) harness.end(attempt, 'notRun')
    }
    const refused = harness.started.length - before
    const waiting = harness.submit()
    expect(harness.started.length - before).to.equal(refused)
    expect(harness.results.has(waiting)).to.equal(false)
    harness.advance(80)
    expect(harness.started.some(each => each.callId === waiting)).to.equal(true)
  })

  // Guards against using up the retry budget on an upstream that stays down, and against noticing its return late: the
  // pauses grow with the length of the outage.
  it('tries less often the longer connections are refused', () => {
    const harness = Harness.create(1)
    harness.warmUp()
    const askedAt: number[] = []
    let ended = harness.started.length
    for (let ms = 0; ms < 300; ms++) {
      harness.submit()
      for (; ended < harness.started.length; ended++) {
        if (askedAt.at(-1) !== ms) askedAt.push(ms)
        harness.end(harness.started[ended]!, 'notRun')
      }
      harness.advance(1)
    }
    const pauses = askedAt.slice(1).map((at, index) => at - askedAt[index]!)
    expect(Math.min(...pauses)).to.be.within(9, 11)
    expect(pauses.at(-1)!).to.be.greaterThan(40)
  })
})
