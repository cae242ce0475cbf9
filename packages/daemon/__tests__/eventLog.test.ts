import { expect } from 'chai'
import { FakeClock } from '@cowsliplead/core/types/clock.js'
import { BoundedOutput, type FdWriter } from '../src/core/gateway/boundedOutput.js'
import { EventLog } from '../src/core/gateway/eventLog.js'

const LINE = `${'x'.repeat(1023)}\n`

describe('output of the log', () => {
  // Guards against a reader of the log that stops reading and so stops the daemon, or fills its memory.
  it('drops and counts lines while nobody reads, without blocking', () => {
    const output = BoundedOutput.create(() => {})
    for (let i = 0; i < 300; i++) output.write(LINE)
    expect(output.dropped).to.equal(300 - 256)
  })

  it('goes on where a write took only a part', () => {
    const written: string[] = []
    const takeHalf: FdWriter = (bytes, done) => {
      const length = Math.ceil(bytes.length / 2)
      written.push(bytes.toString('utf8', 0, length))
      done(null, length)
    }
    const output = BoundedOutput.create(takeHalf)
    output.write('0123456789\n')
    expect(written.join('')).to.equal('0123456789\n')
  })

  it('counts lines that cannot be written', () => {
    const output = BoundedOutput.create((_bytes, done) => done(new Error('closed'), 0))
    output.write(LINE)
    expect(output.dropped).to.equal(1)
  })
})

describe('event log', () => {
  function create (): { log: EventLog, lines: Array<Record<string, unknown>>, clock: FakeClock } {
    const lines: Array<Record<string, unknown>> = []
    const clock = FakeClock.create(1_000)
    const output = BoundedOutput.create((bytes, done) => {
      for (const line of bytes.toString().trim().split('\n')) lines.push(JSON.parse(line) as Record<string, unknown>)
      done(null, bytes.length)
    })
    return { log: EventLog.create('vm', clock, output), lines, clock }
  }

  // Guards against a log that costs more the more requests arrive.
  it('bounds lines about requests and tells how many were left out', () => {
    const { log, lines, clock } = create()
    for (let i = 0; i < 310; i++) log.request('result', { request: String(i) })
    log.journal.info('configuration in force', { version: 2 })
    clock.advance(1_000)
    log.request('result', { request: 'next' })
    expect(lines.filter(({ message }) => message === 'result')).to.have.length(301)
    expect(lines.find(({ message }) => message === 'request lines left out')).to.include({ count: 10 })
    expect(lines.filter(({ message }) => message === 'configuration in force')).to.have.length(1)
    expect(log.omitted).to.equal(10)
  })
})
