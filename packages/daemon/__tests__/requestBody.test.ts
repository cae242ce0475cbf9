import { expect } from 'chai'
import { request, type ClientRequest, type IncomingMessage } from 'node:http'
import { sleep } from '../src/utils/sleep.js'
import { createSettings, reply, Rig } from './harness.js'

const TIMEOUT_MS = 200

describe('request bodies of slow callers', () => {
  let rig: Rig
  let port: number
  let received: number

  beforeEach(async () => {
    received = 0
    rig = await Rig.create((incoming, response) => {
      incoming.on('error', () => undefined)
      incoming.on('data', (chunk: Buffer) => {
        received += chunk.length
      })
      incoming.on('end', () => reply(response, String(received)))
    })
    port = (await rig.start(createSettings({ bodyTimeoutMs: TIMEOUT_MS }))).ports.public
  })

  afterEach(() => rig.close())

  /** Sends `size` bytes every 50 ms, `count` times or until the connection closes. */
  async function send (length: number, size: number, count: number): Promise<{ status: number, body: string } | 'closed'> {
    const outgoing = request({ host: '127.0.0.1', port, method: 'POST', path: '/issues/1', agent: false, headers: { 'content-length': length } })
    const ended = answerTo(outgoing)
    for (let sent = 0; sent < count && !outgoing.destroyed; sent++) {
      outgoing.write(Buffer.alloc(size))
      await sleep(50)
    }
    const answer = await Promise.race([ended, sleep(10 * TIMEOUT_MS).then(() => 'open' as const)])
    outgoing.destroy()
    if (answer === 'open') throw new Error('the connection of the slow caller was kept open')
    return answer
  }

  function answerTo (outgoing: ClientRequest): Promise<{ status: number, body: string } | 'closed'> {
    return new Promise(resolve => {
      outgoing.on('error', () => resolve('closed'))
      outgoing.on('response', (response: IncomingMessage) => {
        let body = ''
        response.on('error', () => resolve('closed'))
        response.on('data', (chunk: Buffer) => {
          body += chunk.toString()
        })
        response.on('end', () => resolve({ status: response.statusCode ?? 0, body }))
      })
    })
  }

  // Guards against a caller that occupies a buffer indefinitely by sending a byte now and then.
  it('rejects a buffered body that does not arrive in time, as not run', async () => {
    const plain = await send(100, 1, 20)
    expect(plain).to.have.property('status', 408)
    expect(JSON.parse((plain as { body: string }).body)).to.include({ code: 112, outcome: 'notRun' })
    expect(received).to.equal(0)
  })

  // Guards against a stalled upload that occupies its buffers and an upstream's slot.
  it('closes the connection of a caller that stops sending a streamed body', async () => {
    expect(await send(1_000_000, 300_000, 1)).to.equal('closed')
  })

  // Guards against cutting off an upload that makes progress but takes longer than the timeout in total.
  it('lets a streamed body that makes progress take longer than the timeout', async () => {
    expect(await send(1_000_000, 100_000, 10)).to.deep.equal({ status: 200, body: '1000000' })
  })
})
