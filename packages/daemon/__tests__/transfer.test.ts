import { createServer, type RequestListener, type Server } from 'node:http'
import { expect } from 'chai'
import { HandoverLimit } from '@cowsliplead/core/core/handover/handoverLimit.js'
import { ReceiverChoice } from '@cowsliplead/core/core/handover/receiverChoice.js'
import { FleetMembers } from '@cowsliplead/core/core/membership/fleetMembers.js'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import { CallerSink } from '../src/core/callers/callerSink.js'
import { Pipelines } from '../src/core/callers/pipelines.js'
import { readBody } from '../src/core/callers/requestBody.js'
import { MonotonicClock } from '../src/core/gateway/monotonicClock.js'
import { HandoverSender } from '../src/core/handover/handoverSender.js'
import { ProductDialect } from '../src/core/productDialect.js'
import { responseHeaders } from '../src/utils/headers.js'
import { call, open, portOf, reply, throwError, waitUntil } from './harness.js'
import { PipeliningCaller } from './pipeliningCaller.js'
import { BodyBudget } from '../src/core/overload/bodyBudget.js'
import { DEFAULT_MACHINE_LIMITS } from '../src/types/machineLimits.js'

const LARGE_BODY = Buffer.alloc(600_000, 'x')

/** More than what is held of a response and what two sockets hold. */
const MAX_TAKEN_BYTES = 16 * 1024 * 1024

/** Where a receiver that is not given up stops. */
const STOP_BYTES = 96 * 1024 * 1024

async function listen (listener: RequestListener): Promise<Server> {
  const server = createServer(listener)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return server
}

