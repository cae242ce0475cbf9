import { expect } from 'chai'
import type { LoadReport } from '../src/types/upstream.js'
import { Harness } from './dispatcherHarness.js'

const SERVICE_MS = 10

interface Case {
  readonly name: string
  /** Age of the VM's other request at the upstream when the report arrives. */
  readonly ownAgeMs: number
  readonly report: Partial<LoadReport>
  readonly isTrusted: boolean
}

const CASES: Case[] = [
  { name: 'trusts a report that includes its own request', ownAgeMs: 5, report: { inFlight: 1 }, isTrusted: true },
  { name: 'ignores a request too recent to be in the report', ownAgeMs: 1, report: { inFlight: 0 }, isTrusted: true },
  { name: 'loses trust in a report that omits its own request', ownAgeMs: 5, report: { inFlight: 0 }, isTrusted: false }
]

/** Trust in u000 after `count` reports of the given kind. */
function trustAfter (harness: Harness, { ownAgeMs, report }: Pick<Case, 'ownAgeMs' | 'report'>, count: number): number {
  for (let index = 0; index < count; index++) {
    const [other, reporting] = [harness.attemptOf(harness.submit()), harness.attemptOf(harness.submit())]
    harness.clock.advance(ownAgeMs)
    harness.end(reporting, 'answered', { report: harness.report(report) })
    harness.clock.advance(SERVICE_MS)
    harness.end(other)
  }
  return harness.dispatcher.snapshot().upstreams[0]!.reportTrust
}

describe('trust in load reports', () => {
  for (const each of CASES) {
    // Guards against wrong reports that keep influencing choices although this VM's own requests disprove them.
    it(each.name, () => {
      const trust = trustAfter(Harness.create(1), each, 4)
      if (each.isTrusted) expect(trust).to.equal(1)
      else expect(trust).to.be.lessThan(0.1)
    })
  }

  // Guards against an upstream that stays distrusted after its reports have become right again.
  it('regains trust through consistent reports', () => {
    const harness = Harness.create(1)
    trustAfter(harness, CASES[2]!, 4)
    expect(trustAfter(harness, CASES[0]!, 60)).to.be.greaterThan(0.9)
  })

  // Guards against an upstream that stays idle because it always reports itself full.
  it('loses trust in a reported queue when a response comes too early for it', () => {
    const harness = Harness.create(1)
    harness.warmUp(50, SERVICE_MS)
    const full = { inFlight: 4, queued: 8 }
    for (let index = 0; index < 4; index++) {
      const attempt = harness.attemptOf(harness.submit())
      harness.clock.advance(SERVICE_MS / 2)
      harness.end(attempt, 'answered', { report: harness.report(full) })
    }
    expect(harness.dispatcher.snapshot().upstreams[0]!.reportTrust).to.be.lessThan(0.3)
  })
})
