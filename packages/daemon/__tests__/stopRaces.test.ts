import { Agent, request, type IncomingMessage } from 'node:http'
import { connect } from 'node:net'
import { expect } from 'chai'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import type { Gateway } from '../src/core/gateway/gateway.js'
import { sleep } from '../src/utils/sleep.js'
import { call, createSettings, reply, Rig } from './harness.js'

const SHORT_GRACE_MS = 2000

/** The daemon stops to wait for upstreams after 95% of the grace period. */
const ANSWERS_UNTIL_MS = 0.95 * SHORT_GRACE_MS

const CLIENTS = 12

/** How a request ended for its caller: with the status of a complete answer, or without one. */
type End = number | 'cut'

describe('a stopping daemon', () => {
  let rig: Rig
  /** Requests that upstreams were sent. */
  let sent: Set<string>
  let workMs: () => number
  let stallAfterReplyMs: number

  beforeEach(async () => {
    sent = new Set()
    stallAfterReplyMs = 0
    const serve = (incoming: IncomingMessage, response: Parameters<typeof reply>[0]): void => {
      sent.add(incoming.url ?? '')
      // In an immediate, after which Node runs timers before it reads from sockets.
      setTimeout(() => setImmediate(() => {
        reply(response, incoming.url ?? '')
        blockEventLoop(stallAfterReplyMs)
      }), workMs())
    }
    rig = await Rig.create(serve, serve, serve, serve)
  })

  afterEach(() => rig.close())

  // Guards against an answer that is replaced by a failure because the event loop has stalled until the exit.
  it('delivers an answer that arrived while its event loop stalled at the end of the grace period', async () => {
    workMs = () => ANSWERS_UNTIL_MS - 150
    stallAfterReplyMs = 250
    const daemon = await rig.start(createSettings({ graceMs: SHORT_GRACE_MS }))
    const stopped = daemon.stop()
    expect((await call(daemon.ports.public, 'POST', '/issues/1')).status).to.equal(200)
    await stopped
  })

  it('answers every request that it has passed on of those pipelined on an open connection to the end', async () => {
    workMs = () => 250
    const daemon = await rig.start(createSettings({ graceMs: SHORT_GRACE_MS }))
    const socket = connect(daemon.ports.public, '127.0.0.1')
    let received = ''
    socket.setEncoding('latin1').on('data', (chunk: string) => {
      received += chunk
    })
    socket.on('error', () => {})
    const stopped = daemon.stop()
    let count = 0
    for (; !socket.destroyed && count < 200; count++) {
      socket.write(`POST /issues/${count} HTTP/1.1\r\nhost: 127.0.0.1\r\ncontent-length: 2\r\n\r\nok`)
      await sleep(30)
    }
    await stopped
    const statuses = [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(match => Number(match[1]))
    const runAndUnanswered = [...sent].filter(path => statuses[Number(path.split('/')[2])] !== 200)
    expect(runAndUnanswered).to.deep.equal([])
    expect(statuses.filter(status => status === 200).length).to.be.greaterThan(1)
  })

  for (const graceMs of [SHORT_GRACE_MS, 6000]) {
    // Guards against requests that are cut off without an answer when upstreams become slow during a stop.
    it(`cuts no request of callers that use open connections to the end of ${graceMs} ms, while the work grows`, async () => {
      const random = SeededRandom.create(graceMs)
      let slowdown = 1
      workMs = () => random.next() * 300 * slowdown
      const daemon = await rig.start(createSettings({ graceMs }))
      const ends = new Map<string, End>()
      let hasStopped = false
      const clients = Array.from({ length: CLIENTS }, (_, client) => runClient(daemon, client, ends, () => hasStopped))
      await sleep(500)
      const stopped = daemon.stop()
      slowdown = 8
      await stopped
      hasStopped = true
      await Promise.all(clients)
      const cut = [...ends].filter(([path, end]) => end === 'cut' && sent.has(path)).map(([path]) => path)
      const ranAlthoughRefused = [...ends].filter(([path, end]) => end === 503 && sent.has(path)).map(([path]) => path)
      expect(cut).to.deep.equal([])
      expect(ranAlthoughRefused).to.deep.equal([])
      expect(ends.size).to.be.greaterThan(CLIENTS * 2)
    })
  }
})

/** Sends requests that may not be repeated one after the other until the daemon has stopped. */
async function runClient (daemon: Gateway, client: number, ends: Map<string, End>, isOver: () => boolean): Promise<void> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  for (let index = 0; !isOver() && index < 2000; index++) {
    const path = `/issues/${client}-${index}`
    const end = await sendOn(agent, daemon, path)
    ends.set(path, end)
    if (end !== 200) await sleep(20)
  }
  agent.destroy()
}

function sendOn (agent: Agent, daemon: Gateway, path: string): Promise<End> {
  return new Promise(resolve => {
    const outgoing = request({ host: '127.0.0.1', port: daemonPort(daemon), method: 'POST', path, agent }, response => {
      response.resume()
      response.on('error', () => resolve('cut'))
      response.on('close', () => resolve(response.complete ? response.statusCode ?? 0 : 'cut'))
    })
    outgoing.on('error', () => resolve('cut'))
    outgoing.end()
  })
}

const ports = new WeakMap<Gateway, number>()

/** The port of a daemon, also once it does not listen any more. */
function daemonPort (daemon: Gateway): number {
  const known = ports.get(daemon) ?? daemon.ports.public
  ports.set(daemon, known)
  return known
}

function blockEventLoop (lengthMs: number): void {
  const end = performance.now() + lengthMs
  while (performance.now() < end);
}
