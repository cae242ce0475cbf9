import { expect } from 'chai'
import { FakeClock } from '@cowsliplead/core/types/clock.js'
import { WorkReport, type WorkCounters } from '../src/core/supervision/workReport.js'

describe('work report', () => {
  it('logs what was done since the last report and its processor time', () => {
    const clock = FakeClock.create(1000)
    const lines: Array<Record<string, unknown>> = []
    const write = (_message: string, fields: Record<string, unknown>): void => void lines.push(fields)
    let counters: WorkCounters = { requests: 5, probes: 0, feedReceived: 40, feedSent: 0, storeReads: 3, logWrites: 2 }
    const report = WorkReport.create(clock, { info: write, warn: write, error: write } as never, () => counters)
    report.start()
    counters = { ...counters, requests: 7, feedReceived: 140 }
    clock.advance(10_000)
    report.report()
    report.stop()
    expect(lines).to.have.length(1)
    expect(lines[0]).to.include({ periodMs: 10_000, requests: 2, feedReceived: 100, storeReads: 0 })
    expect(lines[0]?.['processorMs']).to.be.at.least(0)
  })
})
