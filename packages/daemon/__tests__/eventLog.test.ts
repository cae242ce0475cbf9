import { expect } from 'chai'
import { FakeClock } from '@cowsliplead/core/types/clock.js'
import { BoundedOutput, type FdWriter } from '../src/core/gateway/boundedOutput.js'
import { EventLog } from '../src/core/gateway/eventLog.js'
import { sleep } from '../src/utils/sleep.js'

const LINE = `${'x'.repeat(1023)}\n`

describe('bounded output', () => {
  // Guards against a log reader that stops reading and so blocks the daemon or exhausts its memory.
  it('drops and counts lines without blocking while the reader is stuck', () => {
    const output = BoundedOutput.create(() => {})
    for (let i = 0; i < 300; i++) output.write(LINE)
    expect(output.dropped).to.equal(300 - 256)
  })

  it('continues after a partial write', () => {
    const written: string[] = []
    const writeHalf: FdWriter = (bytes, done) => {
      const length = Math.ceil(bytes.length / 2)
      written.push(bytes.toString('utf8', 0, length))
      done(null, length)
    }
    const output = BoundedOutput.create(writeHalf)
    output.write('0123456789\n')
    expect(written.join('')).to.equal('0123456789\n')
  })

  // Guards against a write to another thread for each line, which costs a VM a tenth of its processor time.
  it('writes the lines of a moment at once', async () => {
    const written: string[] = []
    const output = BoundedOutput.create((bytes, done) => {
      written.push(bytes.toString())
      done(null, bytes.length)
    }, 10)
    for (let i = 0; i < 20; i++) output.write(`${i}\n`)
    expect(written).to.deep.equal([])
    await sleep(50)
    expect(written).to.have.length(1)
    expect(written[0]?.split('\n')).to.have.length(21)
  })

  it('writes at once what waits when the process ends', async () => {
    const written: string[] = []
    const output = BoundedOutput.create((bytes, done) => {
      written.push(bytes.toString())
      setImmediate(() => done(null, bytes.length))
    }, 60_000)
    output.write('last\n')
    await output.flush()
    expect(written).to.deep.equal(['last\n'])
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

  // Guards against logging costs that grow with the request rate.
  it('limits lines about requests and logs how many were omitted', () => {
    const { log, lines, clock } = create()
    for (let i = 0; i < 310; i++) log.logRequest('result', { request: String(i) })
    log.logger.info('configuration in force', { version: 2 })
    clock.advance(1_000)
    log.logRequest('result', { request: 'next' })
    expect(lines.filter(({ message }) => message === 'result')).to.have.length(301)
    expect(lines.find(({ message }) => message === 'request log lines omitted')).to.include({ count: 10 })
    expect(lines.filter(({ message }) => message === 'configuration in force')).to.have.length(1)
    expect(log.omitted).to.equal(10)
  })

  // Guards against fields that are computed for lines that are not written.
  it('computes the fields of a line only if the line is written', () => {
    const { log, lines } = create()
    let computed = 0
    for (let i = 0; i < 310; i++) log.logRequest('result', () => ({ request: String(++computed) }))
    expect([computed, lines.length]).to.deep.equal([300, 300])
  })
})
