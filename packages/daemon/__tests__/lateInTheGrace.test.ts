import { request, type ClientRequest } from 'node:http'
import { expect } from 'chai'
import { RESULT_CODES } from '@cowsliplead/core/types/resultCode.js'
import type { Gateway } from '../src/core/gateway/gateway.js'
import { CODE_HEADER } from '../src/utils/headers.js'
import { sleep } from '../src/utils/sleep.js'
import { call, createSettings, reply, Rig, type Reply } from './harness.js'
import { PipeliningCaller } from './pipeliningCaller.js'

/** Callers reach other VMs after 1.1 s, and the daemon exits after 1.94 s. */
const GRACE_MS = 2000

/** When callers reach other VMs and the daemon still listens. */
const LATE_MS = 1200

/** With this one, callers reach other VMs after 2.5 s, and the daemon listens until 2.75 s and exits after 4.85 s. */
const LONG_GRACE_MS = 5000
const DETECTED_AFTER_MS = 2600

/** With this one, callers reach other VMs after 2.2 s. A request that takes so long fits in at first, and not after the wait. */
const EARLY_GRACE_MS = 4000
const EARLY_WORK_MS = 2100
const EARLY_WAIT_MS = 1800

/** Enough responses for the daemon to know how long a kind of request takes. */
const WARM_UP_CALLS = 24

const UNANSWERED = 'no answer'

/** The status and the code of an answer. */
type Answer = readonly [status: number, code: string] | typeof UNANSWERED

const STOPPING: Answer = [503, String(RESULT_CODES.stopping.number)]
const INTERRUPTED: Answer = [502, String(RESULT_CODES.interrupted.number)]

describe('a stopping daemon, late in the grace period,', () => {
  let rig: Rig
  /** Paths of the requests that upstreams were sent, without those of the warm-up. */
  let sent: string[]
  let workMs: number

  beforeEach(async () => {
    sent = []
    workMs = 0
    const upstreams = Array.from({ length: 6 }, () => (incoming: { readonly url?: string }, response: Parameters<typeof reply>[0]) => {
      if (incoming.url?.includes('warm-up') !== true) sent.push(incoming.url ?? '')
      if (incoming.url?.includes('stream') === true) {
        response.writeHead(200, { 'content-length': 200_001 })
        response.write(Buffer.alloc(200_000))
        setTimeout(() => response.end('x'), workMs)
      } else setTimeout(() => reply(response, 'ok'), workMs)
    })
    rig = await Rig.create(...upstreams)
  })

  afterEach(() => rig.close())

  async function warmUp (daemon: Gateway, path: string): Promise<void> {
    await Promise.all(Array.from({ length: WARM_UP_CALLS }, (_, index) => call(daemon.ports.public, 'GET', `${path}warm-up${index}`)))
  }

  async function answerOf (response: Promise<Reply>): Promise<Answer> {
    try {
      const { status, headers } = await response
      return [status, String(headers[CODE_HEADER] ?? '')]
    } catch {
      return UNANSWERED
    }
  }

  // Guards against a request that is passed on when its body is complete and cut off shortly afterwards.
  it('refuses a request that arrived early and whose body is complete only now', async () => {
    const daemon = await rig.start(createSettings({ graceMs: GRACE_MS }))
    workMs = 1500
    const stopped = daemon.stop()
    const upload = startUpload(daemon.ports.public, '/issues/1')
    await sleep(LATE_MS)
    upload.outgoing.end('rest')
    expect(await answerOf(upload.response)).to.deep.equal(STOPPING)
    expect(sent).to.deep.equal([])
    await stopped
  })

  it('passes a request on whose body is complete only now if it ends before the exit by its deadline', async () => {
    const daemon = await rig.start(createSettings({ graceMs: GRACE_MS }))
    const stopped = daemon.stop()
    const upload = startUpload(daemon.ports.public, '/issues/1', { 'x-timeout-ms': '1700' })
    await sleep(LATE_MS)
    upload.outgoing.end('rest')
    expect(await answerOf(upload.response)).to.deep.equal([200, ''])
    await stopped
  })

  // Guards against a request that starts so late that it is cut off, because it had waited in the queue.
  it('refuses a request that still waits when it would not be finished any more', async () => {
    workMs = 700
    const daemon = await rig.start(createSettings({ graceMs: GRACE_MS }))
    await warmUp(daemon, '/issues/')
    workMs = 5000
    const running = Array.from({ length: 24 }, (_, index) => answerOf(call(daemon.ports.public, 'POST', `/issues/${index}`)))
    await sleep(200)
    const stopped = daemon.stop()
    const waiting = await answerOf(call(daemon.ports.public, 'POST', '/issues/waiting'))
    expect(waiting).to.deep.equal(STOPPING)
    expect(sent).not.to.include('/issues/waiting')
    await Promise.all(running)
    await stopped
  })

  // Guards against a response that begins before its deadline and is cut off midway by the exit.
  it('refuses a request whose streamed response would outlast it, whatever the deadline', async () => {
    workMs = 2400
    const daemon = await rig.start(createSettings({ graceMs: LONG_GRACE_MS }))
    await warmUp(daemon, '/permits/stream')
    const stopped = daemon.stop()
    await sleep(DETECTED_AFTER_MS)
    const answer = await answerOf(call(daemon.ports.public, 'GET', '/permits/stream', { headers: { 'x-timeout-ms': '300' } }))
    expect(answer).to.deep.equal(STOPPING)
    expect(sent).to.deep.equal([])
    await stopped
  })

  for (const method of ['GET', 'POST'] as const) {
    // Guards against a connection that ends without an answer at the end of the grace period.
    it(`answers a ${method} that is still at work when the daemon exits`, async () => {
      const daemon = await rig.start(createSettings({ graceMs: GRACE_MS }))
      workMs = 5000
      const stopped = daemon.stop()
      await sleep(100)
      const answer = await answerOf(call(daemon.ports.public, method, method === 'GET' ? '/permits/1' : '/issues/1'))
      expect(answer).to.deep.equal(INTERRUPTED)
      await stopped
    })
  }

  it('answers a request whose body has not arrived when it exits', async () => {
    const daemon = await rig.start(createSettings({ graceMs: GRACE_MS }))
    const stopped = daemon.stop()
    const upload = startUpload(daemon.ports.public, '/issues/1')
    expect(await answerOf(upload.response)).to.deep.equal(STOPPING)
    expect(sent).to.deep.equal([])
    await stopped
  })
})

