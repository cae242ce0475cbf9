import { createServer, type Server, type ServerResponse } from 'node:http'
import { expect } from 'chai'
import type { Customer } from '@cowsliplead/core/types/customer.js'
import type { RequestKind } from '@cowsliplead/core/types/requestKind.js'
import type { RequestTarget } from '../src/core/callers/arrivedRequest.js'
import { Proxy } from '../src/core/callers/proxy.js'
import { RequestIds } from '../src/core/callers/requestIds.js'
import { MonotonicClock } from '../src/core/gateway/monotonicClock.js'
import { ProductDialect } from '../src/core/productDialect.js'
import type { ServiceForwarder } from '../src/core/upstreams/serviceForwarder.js'
import { sleep } from '../src/utils/sleep.js'
import { call, createSettings, portOf, reply, Rig, throwError, waitUntil } from './harness.js'
import { PipeliningCaller } from './pipeliningCaller.js'
import { BodyBudget } from '../src/core/overload/bodyBudget.js'
import { DEFAULT_MACHINE_LIMITS } from '../src/types/machineLimits.js'

const KIND: RequestKind = { name: 'lookup', weight: 1, idempotent: true, deadlineMs: 5000, cancellable: true, hedgeable: false }
/** Longer than what is held for a caller that pipelines. */
const LONG_BYTES = 1_500_000

const PATHS = ['/permits/1', '/permits/2', '/permits/3']

