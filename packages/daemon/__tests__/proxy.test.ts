import { expect } from 'chai'
import type { RequestListener } from 'node:http'
import { call, reply, Rig } from './harness.js'

const SHORT = 'a complete answer'

const complete: RequestListener = (_request, response) => reply(response, SHORT)

const crossed: RequestListener = (_request, response) => {
  response.setHeader('x-request-id', 'of another call')
  reply(response, 'of another caller')
}

const unidentified: RequestListener = (_request, response) => {
  response.removeHeader('x-request-id')
  reply(response, 'of nobody')
}

const truncated: RequestListener = (_request, response) => {
  response.writeHead(200, { 'content-length': 100 })
  response.write('a part')
  setTimeout(() => response.destroy(), 5)
}

const unframed: RequestListener = (_request, response) => {
  response.useChunkedEncodingByDefault = false
  response.removeHeader('transfer-encoding')
  response.shouldKeepAlive = false
  response.end('ends with the connection')
  response.socket?.end()
}

const crashing: RequestListener = (_request, response) => {
  response.socket?.destroy()
}

const shedding: RequestListener = (_request, response) => {
  response.setHeader('x-not-run', '1')
  reply(response, 'busy', 503)
}

interface FaultCase {
  readonly fault: string
  readonly listener: RequestListener
  /** Result code of a POST, for which no other upstream may be tried. */
  readonly code: string
  readonly status: number
}

const FAULTS: readonly FaultCase[] = [
  { fault: 'carries another id', listener: crossed, code: '202', status: 502 },
  { fault: 'carries no id', listener: unidentified, code: '202', status: 502 },
  { fault: 'is cut short', listener: truncated, code: '203', status: 502 },
  { fault: 'never comes because the upstream crashed', listener: crashing, code: '200', status: 502 }
]

describe('proxy', () => {
  let rig: Rig

  afterEach(() => rig.close())

  for (const { fault, listener, code, status } of FAULTS) {
    // Guards against delivering a response that is incomplete or belongs to another call.
    it(`retries a lookup on another upstream when a response ${fault}`, async () => {
      rig = await Rig.create(listener, complete)
      const daemon = await rig.start()
      for (let i = 0; i < 4; i++) {
        const { status, body } = await call(daemon.ports.public, 'GET', '/permits/1')
        expect([status, body]).to.deep.equal([200, SHORT])
      }
    })

    // Guards against retrying a non-idempotent call that may have run.
    it(`does not retry an issue request whose response ${fault}`, async () => {
      let runs = 0
      rig = await Rig.create((request, response) => {
        runs++
        listener(request, response)
      }, (request, response) => {
        runs++
        listener(request, response)
      })
      const daemon = await rig.start()
      const answer = await call(daemon.ports.public, 'POST', '/issues/1', { body: 'x' })
      expect(runs).to.equal(1)
      expect(answer.status).to.equal(status)
      expect(answer.headers['x-cowsliplead-code']).to.equal(code)
      expect(JSON.parse(answer.body)).to.include({ code: Number(code), outcome: 'outcomeUnknown' })
    })
  }

  // Guards against mistaking the close of a crashing upstream's connection for the end of the response.
  it('does not deliver a close-delimited response', async () => {
    rig = await Rig.create(unframed)
    const daemon = await rig.start()
    const answer = await call(daemon.ports.public, 'POST', '/issues/1', { body: 'x' })
    expect(answer.headers['x-cowsliplead-code']).to.equal('203')
  })

  // Guards against failing a call, or reporting an unknown outcome, although the upstream stated that it did not run.
  it('retries an issue request on another upstream when one refused to run it', async () => {
    rig = await Rig.create(shedding, complete)
    const daemon = await rig.start()
    const answers = await Promise.all(Array.from({ length: 4 }, () => call(daemon.ports.public, 'POST', '/issues/1', { body: 'x' })))
    expect(answers.map(answer => answer.status)).to.deep.equal([200, 200, 200, 200])
  })

  // Guards against a body that is lost or only partly sent when a call is retried on another upstream.
  it('sends a buffered body in full on a retry', async () => {
    const body = Buffer.alloc(200_000, 'b')
    let received = 0
    rig = await Rig.create(shedding, (request, response) => {
      request.on('data', (chunk: Buffer) => {
        received += chunk.length
      })
      request.on('end', () => reply(response, String(received)))
    })
    const daemon = await rig.start()
    const answers: string[] = []
    for (let i = 0; i < 3; i++) answers.push((await call(daemon.ports.public, 'POST', '/issues/1', { body })).body)
    expect(answers).to.deep.equal(['200000', '400000', '600000'])
  })

  // Guards against limiting the size of uploads, and against treating a slow upload as a stall.
  it('streams a long body', async () => {
    const body = Buffer.alloc(3_000_000, 'b')
    rig = await Rig.create((request, response) => {
      let received = 0
      request.on('data', (chunk: Buffer) => {
        received += chunk.length
      })
      request.on('end', () => reply(response, String(received)))
    })
    const daemon = await rig.start()
    const answer = await call(daemon.ports.public, 'POST', '/issues/1', { body, headers: { 'transfer-encoding': 'chunked' } })
    expect(answer.body).to.equal('3000000')
  })

  // Guards against forwarding hop-by-hop headers and headers that only the daemon may set.
  it('sets ids and deadlines and removes hop-by-hop headers', async () => {
    rig = await Rig.create((request, response) => {
      response.setHeader('x-load-report', '{"inFlight":0,"queued":0,"slots":4,"draining":false}')
      response.setHeader('x-kept', 'yes')
      reply(response, JSON.stringify({ ...request.headers, now: Date.now() }))
    })
    const daemon = await rig.start()
    const headers = { connection: 'close, x-listed', 'x-listed': '1', te: 'trailers', 'x-request-id': 'mine', 'x-kept': 'yes' }
    const answer = await call(daemon.ports.public, 'GET', '/permits/1', { headers })
    const seen = JSON.parse(answer.body) as Record<string, string>
    expect(seen).to.not.have.any.keys('x-listed', 'te')
    expect(seen['x-kept']).to.equal('yes')
    expect(seen['x-request-id']).to.match(/^mine~vm0-/)
    expect(Number(seen['x-deadline-at'])).to.be.within(Number(seen.now), Number(seen.now) + 5000)
    expect(answer.headers).to.include({ 'x-request-id': 'mine', 'x-kept': 'yes' })
    expect(answer.headers).to.not.have.property('x-load-report')
  })

  // Guards against error responses that do not state whether the call ran.
  it('rejects calls without a service or upstream as not run', async () => {
    rig = await Rig.create()
    const daemon = await rig.start()
    const refusals = [['GET', '/other', 404, 100], ['GET', '/permits/1', 503, 102]] as const
    for (const [method, path, status, code] of refusals) {
      const answer = await call(daemon.ports.public, method, path)
      expect([answer.status, answer.headers['x-cowsliplead-code']]).to.deep.equal([status, String(code)])
      expect(JSON.parse(answer.body)).to.include({ code, outcome: 'notRun' })
    }
  })
})