describe('the transfer of a request to another VM', () => {
  const servers: Server[] = []
  const ends: string[] = []

  afterEach(() => {
    ends.length = 0
    for (const server of servers.splice(0)) {
      server.closeAllConnections()
      server.close()
    }
  })

  /** Starts receivers, and a server that hands each request over; returns its port. */
  async function start (...receivers: RequestListener[]): Promise<number> {
    const clock = MonotonicClock.create()
    const members = FleetMembers.create('sender')
    for (const [index, receiver] of receivers.entries()) {
      const server = await listen(receiver)
      servers.push(server)
      members.put({ vmId: `vm${index}`, feedAddress: '127.0.0.1:1', peerAddress: `127.0.0.1:${portOf(server)}`, failureDomain: 'b' })
    }
    const choice = ReceiverChoice.create({ vmId: 'sender', failureDomain: 'a', members, clock, random: SeededRandom.create(1) })
    const limit = HandoverLimit.create({ clock, calls: 10, perOwnCall: 0 })
    const dialect = ProductDialect.create()
    const sender = HandoverSender.create({ vmId: 'sender', clock, dialect, choice, limit, onEnd: (_call, { outcome }) => void ends.push(outcome), onError: () => {} })
    const pipelines = Pipelines.create(clock, throwError)
    const front = await listen((request, response) => {
      const sink = CallerSink.create(response, { requestId: 'id', dialect, closesConnection: () => false, exchange: pipelines.enter(response) })
      const arrivedAt = clock.now()
      readBody(request, response, {
        timeoutMs: 1000,
        maxBytes: Infinity,
        budget: BodyBudget.create(DEFAULT_MACHINE_LIMITS),
        onEvicted: () => {},
        onBody: body => sender.send({ request, response, sink, requestId: 'id', arrivedAt, deadlineAt: arrivedAt + 1000, body }, refusal => sink.sendError('noUpstream', refusal)),
        onTimeout: () => {},
        onTooLarge: () => {},
        onExceeded: () => {}
      })
    })
    servers.push(front)
    return portOf(front)
  }

  const refuse: RequestListener = (request, response) => {
    request.resume()
    response.writeHead(503, { 'x-cowsliplead-peer-result': 'cutOff', 'content-length': 0 }).end()
  }

  const echo: RequestListener = (request, response) => {
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => void chunks.push(chunk))
    request.on('end', () => reply(response, `${request.headers.authorization} ${request.headers['x-request-id']} ${Buffer.concat(chunks).length}`, 201))
  }

  // Guards against a request that is lost, or changed, because the first VM that was asked refused it.
  it('offers a refused request to the next VM, with its headers and body', async () => {
    const headers = { authorization: 'Bearer key', 'x-request-id': 'r1' }
    const reached = await call(await start(refuse, echo), 'POST', '/issues/1', { headers, body: 'body' })
    expect([reached.status, reached.body]).to.deep.equal([201, 'Bearer key r1 4'])
    const none = await call(await start(refuse, refuse), 'POST', '/issues/1', { body: 'body' })
    expect([none.status, none.body]).to.deep.equal([503, none.body])
    expect(none.body).to.include('noReceiver')
  })

  // Guards against a request that runs twice because the VM that got it fell silent.
  it('does not send a request again after the VM that got it has broken off', async () => {
    let requests = 0
    const breakOff: RequestListener = request => {
      requests += 1
      request.socket.destroy()
    }
    const result = await call(await start(breakOff, breakOff), 'POST', '/issues/1', { body: 'body' })
    expect([result.status, requests]).to.deep.equal([502, 1])
  })

  // Guards against a "not run" for a request that is still running elsewhere at its deadline.
  it('ends as unknown at the deadline', async () => {
    const result = await call(await start(() => {}), 'POST', '/issues/1', { body: 'body' })
    expect(result.status).to.equal(504)
  })

  // Guards against a response that looks complete although it was cut short.
  it('closes the caller\'s connection if the response breaks off', async () => {
    const port = await start((_request, response) => {
      response.writeHead(200, { 'transfer-encoding': 'chunked' })
      response.write('part')
      setTimeout(() => response.destroy(), 20)
    })
    const error = await call(port, 'GET', '/permits/1').catch((reason: Error) => reason)
    expect(error).to.be.instanceOf(Error)
    expect(ends).to.deep.equal(['broken'])
  })

  // Guards against a part of a response without a length, which an orderly close would make look complete.
  it('ends as unknown if a response without a length breaks off', async () => {
    const port = await start((_request, response) => {
      response.writeHead(200, { 'transfer-encoding': 'chunked', 'x-cowsliplead-peer-unframed': '1' })
      response.write('part')
      setTimeout(() => response.destroy(), 20)
    })
    expect((await call(port, 'POST', '/issues/1')).status).to.equal(502)
    expect(ends).to.deep.equal(['unknown'])
  })

  // Guards against a caller that is held for ever by a VM that falls silent in the middle of a response.
  it('breaks off a response that has not ended shortly after the deadline', async () => {
    const port = await start((_request, response) => {
      response.writeHead(200, { 'content-length': LARGE_BODY.length })
      response.write(LARGE_BODY.subarray(1000))
    })
    const startedAt = performance.now()
    const error = await call(port, 'GET', '/permits/1').catch((error: Error) => error)
    expect(error).to.be.instanceOf(Error).with.property('message', 'aborted')
    expect(performance.now() - startedAt).to.be.within(1000, 1500)
    expect(ends).to.deep.equal(['broken'])
  })

  // Guards against responses that are lost with the connection because one before them broke off between the VMs.
  it('sends an error for a response that breaks off before others of its connection', async () => {
    const caller = PipeliningCaller.connect(await start((request, response) => {
      if (request.url !== '/long') return reply(response, 'answer behind it')
      response.writeHead(200, { 'content-length': LARGE_BODY.length })
      response.write(LARGE_BODY.subarray(1000))
      setTimeout(() => response.destroy(), 50)
    }))
    caller.get('/long', '/short')
    await waitUntil(() => caller.isClosed || caller.received.endsWith('answer behind it'))
    expect(caller.statuses).to.deep.equal([502, 200])
    caller.leave()
  })

  // Guards against a faulty VM that fills the memory of another one with a response that is held until it is complete.
  for (const method of ['GET', 'POST']) {
    it(`gives up a response without a length that goes on too long, to a ${method}`, async () => {
      let taken = 0
      const port = await start((_request, response) => {
        response.writeHead(200, { 'transfer-encoding': 'chunked', 'x-cowsliplead-peer-unframed': '1' })
        const writeMore = (): void => {
          while (!response.destroyed && taken < STOP_BYTES && response.write(LARGE_BODY, () => void (taken += LARGE_BODY.length)));
        }
        response.on('drain', writeMore)
        writeMore()
      })
      expect((await call(port, method, '/permits/1')).status).to.equal(502)
      expect(taken).to.be.below(MAX_TAKEN_BYTES)
      expect(ends).to.deep.equal(['unknown'])
    })
  }

  // Guards against long bodies that are held in memory or cut off.
  it('streams long bodies in both directions', async () => {
    const port = await start((request, response) => void request.pipe(response))
    const result = await call(port, 'POST', '/issues/1', { body: LARGE_BODY })
    expect(result.body.length).to.equal(LARGE_BODY.length)
  })

  // Guards against work that goes on for a caller that has left.
  it('closes the connection to the VM when the caller leaves', async () => {
    let wasClosed = false
    const port = await start((_request, response) => {
      response.on('close', () => void (wasClosed = true))
      response.writeHead(200)
      response.write('part')
    })
    const response = await open(port, 'GET', '/permits/1')
    response.destroy()
    await waitUntil(() => wasClosed)
    expect(ends).to.deep.equal(['callerLeft'])
  })

  // Guards against VMs that go on with the requests behind the first one of a caller that has left.
  it('closes the connections for all pipelined requests when the caller leaves', async () => {
    let working = 0
    const caller = PipeliningCaller.connect(await start((_request, response) => {
      working++
      response.on('close', () => working--)
    }))
    caller.get('/permits/1', '/permits/2', '/permits/3')
    await waitUntil(() => working === 3)
    caller.leave()
    await waitUntil(() => working === 0)
    expect(ends).to.deep.equal(['callerLeft', 'callerLeft', 'callerLeft'])
  })

  // Guards against an upstream's response that passes for another VM's statement that a request has not run.
  it('removes headers between VMs from upstreams\' responses', () => {
    expect(responseHeaders(['X-Cowsliplead-Peer-Result', 'cutOff', 'a', 'b'], new Set())).to.deep.equal(['a', 'b'])
  })
})
