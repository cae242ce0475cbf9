import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'chai'
import { Client, type Dispatcher } from 'undici'
import { UpstreamStandin } from '../src/core/upstreamStandin.js'
import type { UpstreamFaults, UpstreamOptionsInput } from '../src/types/upstreamOptions.js'
import { readPattern } from '../src/utils/pattern.js'

const BUSY_MS = 150

interface Response {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: Buffer
}

interface RefusalCase {
  readonly reason: string
  readonly options?: UpstreamOptionsInput
  readonly faults?: Partial<UpstreamFaults>
  /** Number of requests that occupy the upstream beforehand. */
  readonly earlierRequests?: number
  /** Deadline of the request, relative to now. */
  readonly deadlineInMs?: number
}

const ONE_SLOT: UpstreamOptionsInput = { slots: 1, serviceTime: { meanMs: BUSY_MS } }

const REFUSALS: readonly RefusalCase[] = [
  { reason: 'the deadline passed before arrival', deadlineInMs: -1 },
  { reason: 'the deadline passes in the queue', options: ONE_SLOT, earlierRequests: 1, deadlineInMs: BUSY_MS / 3 },
  { reason: 'the queue is full', options: { ...ONE_SLOT, queueLimit: 1 }, earlierRequests: 2 },
  { reason: 'the upstream sheds load', faults: { shedding: true } }
]

