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

/** Responses of each form, of which the second copy may be cut. */
const COPIES: Readonly<Record<string, string>> = {
  'a length': 'HTTP/1.1 200 OK\r\nX-Id: copy\r\nKeep-Alive: timeout=5\r\nContent-Length: 15\r\n\r\nfifteen letters',
  'chunks and a trailer': 'HTTP/1.1 200 OK\r\nX-Id: copy\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n10\r\nsixteen letters.\r\n0\r\nX-Trailer: t\r\n\r\n',
  'no body': 'HTTP/1.1 204 No Content\r\nX-Id: copy\r\n\r\n',
  'a folded header': 'HTTP/1.1 200 OK\r\nX-Id: copy\r\nX-Folded: one\r\n two\r\nContent-Length: 4\r\n\r\nfour',
  'an interim response': 'HTTP/1.1 100 Continue\r\nX-Hint: early\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: copy\r\nContent-Length: 4\r\n\r\nfour'
}

const NEXT = 'HTTP/1.1 500 Failed\r\nX-Id: own\r\nContent-Length: 40\r\n\r\nforty letters that are no response at all'

/** The heads that a parser reports for the bytes. */
function headsOf (chunks: readonly string[]): string[] {
  return [...parse(chunks.map(chunk => Buffer.from(chunk, 'latin1'))).matchAll(/\[(.*?)\]/g)].map(match => match[1] as string)
}

describe('the parser of responses', () => {
  for (const [form, copy] of Object.entries(COPIES)) {
    // Guards against a head that is made of two: the status of one response and the headers of another.
    it(`reports no head that was not written, wherever a copy with ${form} is cut before the next response`, () => {
      const written = new Set([...headsOf([copy]), ...headsOf([NEXT])])
      expect(written.size).to.equal(2)
      for (let length = 0; length <= copy.length; length++) {
        const cut = copy.slice(0, length)
        const reported = [...headsOf([cut, NEXT]), ...headsOf([cut + NEXT])]
        expect(reported.filter(head => !written.has(head)), `cut at ${length}`).to.deep.equal([])
      }
    })
  }

  // Guards against the head of a response that is read as the trailers of a cut copy, while its caller waits in vain.
  it('refuses a status line within a trailer', () => {
    const copy = COPIES['chunks and a trailer'] as string
    expect(parse([Buffer.from(copy.slice(0, -'\r\n\r\n'.length) + NEXT, 'latin1')])).to.include(' false')
  })

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