describe('a stopping daemon, early in the grace period,', () => {
  // Guards against a request that is taken although it will most likely be cut off.
  it('refuses a request that usually takes longer than is left', async () => {
    const rig = await Rig.create(...Array.from({ length: 6 }, () => (_incoming: unknown, response: Parameters<typeof reply>[0]) => setTimeout(() => reply(response, 'ok'), EARLY_WORK_MS)))
    try {
      const daemon = await rig.start(createSettings({ graceMs: EARLY_GRACE_MS }))
      await Promise.all(Array.from({ length: WARM_UP_CALLS }, () => call(daemon.ports.public, 'GET', '/permits/1')))
      const stopped = daemon.stop()
      expect((await call(daemon.ports.public, 'GET', '/permits/1')).status).to.equal(200)
      await stopped
      const next = await rig.start(createSettings({ graceMs: EARLY_GRACE_MS, vmId: 'vm1' }))
      await Promise.all(Array.from({ length: WARM_UP_CALLS }, () => call(next.ports.public, 'GET', '/permits/1')))
      const nextStopped = next.stop()
      await sleep(EARLY_WAIT_MS)
      const refused = await call(next.ports.public, 'GET', '/permits/1')
      expect([refused.status, refused.headers[CODE_HEADER]]).to.deep.equal(STOPPING)
      await nextStopped
    } finally {
      await rig.close()
    }
  })

  // Guards against answers that are lost with their connection because one of them is written twice.
  it('answers all refused requests behind one that is interrupted', async () => {
    const rig = await Rig.create((_incoming: unknown, response: Parameters<typeof reply>[0]) => setTimeout(() => reply(response, 'ok'), LONG_GRACE_MS))
    try {
      const daemon = await rig.start(createSettings({ graceMs: GRACE_MS }))
      const caller = PipeliningCaller.connect(daemon.ports.public)
      const stopped = daemon.stop()
      caller.get('/permits/1')
      await sleep(LATE_MS)
      caller.get('/permits/2', '/permits/3', '/permits/4')
      await stopped
      await sleep(100)
      expect(caller.statuses).to.deep.equal([502, 503, 503, 503])
    } finally {
      await rig.close()
    }
  })
})

/** A request of which only the head and a part of the body are sent. */
function startUpload (port: number, path: string, headers: Record<string, string> = {}): { readonly outgoing: ClientRequest, readonly response: Promise<Reply> } {
  const outgoing = request({ host: '127.0.0.1', port, method: 'POST', path, headers: { 'content-length': '8', ...headers }, agent: false })
  const response = new Promise<Reply>((resolve, reject) => {
    outgoing.on('error', reject)
    outgoing.on('response', incoming => {
      incoming.resume()
      resolve({ status: incoming.statusCode ?? 0, headers: incoming.headers, body: '' })
    })
  })
  outgoing.write('part')
  return { outgoing, response }
}
