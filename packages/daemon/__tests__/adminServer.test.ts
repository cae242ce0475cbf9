import { expect } from 'chai'
import { AdminServer } from '../src/core/gateway/adminServer.js'
import type { Metrics } from '../src/core/operators/metrics.js'
import type { DaemonStatus } from '../src/types/daemonStatus.js'

describe('AdminServer', () => {
  // Guards against an unhandled rejection that ends the process because one metric cannot be read.
  it('answers 500 if the metrics cannot be rendered, and goes on serving', async () => {
    const metrics = { render: () => Promise.reject(new Error('test')) } as unknown as Metrics
    const server = AdminServer.create({ maxConnections: 100, address: '127.0.0.1:0', metrics, status: () => ({}) as DaemonStatus, dump: () => ({}) })
    await server.start(error => expect.fail(error.message))
    try {
      expect((await fetch(`http://127.0.0.1:${server.port}/metrics`)).status).to.equal(500)
      expect((await fetch(`http://127.0.0.1:${server.port}/dump`)).status).to.equal(200)
    } finally {
      await server.stop()
    }
  })
})