describe('upstream stand-in', () => {
  let upstream: UpstreamStandin
  let client: Client
  let port: number
  let exitCount = 0

  async function start (options: UpstreamOptionsInput = {}): Promise<void> {
    upstream = UpstreamStandin.create(options, {
      exit: () => {
        exitCount += 1
      }
    })
    port = await upstream.start()
    client = new Client(`http://127.0.0.1:${port}`)
  }

  async function send (path: string, headers: Record<string, string> = {}, options: { via?: Dispatcher, signal?: AbortSignal } = {}): Promise<Response> {
    const { via = client, signal } = options
    const response = await via.request({ method: 'GET', path, headers, signal })
    const body = Buffer.from(await response.body.arrayBuffer())
    return { status: response.statusCode, headers: response.headers, body }
  }

  /** Sends on a separate connection. */
  async function sendOnNewConnection (path: string, headers: Record<string, string> = {}, signal?: AbortSignal): Promise<Response> {
    const via = new Client(`http://127.0.0.1:${port}`)
    try {
      return await send(path, headers, { via, signal })
    } finally {
      void via.destroy()
    }
  }

  async function waitUntil (condition: () => boolean): Promise<void> {
    for (let tries = 0; !condition() && tries < 500; tries += 1) await sleep(5)
    expect(condition()).to.equal(true)
  }

  afterEach(async () => {
    await client.destroy()
    await upstream.stop()
  })

  for (const { reason, options, faults, earlierRequests = 0, deadlineInMs } of REFUSALS) {
    // Guards against a refusal that states 'not run' for a request that ran.
    it(`refuses as not run, and counts no run, if ${reason}`, async () => {
      await start(options)
      upstream.faults.merge(faults ?? {})
      const earlierResponses = Array.from({ length: earlierRequests }, () => sendOnNewConnection('/work'))
      await waitUntil(() => upstream.load().inFlight + upstream.load().queued === earlierRequests)
      const headers = { 'x-request-id': 'late', ...deadlineInMs === undefined ? {} : { 'x-deadline-at': String(Date.now() + deadlineInMs) } }
      const response = await send('/work', headers)
      expect(response.status).to.equal(503)
      expect(response.headers).to.include({ 'x-not-run': '1', 'x-request-id': 'late' })
      await Promise.all(earlierResponses)
      expect(upstream.runs.report()).to.deep.include({ started: earlierRequests, refused: 1, byRequestId: {} })
    })
  }

  // Guards against runs that checks for at-most-once execution would miss.
  it('counts runs by idempotency key and by request id, including repeats', async () => {
    await start()
    await send('/pay', { 'x-request-id': 'r1', 'idempotency-key': 'k' })
    await send('/pay', { 'x-request-id': 'r2', 'idempotency-key': 'k' })
    const report = JSON.parse((await send('/control/runs')).body.toString()) as unknown
    expect(report).to.deep.include({ started: 2, completed: 2, byKey: { k: 2 }, byRequestId: { r1: 1, r2: 1 } })
  })

  // Guards against a slot that stays occupied, or a queued request that runs, after the caller has disconnected.
  it('cancels a running and a queued request when the caller disconnects', async () => {
    await start({ slots: 1, serviceTime: { meanMs: 60_000 } })
    const caller = new AbortController()
    const running = sendOnNewConnection('/work', { 'x-request-id': 'running' }, caller.signal).catch(() => 'left')
    await waitUntil(() => upstream.load().inFlight === 1)
    const queued = sendOnNewConnection('/work', { 'x-request-id': 'queued' }, caller.signal).catch(() => 'left')
    await waitUntil(() => upstream.load().queued === 1)
    caller.abort()
    expect(await Promise.all([running, queued])).to.deep.equal(['left', 'left'])
    await waitUntil(() => upstream.load().inFlight === 0 && upstream.load().queued === 0)
    expect(upstream.runs.summary()).to.include({ cancelled: upstream.runs.summary().started, completed: 0 })
    expect(upstream.runs.report().byRequestId).to.include({ running: 1 })
  })

  // Guards against a crash that looks like a refusal, or that is missing from the run counts.
  for (const [name, path, headers] of [['header', '/work', { 'x-crash': '1' }], ['path', '/poison/1', {}]] as const) {
    it(`crashes on a request selected by ${name}`, async () => {
      exitCount = 0
      await start({ crash: { path: '/poison', exits: true } })
      const outcome = await send(path, headers).catch((error: Error) => error)
      expect(outcome).to.be.instanceOf(Error)
      expect(upstream.runs.summary()).to.include({ started: 1, crashed: 1, completed: 0 })
      expect(exitCount).to.equal(1)
    })
  }

  // Guards against fast failures that count as runs.
  it('fails fast without running', async () => {
    await start({ serviceTime: { meanMs: 60_000 } })
    upstream.faults.merge({ failFastShare: 1 })
    expect((await send('/work')).status).to.equal(500)
    expect(upstream.runs.summary()).to.include({ started: 0 })
  })

  // Guards against silenced connections that are reset, or a silence that affects new connections.
  it('stops responding on open connections while new ones work', async () => {
    await start()
    await send('/work')
    expect(upstream.faults.silenceConnections(1)).to.equal(1)
    const unanswered = await send('/work', {}, { signal: AbortSignal.timeout(100) }).catch((error: Error) => error.name)
    expect(unanswered).to.equal('TimeoutError')
    expect((await sendOnNewConnection('/work')).status).to.equal(200)
    expect(upstream.runs.summary()).to.include({ started: 2 })
  })

  // Guards against crossed responses that carry the correct id.
  it('sends a crossed response with a wrong request id', async () => {
    await start()
    upstream.faults.merge({ crossedResponses: 1 })
    expect((await send('/work', { 'x-request-id': 'mine' })).headers['x-request-id']).to.not.equal('mine')
    expect((await send('/work', { 'x-request-id': 'mine' })).headers['x-request-id']).to.equal('mine')
  })

  for (const path of ['/work', '/download?bytes=300000']) {
    // Guards against a truncation that the receiver cannot detect.
    it(`truncates the response of ${path}`, async () => {
      await start()
      upstream.faults.merge({ truncatedResponses: 1 })
      const outcome = await send(path).catch((error: Error) => error)
      expect(outcome).to.be.instanceOf(Error)
      expect((await send(path)).status).to.equal(200)
    })
  }

  // Guards against load reports that are always accurate, so that the handling of stale or wrong ones is never tested.
  it('reports its load accurately, with a delay, or with overridden values', async () => {
    await start({ slots: 3 })
    const report = async () => JSON.parse(String((await send('/work')).headers['x-load-report'])) as unknown
    expect(await report()).to.deep.equal({ inFlight: 0, queued: 0, slots: 3, draining: false })
    upstream.faults.merge({ draining: true, reportDelayMs: 60_000 })
    upstream.recordLoad()
    expect(await report()).to.include({ draining: false })
    upstream.faults.merge({ reportDelayMs: 0, reportOverride: { queued: 9 } })
    expect(await report()).to.include({ draining: true, queued: 9 })
    expect(upstream.runs.summary()).to.include({ startedWhileDraining: 2 })
  })

  // Guards against downloads whose content cannot be verified byte by byte.
  it('streams a download with exactly the expected size and content', async () => {
    await start()
    const { body, headers } = await send('/download?bytes=200001')
    expect(headers['content-length']).to.equal('200001')
    expect(body.equals(readPattern(0, 200_001))).to.equal(true)
    expect(readPattern(70_000, 100).equals(body.subarray(70_000, 70_100))).to.equal(true)
  })
})
