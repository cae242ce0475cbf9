import { expect } from 'chai'
import { createHash } from 'node:crypto'
import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { ServerResponse as Response } from 'node:http'
import { sleep } from '../src/utils/sleep.js'
import { call, createSettings, open, reply, Rig, waitUntil } from './harness.js'

const MEGABYTE = 1024 * 1024

/** Sends `megabytes` of patterned bytes, subject to backpressure. */
async function sendDump (response: ServerResponse, megabytes: number): Promise<void> {
  response.writeHead(200, { 'content-length': megabytes * MEGABYTE })
  for (let i = 0; i < megabytes * 16 && !response.destroyed; i++) {
    if (!response.write(Buffer.alloc(65_536, i % 251))) await once(response, 'drain')
  }
  response.end()
}

async function digest (response: IncomingMessage): Promise<string> {
  const hash = createHash('sha1')
  for await (const chunk of response) hash.update(chunk as Buffer)
  return hash.digest('hex')
}

function expectedDigest (megabytes: number): string {
  const hash = createHash('sha1')
  for (let i = 0; i < megabytes * 16; i++) hash.update(Buffer.alloc(65_536, i % 251))
  return hash.digest('hex')
}

describe('long responses and connections', () => {
  let rig: Rig

  afterEach(() => rig.close())

  // Guards against buffering a long response in memory, and against losing bytes under backpressure.
  it('forwards 64 MB byte for byte while buffering at most 256 KB', async () => {
    let highest = 0
    const write = Response.prototype.write
    rig = await Rig.create((_request, response) => void sendDump(response, 64))
    const daemon = await rig.start()
    Response.prototype.write = function (this: ServerResponse, ...args: unknown[]) {
      const flowing = (write as (...all: unknown[]) => boolean).apply(this, args)
      if (this.req.socket.localPort === daemon.ports.public) highest = Math.max(highest, this.writableLength)
      return flowing
    } as typeof write
    try {
      const response = await open(daemon.ports.public, 'GET', '/permits/dump')
      response.pause()
      await sleep(100)
      expect(await digest(response)).to.equal(expectedDigest(64))
    } finally {
      Response.prototype.write = write
    }
    expect(highest).to.be.within(1, 256 * 1024)
  })

  // Guards against a truncated download that looks complete to the caller.
  it('destroys the connection of a caller whose long response is truncated', async () => {
    rig = await Rig.create((_request, response) => {
      response.writeHead(200)
      response.write(Buffer.alloc(100_000))
      setTimeout(() => response.destroy(), 20)
    })
    const daemon = await rig.start()
    const error = await call(daemon.ports.public, 'GET', '/permits/dump').catch((error: Error) => error)
    expect(error).to.be.instanceOf(Error).with.property('message', 'aborted')
  })

  // Guards against a lookup that waits until its deadline on a connection whose state a middlebox has dropped.
  it('retries a lookup on a new connection when an existing one goes silent', async () => {
    const silent = new Set<Socket>()
    rig = await Rig.create((request, response) => {
      if (!silent.has(request.socket)) reply(response, 'answered')
    })
    rig.upstreams[0]?.on('connection', (socket: Socket) => sockets.add(socket))
    const sockets = new Set<Socket>()
    const daemon = await rig.start()
    await call(daemon.ports.public, 'GET', '/permits/1')
    for (const socket of sockets) silent.add(socket)
    const startedAt = Date.now()
    const answer = await call(daemon.ports.public, 'GET', '/permits/1')
    expect([answer.status, answer.body]).to.deep.equal([200, 'answered'])
    expect(Date.now() - startedAt).to.be.below(4000)
    expect(sockets.size).to.be.above(silent.size)
  })

  // Guards against an attempt that keeps running for a caller that has disconnected.
  it('cancels the attempt when the caller disconnects', async () => {
    let closed = false
    rig = await Rig.create((_request, response) => {
      response.once('close', () => {
        closed = true
      })
      response.writeHead(200)
      response.write(Buffer.alloc(100_000))
    })
    const daemon = await rig.start()
    const response = await open(daemon.ports.public, 'GET', '/permits/1')
    response.destroy()
    await waitUntil(() => closed && daemon.status().callsInFlight === 0)
  })

  // Guards against a restart that cuts off a download, or that accepts calls that it will not serve.
  it('finishes a long download before it stops', async () => {
    let release = (): void => {}
    rig = await Rig.create((_request, response) => {
      response.writeHead(200, { 'content-length': 200_000 })
      response.write(Buffer.alloc(100_000, 'a'))
      release = () => response.end(Buffer.alloc(100_000, 'b'))
    })
    const daemon = await rig.start(createSettings({ graceMs: 2000 }))
    const port = daemon.ports.public
    const response = await open(port, 'GET', '/permits/dump')
    const stopped = daemon.stop()
    expect(daemon.status().reasons).to.deep.equal(['stopping'])
    await waitUntil(() => daemon.status().callsInFlight === 1)
    await sleep(1300)
    const refused = await open(port, 'GET', '/permits/1').catch((error: NodeJS.ErrnoException) => error.code)
    expect(refused).to.equal('ECONNREFUSED')
    release()
    const chunks: Buffer[] = []
    for await (const chunk of response) chunks.push(chunk as Buffer)
    expect(Buffer.concat(chunks).length).to.equal(200_000)
    expect(await stopped).to.equal(0)
  })

  // Guards against a shutdown that never ends, and against not reporting the calls that it interrupted.
  it('counts the calls that outlast the grace period', async () => {
    rig = await Rig.create((_request, response) => {
      response.writeHead(200, { 'content-length': 200_000 })
      response.write(Buffer.alloc(100_000, 'a'))
    })
    const daemon = await rig.start(createSettings({ graceMs: 50 }))
    const response = await open(daemon.ports.public, 'GET', '/permits/dump')
    response.on('error', () => {})
    expect(await daemon.stop()).to.equal(1)
  })
})
