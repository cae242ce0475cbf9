import type { RequestListener } from 'node:http'
import { connect } from 'node:net'
import { expect } from 'chai'
import type { RouteConfig } from '@cowsliplead/core/types/routes.js'
import { sleep } from '../src/utils/sleep.js'
import { reply, Rig } from './harness.js'

const MAX_BODY_BYTES = 1024 * 1024

/** More than the limit of a body and what the sockets on its way hold. */
const MAX_TAKEN_BYTES = 24 * 1024 * 1024

/** Where a daemon without a limit is stopped, to spare the machine that runs the test. */
const STOP_BYTES = 64 * 1024 * 1024

const SENDING_MS = 3000
const CHUNK = Buffer.from(`10000\r\n${'x'.repeat(0x10000)}\r\n`)

const UPSTREAMS: ReadonlyArray<readonly [string, RequestListener]> = [
  ['reads it', request => void request.resume()],
  ['answers before its end', (request, response) => {
    request.resume()
    reply(response, 'early')
  }],
  ['refuses it', (request, response) => {
    request.resume()
    reply(response, 'full', 503)
  }]
]

/** Sends a body without end until the connection is closed; returns how much of it was taken, and whether it was closed. */
async function uploadEndlessly (port: number): Promise<{ taken: number, closed: boolean }> {
  const socket = connect(port, '127.0.0.1')
  let taken = 0
  socket.on('error', () => {})
  socket.resume()
  socket.write('POST /issues/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nTransfer-Encoding: chunked\r\n\r\n')
  const writeMore = (): void => {
    if (socket.destroyed || taken >= STOP_BYTES) return
    socket.write(CHUNK, error => {
      if (error != null) return
      taken += CHUNK.length
      writeMore()
    })
  }
  writeMore()
  for (let waited = 0; waited < SENDING_MS && !socket.destroyed && taken < STOP_BYTES; waited += 20) await sleep(20)
  const closed = socket.destroyed
  socket.destroy()
  return { taken, closed }
}

describe('a caller whose body never ends', () => {
  let rig: Rig

  afterEach(() => rig.close())

  for (const [name, upstream] of UPSTREAMS) {
    // Guards against a VM that goes on reading what is beyond the limit of a body, for as long as it is sent.
    it(`loses its connection where the upstream ${name}`, async () => {
      rig = await Rig.create(upstream)
      const records = rig.store.records('configuration')
      const config = JSON.parse(String(records[0]?.value)) as RouteConfig
      const limits = { ...config.limits, maxBodyBytes: MAX_BODY_BYTES }
      records.push({ key: 'config', value: Buffer.from(JSON.stringify({ ...config, version: 2, limits })) })
      const daemon = await rig.start()
      const { taken, closed } = await uploadEndlessly(daemon.ports.public)
      expect(taken).to.be.below(MAX_TAKEN_BYTES)
      expect(closed).to.equal(true)
    })
  }
})
