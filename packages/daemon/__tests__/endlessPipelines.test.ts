import { createServer, type Server } from 'node:http'
import { connect, type Socket } from 'node:net'
import { expect } from 'chai'
import type { RequestKind } from '@cowsliplead/core/types/requestKind.js'
import { MAX_PIPELINED_REQUESTS } from '../src/core/callers/callerPipeline.js'
import { Proxy } from '../src/core/callers/proxy.js'
import { RequestIds } from '../src/core/callers/requestIds.js'
import { MonotonicClock } from '../src/core/gateway/monotonicClock.js'
import { ProductDialect } from '../src/core/productDialect.js'
import type { ServiceForwarder } from '../src/core/upstreams/serviceForwarder.js'
import { sleep } from '../src/utils/sleep.js'
import { portOf, reply, Rig, throwError } from './harness.js'
import { BodyBudget } from '../src/core/overload/bodyBudget.js'
import { DEFAULT_MACHINE_LIMITS } from '../src/types/machineLimits.js'

const GET = 'GET /permits/1 HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n'
const WAIT_MS = 4000
const SAMPLE_INTERVAL_MS = 10

describe('a caller that pipelines requests', () => {
  let rig: Rig | undefined
  let server: Server | undefined
  let socket: Socket

  afterEach(async () => {
    socket.destroy()
    server?.close()
    await rig?.close()
  })

  /** Serves requests that are never answered; returns how many were submitted, and the ids of refused ones. */
  async function serveSilently (): Promise<{ port: number, submitted: () => number, refused: string[] }> {
    let submitted = 0
    const refused: string[] = []
    const forwarder = { submit: () => void submitted++, cancel: () => {} } as unknown as ServiceForwarder
    const kind = { name: 'lookup', deadlineMs: WAIT_MS } as RequestKind
    const proxy = Proxy.create({
      clock: MonotonicClock.create(), ids: RequestIds.create('vm0'), dialect: ProductDialect.create(), bodyTimeoutMs: WAIT_MS, bodyBudget: BodyBudget.create(DEFAULT_MACHINE_LIMITS),
      route: () => ({ forwarder, kind, hidesCredentials: false }), admit: () => () => {}, stopPlan: () => undefined, onError: throwError,
      onRefused: (_id, code) => void refused.push(code)
    })
    server = createServer((request, response) => proxy.handle(request, response))
    await new Promise<void>(resolve => server?.listen(0, '127.0.0.1', resolve))
    return { port: portOf(server), submitted: () => submitted, refused }
  }

  // Guards against a caller that fills the memory of a VM with requests that are not answered yet.
  it('without end loses its connection', async () => {
    const { port, submitted, refused } = await serveSilently()
    socket = connect(port, '127.0.0.1').resume()
    socket.on('error', () => {})
    socket.write(GET.repeat(10 * MAX_PIPELINED_REQUESTS))
    for (let waited = 0; waited < WAIT_MS && !socket.destroyed; waited += SAMPLE_INTERVAL_MS) await sleep(SAMPLE_INTERVAL_MS)
    expect(socket.destroyed).to.equal(true)
    expect([submitted(), refused]).to.deep.equal([MAX_PIPELINED_REQUESTS, ['queueFull']])
  })

  it('gets all answers within the limit', async () => {
    rig = await Rig.create((_request, response) => void setTimeout(() => reply(response, 'answered'), 10))
    const daemon = await rig.start()
    socket = connect(daemon.ports.public, '127.0.0.1')
    socket.on('error', () => {})
    let received = ''
    socket.on('data', (chunk: Buffer) => void (received += chunk.toString()))
    socket.write(GET.repeat(MAX_PIPELINED_REQUESTS))
    const count = (): number => received.split('HTTP/1.1 ').length - 1
    for (let waited = 0; waited < WAIT_MS && count() < MAX_PIPELINED_REQUESTS; waited += SAMPLE_INTERVAL_MS) await sleep(SAMPLE_INTERVAL_MS)
    expect(count()).to.equal(MAX_PIPELINED_REQUESTS)
    expect(socket.destroyed).to.equal(false)
  })
})
