import type { RequestListener, ServerResponse } from 'node:http'
import { expect } from 'chai'
import { sleep } from '../src/utils/sleep.js'
import { reply, Rig, waitUntil } from './harness.js'
import { PipeliningCaller } from './pipeliningCaller.js'

const LONG_BYTES = 200_000

/** Longer than what is held for a pipelining caller. */
const VERY_LONG_BYTES = 1_500_000

/** Sends half of a response of `bytes` and breaks off. */
function breakOff (response: ServerResponse, bytes: number): void {
  response.writeHead(200, { 'content-length': bytes })
  response.write(Buffer.alloc(bytes / 2, 'x'))
  setTimeout(() => response.destroy(), 50)
}

describe('pipelined responses', () => {
  let rig: Rig
  let caller: PipeliningCaller
  let paths: string[]

  afterEach(async () => {
    caller.leave()
    await rig.close()
  })

  /** Starts a daemon with two upstreams and connects a caller; `listener` gets the requests under `/permits/long`. */
  async function start (listener: RequestListener): Promise<void> {
    paths = []
    const upstream: RequestListener = (request, response) => {
      paths.push(request.url as string)
      if (request.url?.startsWith('/permits/long') === true) listener(request, response)
      else reply(response, `answer to ${request.url}`)
    }
    rig = await Rig.create(upstream, upstream)
    const daemon = await rig.start()
    caller = PipeliningCaller.connect(daemon.ports.public)
  }

  // Guards against responses of sound upstreams that are lost because one before them broke off.
  it('all arrive if one that broke off can be asked for again', async () => {
    let attempts = 0
    await start((_request, response) => {
      if (++attempts === 1) breakOff(response, LONG_BYTES)
      else reply(response, Buffer.alloc(LONG_BYTES, 'y'))
    })
    caller.get('/permits/long', '/permits/1', '/permits/2')
    await waitUntil(() => caller.isClosed || caller.received.endsWith('answer to /permits/2'))
    expect(caller.statuses).to.deep.equal([200, 200, 200])
    expect(caller.received.match(/y+/)?.[0]).to.have.length(LONG_BYTES)
    expect(caller.received).to.not.include('xx')
  })

  // Guards against the same where each attempt breaks off.
  it('arrive behind an error response in place of one that broke off', async () => {
    await start((_request, response) => breakOff(response, LONG_BYTES))
    caller.get('/permits/long', '/permits/1', '/permits/2')
    await waitUntil(() => caller.isClosed || caller.received.endsWith('answer to /permits/2'))
    expect(caller.statuses).to.deep.equal([502, 200, 200])
  })

  // Guards against the same for a response without a length.
  it('arrive behind one in chunks that broke off', async () => {
    await start((_request, response) => {
      response.write(Buffer.alloc(LONG_BYTES, 'x'))
      setTimeout(() => response.destroy(), 50)
    })
    caller.get('/permits/long', '/permits/1')
    await waitUntil(() => caller.isClosed || caller.received.endsWith('answer to /permits/1'))
    expect(caller.statuses).to.deep.equal([502, 200])
  })

  // Guards against passing a request on that a response before it may take with the connection.
  it('are not asked for while one before them may still break off', async () => {
    let breaks = (): void => {}
    await start((_request, response) => {
      response.writeHead(200, { 'content-length': LONG_BYTES })
      response.write(Buffer.alloc(LONG_BYTES / 2))
      breaks = () => response.destroy()
    })
    caller.get('/permits/long')
    await waitUntil(() => caller.statuses.length === 1)
    caller.get('/permits/1', '/permits/2')
    await sleep(100)
    breaks()
    await waitUntil(() => caller.isClosed)
    await sleep(50)
    expect(paths).to.deep.equal(['/permits/long'])
  })

  it('are asked for once one before them has ended at its upstream', async () => {
    let end = (): void => {}
    await start((_request, response) => {
      response.writeHead(200, { 'content-length': LONG_BYTES })
      response.write(Buffer.alloc(LONG_BYTES / 2))
      end = () => response.end(Buffer.alloc(LONG_BYTES / 2))
    })
    caller.get('/permits/long')
    await waitUntil(() => caller.statuses.length === 1)
    caller.get('/permits/1', '/permits/2')
    await sleep(100)
    end()
    await waitUntil(() => caller.isClosed || caller.received.endsWith('answer to /permits/2'))
    expect(caller.statuses).to.deep.equal([200, 200, 200])
  })

  // Guards against requests that are worked on one after the other.
  it('of sound upstreams are worked on at the same time', async () => {
    const waiting: Array<() => void> = []
    await start((_request, response) => void waiting.push(() => reply(response, Buffer.alloc(LONG_BYTES, 'y'))))
    caller.get('/permits/long/1', '/permits/long/2', '/permits/long/3')
    await waitUntil(() => waiting.length === 3)
    for (const finish of waiting.reverse()) finish()
    await waitUntil(() => (caller.received.match(/y/g)?.length ?? 0) === 3 * LONG_BYTES)
    expect(caller.statuses).to.deep.equal([200, 200, 200])
  })

  // Guards against the same for callers of HTTP/1.0, for which only the close of the connection could end a streamed one.
  it('of HTTP/1.0 arrive behind a long one in chunks', async () => {
    await start((_request, response) => {
      response.write(Buffer.alloc(LONG_BYTES, 'y'))
      response.end()
    })
    const request = (path: string): string => `GET ${path} HTTP/1.0\r\nHost: 127.0.0.1\r\nConnection: keep-alive\r\n\r\n`
    caller.write(request('/permits/long') + request('/permits/1'))
    await waitUntil(() => caller.isClosed || caller.received.endsWith('answer to /permits/1'))
    expect(caller.statuses).to.deep.equal([200, 200])
    expect(caller.received.match(/y+/)?.[0]).to.have.length(LONG_BYTES)
  })

  // Guards against bytes that are lost or out of order where responses are too long to be held.
  it('arrive whole and in order if they are too long to be held', async () => {
    await start((_request, response) => reply(response, Buffer.alloc(VERY_LONG_BYTES, 'y')))
    caller.get('/permits/1', '/permits/long/1', '/permits/long/2', '/permits/2')
    await waitUntil(() => caller.isClosed || caller.received.endsWith('answer to /permits/2'))
    expect(caller.statuses).to.deep.equal([200, 200, 200, 200])
    expect(caller.received.match(/y{1000,}/g)?.map(({ length }) => length)).to.deep.equal([VERY_LONG_BYTES, VERY_LONG_BYTES])
  })

  // Guards against a part of a very long response that looks complete.
  it('end with the connection if one of them that is too long to be held breaks off', async () => {
    await start((_request, response) => breakOff(response, VERY_LONG_BYTES))
    caller.get('/permits/long', '/permits/1')
    await waitUntil(() => caller.isClosed)
    expect(caller.statuses).to.deep.equal([200])
    expect(caller.received.match(/x+/)?.[0].length).to.be.below(VERY_LONG_BYTES)
  })
})