describe('callers that leave with several requests on the way', () => {
  let rig: Rig
  let working: Set<ServerResponse>
  let started: number

  beforeEach(async () => {
    working = new Set()
    started = 0
    rig = await Rig.create((request, response) => {
      if (request.url === '/permits/quick') return reply(response, 'quick')
      if (request.url === '/permits/whole') return reply(response, Buffer.alloc(60_000))
      started++
      working.add(response)
      response.once('close', () => working.delete(response))
      if (request.url === '/permits/long') response.writeHead(200, { 'content-length': LONG_BYTES }).write(Buffer.alloc(LONG_BYTES / 2))
    })
  })

  afterEach(() => rig.close())

  for (const how of ['close', 'reset'] as const) {
    // Guards against upstreams that go on working, and a count that never falls, for the requests behind the first.
    it(`cancels all of them after a ${how}`, async () => {
      const daemon = await rig.start()
      const caller = PipeliningCaller.connect(daemon.ports.public)
      caller.get(...PATHS)
      await waitUntil(() => working.size === PATHS.length)
      caller.leave(how)
      await waitUntil(() => working.size === 0 && daemon.status().callsInFlight === 0)
    })
  }

  // Guards against a count that falls twice for a request whose response was sent, or that was just being sent.
  it('counts each of them once, whatever became of it', async () => {
    const daemon = await rig.start()
    const staying = PipeliningCaller.connect(daemon.ports.public)
    staying.get('/permits/1', '/permits/2')
    const caller = PipeliningCaller.connect(daemon.ports.public)
    caller.get('/permits/quick', '/permits/long', '/permits/quick', '/permits/4', '/other')
    await waitUntil(() => working.size === 4 && caller.statuses.length === 2)
    caller.leave()
    await waitUntil(() => working.size === 2)
    await sleep(20)
    expect(daemon.status().callsInFlight).to.equal(2)
    staying.leave()
    await waitUntil(() => working.size === 0 && daemon.status().callsInFlight === 0)
  })

  // Guards against passing on requests of a caller that has left, or connections for them, in the place of those that it cancels.
  it('starts none of those that wait', async () => {
    const daemon = await rig.start()
    const caller = PipeliningCaller.connect(daemon.ports.public)
    caller.get(...Array.from({ length: 30 }, (_, index) => `/permits/${index}`))
    await waitUntil(() => daemon.status().callsInFlight === 30 && working.size > 0)
    await sleep(50)
    const atWork = working.size
    expect(atWork).to.be.below(30)
    let connections = 0
    rig.upstreams[0]?.on('connection', () => connections++)
    caller.leave()
    await waitUntil(() => working.size === 0 && daemon.status().callsInFlight === 0)
    await sleep(50)
    expect({ started, connections }).to.deep.equal({ started: atWork, connections: 0 })
  })

  // Guards against a close that is not noticed because the daemon has stopped reading from the connection.
  it('cancels them while long responses wait behind another', async () => {
    const daemon = await rig.start()
    const caller = PipeliningCaller.connect(daemon.ports.public)
    caller.get('/permits/1', '/permits/whole', '/permits/long')
    await waitUntil(() => working.size === 2)
    await sleep(50)
    caller.get('/permits/2')
    await waitUntil(() => working.size === 2)
    await sleep(50)
    const leftAt = performance.now()
    caller.leave()
    await waitUntil(() => working.size === 0 && daemon.status().callsInFlight === 0)
    expect(performance.now() - leftAt).to.be.below(1000)
  })

  // Guards against uploads that are counted for good because their caller broke them off behind another request.
  it('ends the uploads that they have not finished', async () => {
    const daemon = await rig.start()
    const caller = PipeliningCaller.connect(daemon.ports.public)
    caller.get('/permits/1')
    caller.write('PUT /permits/2 HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 1000000\r\n\r\npart')
    await waitUntil(() => working.size === 2)
    caller.leave()
    await waitUntil(() => working.size === 0 && daemon.status().callsInFlight === 0)
  })

  // Guards against requests that go on for callers of HTTP/1.0.
  it('cancels those of HTTP/1.0', async () => {
    const daemon = await rig.start()
    const caller = PipeliningCaller.connect(daemon.ports.public)
    caller.write(PATHS.map(path => `GET ${path} HTTP/1.0\r\nHost: 127.0.0.1\r\nConnection: keep-alive\r\n\r\n`).join(''))
    await waitUntil(() => working.size === PATHS.length)
    caller.leave()
    await waitUntil(() => working.size === 0 && daemon.status().callsInFlight === 0)
  })

  // Guards against a daemon that waits for such requests until the end of its grace when it is stopped.
  it('do not keep a daemon from stopping', async () => {
    const graceMs = 4000
    const daemon = await rig.start(createSettings({ graceMs }))
    const caller = PipeliningCaller.connect(daemon.ports.public)
    caller.get(...PATHS)
    await waitUntil(() => working.size === PATHS.length)
    const startedAt = performance.now()
    const stopped = daemon.stop()
    caller.leave()
    expect(await stopped).to.equal(0)
    expect(performance.now() - startedAt).to.be.below(graceMs * 0.9)
  })

  // Guards against requests that are started for a caller that has left while its quota was being decided.
  it('withdraws those that wait for a decision about their quota', async () => {
    const withdrawn: number[] = []
    let admitted = 0
    const { proxy, server } = await startProxy({
      admit: () => {
        const number = ++admitted
        return () => void withdrawn.push(number)
      }
    })
    try {
      const caller = PipeliningCaller.connect(portOf(server))
      caller.get(...PATHS)
      await waitUntil(() => admitted === PATHS.length)
      caller.leave()
      await waitUntil(() => proxy.inFlight === 0)
      expect(withdrawn).to.have.members([1, 2, 3])
    } finally {
      server.close()
    }
  })

  // Guards against leaving the next caller with what the one before it has left behind.
  it('leave the daemon ready for the next one', async () => {
    const daemon = await rig.start()
    const caller = PipeliningCaller.connect(daemon.ports.public)
    caller.get(...PATHS)
    await waitUntil(() => working.size === PATHS.length)
    caller.leave()
    expect((await call(daemon.ports.public, 'GET', '/permits/quick')).body).to.equal('quick')
  })
})

/** A proxy without upstreams whose requests all belong to one customer. */
async function startProxy ({ admit }: { admit: () => () => void }): Promise<{ readonly proxy: Proxy, readonly server: Server }> {
  const customer: Customer = { name: 'customer', keyDigests: [] }
  const target: RequestTarget = { forwarder: {} as ServiceForwarder, kind: KIND, customer, hidesCredentials: false }
  const proxy = Proxy.create({
    clock: MonotonicClock.create(),
    ids: RequestIds.create('vm0'),
    dialect: ProductDialect.create(),
    route: () => target,
    admit,
    bodyTimeoutMs: 1000,
    bodyBudget: BodyBudget.create(DEFAULT_MACHINE_LIMITS),
    stopPlan: () => undefined,
    onRefused: () => {},
    onError: throwError
  })
  const server = createServer((request, response) => proxy.handle(request, response))
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return { proxy, server }
}
