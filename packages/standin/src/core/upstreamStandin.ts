import type { ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify'
import { SystemClock, type Clock, type Milliseconds } from '@cowsliplead/core/types/clock.js'
import { SeededRandom, type RandomSource } from '@cowsliplead/core/types/randomSource.js'
import { UPSTREAM_OPTIONS, type UpstreamOptions, type UpstreamOptionsInput } from '../types/upstreamOptions.js'
import type { Load, UpstreamHeaders } from '../types/upstreamHeaders.js'
import { LoadHistory } from './loadHistory.js'
import { ProductHeaders } from './productHeaders.js'
import { RunCounts } from './runCounts.js'
import { sampleServiceTime } from './serviceTimeSampler.js'
import { SlotQueue } from './slotQueue.js'
import { addUpstreamControl } from './upstreamControl.js'
import { FaultInjector } from './faultInjector.js'
import { abortOnDisconnect, readRequest, type UpstreamRequest } from './upstreamRequest.js'
import { sendDownload, sendJson, sendText, type ResponseHeaders } from './upstreamResponse.js'

/** Dependencies of an upstream stand-in; each has a default. */
export interface UpstreamDependencies {
  readonly clock?: Clock
  /** Defaults to the product's own headers. */
  readonly headers?: UpstreamHeaders
  /** Called on a crash if the option `crash.exits` is set. */
  readonly exit?: () => void
}

/** A stand-in for one upstream VM, which handles deadlines, cancellation and load shedding as the platform guarantees. */
export class UpstreamStandin {
  readonly runs = RunCounts.create()
  readonly faults: FaultInjector
  private readonly queue: SlotQueue
  private readonly random: RandomSource
  private readonly loadHistory: LoadHistory
  private readonly server: FastifyInstance = fastify({ forceCloseConnections: true })
  private readonly delayedConnections = new WeakSet<Socket>()
  private startedAt: Milliseconds = 0
  private previousRequestId = 'none'

  private constructor (private readonly options: UpstreamOptions, private readonly dependencies: Required<UpstreamDependencies>) {
    const { clock } = dependencies
    this.random = SeededRandom.create(options.seed)
    this.faults = FaultInjector.create(this.random)
    this.queue = SlotQueue.create(options.slots, options.queueLimit)
    this.loadHistory = LoadHistory.create(clock)
    this.server.server.maxConnections = options.maxConnections
    this.server.server.on('connection', (socket: Socket) => this.faults.addConnection(socket))
    addUpstreamControl(this.server, this)
    void this.server.register(async scope => this.addRequestRoute(scope))
  }

  static create (options: UpstreamOptionsInput = {}, dependencies: UpstreamDependencies = {}): UpstreamStandin {
    const { clock = SystemClock.create(), headers = ProductHeaders.create(), exit = () => {} } = dependencies
    return new UpstreamStandin(UPSTREAM_OPTIONS.parse(options), { clock, headers, exit })
  }

  /** Starts listening and returns the port. */
  async start (): Promise<number> {
    await this.server.listen({ host: this.options.host, port: this.options.port })
    this.startedAt = this.dependencies.clock.now()
    return (this.server.server.address() as AddressInfo).port
  }

  /** Stops listening and closes all connections, including those with requests in flight. */
  async stop (): Promise<void> {
    await this.server.close()
  }

  private addRequestRoute (scope: FastifyInstance): void {
    // readRequest reads bodies of any type and size as a stream.
    scope.removeAllContentTypeParsers()
    scope.addContentTypeParser('*', (_request, _payload, done) => done(null))
    scope.all('/*', async (request, reply) => this.handle(request, reply))
  }

  private async handle (request: FastifyRequest, reply: FastifyReply): Promise<void> {
    reply.hijack()
    const socket = request.raw.socket
    if (this.faults.isSilent(socket)) return
    const response = reply.raw
    const { headers, clock } = this.dependencies
    if (request.raw.url === headers.healthPath) return this.sendHealth(response)
    const metadata = headers.readRequest(request.raw.headers, clock.now())
    if (metadata.targetId !== undefined && metadata.targetId !== this.options.id) return sendText(response, 421, {}, 'request is addressed to another upstream')
    const cancelled = abortOnDisconnect(response)
    try {
      const upstreamRequest = await readRequest(request.raw, metadata, this.options.crash)
      await this.delayFirstRequest(socket)
      await this.admit(upstreamRequest, response, cancelled)
    } catch (error) {
      // Expected when the caller disconnected or the connection was destroyed.
      if (!cancelled.aborted && !response.destroyed) throw error
    }
  }

  private sendHealth (response: ServerResponse): void {
    const isHealthy = !this.faults.current().draining
    sendText(response, isHealthy ? 200 : 503, this.headers(undefined), isHealthy ? 'healthy' : 'draining')
  }

  private async delayFirstRequest (socket: Socket): Promise<void> {
    if (this.options.openConnectionMs === 0 || this.delayedConnections.has(socket)) return
    this.delayedConnections.add(socket)
    await sleep(this.options.openConnectionMs)
  }

  private async admit (request: UpstreamRequest, response: ServerResponse, cancelled: AbortSignal): Promise<void> {
    const { shedding } = this.faults.current()
    if (this.isPastDeadline(request)) return this.refuse(request, response, 'the deadline passed')
    if (shedding || this.queue.isFull()) return this.refuse(request, response, 'shed')
    if (this.faults.drawFastFailure()) return this.fail(request, response)
    const acquired = await this.acquireSlot(cancelled)
    if (!acquired) return
    const releaseSlot = this.createSlotRelease()
    try {
      // The wait for the slot may have outlasted the deadline.
      if (this.isPastDeadline(request)) return this.refuse(request, response, 'the deadline passed')
      await this.run(request, response, releaseSlot, cancelled)
    } finally {
      releaseSlot()
    }
  }

  private async acquireSlot (cancelled: AbortSignal): Promise<boolean> {
    const acquired = this.queue.acquire(cancelled)
    this.recordLoad()
    return acquired
  }

  /** Returns a function that releases the slot on its first call and does nothing afterwards. */
  private createSlotRelease (): () => void {
    let held = true
    return () => {
      if (!held) return
      held = false
      this.queue.release()
      this.recordLoad()
    }
  }

  private async run (request: UpstreamRequest, response: ServerResponse, releaseSlot: () => void, cancelled: AbortSignal): Promise<void> {
    this.runs.countStart(request.requestId, request.idempotencyKey, this.faults.current().draining)
    if (request.crashes) return this.crash(response)
    try {
      await sleep(this.serviceTimeMs(), undefined, { signal: cancelled })
      // A download holds its slot until it is sent; the load report of any other response excludes its own request.
      if (request.download === undefined) releaseSlot()
      await this.respond(request, response, cancelled)
      this.runs.count('completed')
    } catch (error) {
      if (cancelled.aborted) this.runs.count('cancelled')
      throw error
    }
  }

  private crash (response: ServerResponse): void {
    this.runs.count('crashed')
    response.socket?.destroy()
    if (this.options.crash.exits) this.dependencies.exit()
  }

  private async respond (request: UpstreamRequest, response: ServerResponse, cancelled: AbortSignal): Promise<void> {
    // Simulates a connection that broke without a reset: the request ran, but its response is lost.
    if (response.socket !== null && this.faults.isSilent(response.socket)) return
    const requestId = this.faults.consume('crossedResponses') ? `${this.previousRequestId}-crossed` : request.requestId
    this.previousRequestId = request.requestId ?? this.previousRequestId
    const headers = this.headers(requestId)
    const truncated = this.faults.consume('truncatedResponses')
    if (request.download !== undefined) return sendDownload(response, headers, request.download, truncated, cancelled)
    const { method, path, idempotencyKey: key, bodyBytes, bodySha256 } = request
    await sendJson(response, headers, { upstream: this.options.id, requestId, method, path, key, bodyBytes, bodySha256 }, truncated)
  }

  private refuse (request: UpstreamRequest, response: ServerResponse, reason: string): void {
    this.runs.count('refused')
    sendText(response, 503, { ...this.headers(request.requestId), ...this.dependencies.headers.notRun }, reason)
  }

  private fail (request: UpstreamRequest, response: ServerResponse): void {
    sendText(response, 500, this.headers(request.requestId), 'internal error')
  }

  private headers (requestId: string | undefined): ResponseHeaders {
    const { reports, reportDelayMs, reportOverride, requestsPerSecond } = this.faults.current()
    const load = reports ? { ...this.loadHistory.delayedLoad(reportDelayMs) ?? this.load(), ...reportOverride } : undefined
    return this.dependencies.headers.writeResponse({ requestId, upstreamId: this.options.id, load, requestsPerSecond })
  }

  /** The current load. */
  load (): Load {
    const { inFlight, queued, slots } = this.queue
    return { inFlight, queued, slots, draining: this.faults.current().draining }
  }

  /** Adds the current load to the history; to be called on each change of the load. */
  recordLoad (): void {
    this.loadHistory.record(this.load())
  }

  private isPastDeadline (request: UpstreamRequest): boolean {
    return request.deadlineAt !== undefined && this.dependencies.clock.now() > request.deadlineAt
  }

  private serviceTimeMs (): Milliseconds {
    const { serviceTime, coldStart } = this.options
    const speed = this.faults.current().speed ?? this.options.speed
    const isCold = this.dependencies.clock.now() < this.startedAt + coldStart.durationMs
    return sampleServiceTime(serviceTime, this.random) * (isCold ? coldStart.factor : 1) / speed
  }
}
