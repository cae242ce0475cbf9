import { expect } from 'chai'
import fc from 'fast-check'
import { ResponseParser } from '../src/core/upstreams/responseParser.js'

const BYTES = Buffer.from([
  'HTTP/1.1 200 OK\r\nX-Id: first\r\nContent-Length: 5\r\n\r\nwhole',
  'HTTP/1.1 100 Continue\r\n\r\n',
  'HTTP/1.1 503 Full\r\nX-Id: second\r\nX-Name: v\u00edtett\r\nContent-Length: 0\r\n\r\n',
  'HTTP/1.1 200 OK\r\nX-Id: third\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: t\r\n\r\n'
].join(''), 'latin1')

/** The heads, bodies and ends that a parser reports, and whether it took all bytes. */
function parse (chunks: readonly Buffer[]): string {
  let events = ''
  const parser = ResponseParser.create({
    onHead: ({ status, rawHeaders }) => (events += `[${status} ${rawHeaders.join()}]`),
    onData: chunk => (events += chunk.toString('latin1')),
    onComplete: () => (events += '.')
  }, () => false)
  const isValid = chunks.every(chunk => parser.parse(chunk))
  return `${events} ${isValid}`
}

describe('the parser of responses', () => {
  // Guards against a response that differs with the segments in which it arrives.
  it('reports the same however the bytes are split', () => {
    const whole = parse([BYTES])
    expect(whole).to.include('whole.').and.include('abcde.').and.include('true')
    fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: BYTES.length }), { maxLength: 12 }), cuts => {
      const bounds = [0, ...cuts.sort((one, other) => one - other), BYTES.length]
      return parse(bounds.slice(1).map((end, index) => BYTES.subarray(bounds[index], end))) === whole
    }), { seed: 1 })
  })

  // Guards against an exception in a connection's handler, where only a refusal is expected.
  it('takes or refuses the bytes, and throws nothing, whichever of them is changed', () => {
    fc.assert(fc.property(fc.nat(BYTES.length - 1), fc.nat(255), (index, byte) => {
      const changed = Buffer.from(BYTES)
      changed[index] = byte
      parse([changed])
    }), { seed: 1, numRuns: 2000 })
  })
})
