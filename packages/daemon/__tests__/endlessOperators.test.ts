import { once } from 'node:events'
import { connect } from 'node:net'
import { expect } from 'chai'
import { AdminServer } from '../src/core/gateway/adminServer.js'
import { ReadinessServer } from '../src/core/gateway/readinessServer.js'
import type { Metrics } from '../src/core/operators/metrics.js'
import type { DaemonStatus } from '../src/types/daemonStatus.js'
import { sleep } from '../src/utils/sleep.js'
import { throwError } from './harness.js'

const GET = 'GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n'
const PIPELINED = 100
const CHUNK = `10000\r\n${'x'.repeat(0x10000)}\r\n`
const CLOSE_MS = 1000

describe('the addresses for operators and the balancer', () => {
  let rendered: number
  let admin: AdminServer
  let readiness: ReadinessServer

  beforeEach(async () => {
    rendered = 0
    const metrics = { render: async () => {
      rendered += 1
      await sleep(5)
      return { text: 'metrics', contentType: 'text/plain' }
    } } as unknown as Metrics
    admin = AdminServer.create({ maxConnections: 100, address: '127.0.0.1:0', metrics, status: () => ({}) as DaemonStatus, dump: () => ({}) })
    readiness = ReadinessServer.create({ maxConnections: 100, address: '127.0.0.1:0', path: '/metrics', unreadyReasons: () => [] })
    await admin.start(throwError)
    await readiness.start(throwError)
  })

  afterEach(() => Promise.all([admin.stop(), readiness.stop()]))

  // Guards against requests whose answers nobody reads and that fill the memory of the VM.
  it('close a connection with several requests at a time', async () => {
    const socket = connect(admin.port, '127.0.0.1')
    socket.on('error', () => {})
    socket.write(GET.repeat(PIPELINED))
    await Promise.race([once(socket.resume(), 'close'), sleep(CLOSE_MS)])
    expect([socket.destroyed, rendered]).to.deep.equal([true, 1])
  })

  it('answer one request after the other on a connection', async () => {
    for (const { port } of [admin, readiness]) {
      const socket = connect(port, '127.0.0.1')
      for (let i = 0; i < 3; i++) {
        socket.write(GET)
        const [answer] = await once(socket, 'data') as [Buffer]
        expect(answer.toString()).to.match(/^HTTP\/1.1 200/)
        await sleep(20)
      }
      socket.destroy()
    }
  })

  // Guards against reading a body for as long as it is sent.
  it('close a connection with a body that does not end', async () => {
    for (const { port } of [admin, readiness]) {
      const socket = connect(port, '127.0.0.1')
      socket.on('error', () => {})
      socket.write('POST /metrics HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n')
      const timer = setInterval(() => socket.write(CHUNK), 10)
      await Promise.race([once(socket.resume(), 'close'), sleep(CLOSE_MS)])
      clearInterval(timer)
      expect(socket.destroyed).to.equal(true)
    }
  })
})
