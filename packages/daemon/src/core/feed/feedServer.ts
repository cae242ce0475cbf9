import { createServer, type Server } from 'node:http'
import type { Socket } from 'node:net'
import { WebSocketServer, type RawData, type WebSocket } from 'ws'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import { parseJson } from '@cowsliplead/core/utils/parseJson.js'
import type { Component } from '../../types/component.js'
import type { TableName } from '../../types/controlStore.js'
import { FEED_REQUEST, type ConfirmationRequest, type FeedMessage, type FeedRecords } from '../../types/feedMessage.js'
import type { FeedPublisher, HeldRecords, OffsetChanges } from '../../types/feedTable.js'
import { splitAddress } from '../../utils/address.js'
import { closeImmediately, listenOn } from '../../utils/listen.js'
import { ConnectionLimit } from '../overload/connectionLimit.js'
import type { ChangeFeed } from './changeFeed.js'
import type { ConfirmationExchange } from './confirmationExchange.js'
import { bytesOf, encodeFeedRecords } from './feedRecords.js'
import type { LeavingNotices } from './leavingNotices.js'

/** Interval of position messages. Followers consider a VM down after three intervals without a message. */
export const HEARTBEAT_MS: Milliseconds = 400

/** Shortest time between two position messages: a relay hears of each read from several VMs. */
const POSITION_INTERVAL_MS: Milliseconds = 100

/** A follower with a larger send backlog is disconnected; it then reads the store itself. */
const MAX_BACKLOG_BYTES = 1_000_000

/**
 * Changes and copies that add up to more than this over all followers are not sent, as they would saturate the link of a
 * small VM; the followers read them from the store.
 */
const MAX_SENT_BYTES = 256 * 1024

/** Status for a request that is no follower's. */
const UPGRADE_REQUIRED = 426

/** Requests of followers are short; a longer message ends the connection. */
const MAX_REQUEST_BYTES = 1024

/** Options of the feed server. */
export interface FeedServerOptions {
  /** IP address and port to listen on. */
  readonly address: string
  readonly maxConnections: number
  readonly feed: ChangeFeed
  readonly clock: Clock
  /** Undefined if the age of the configuration is not limited. */
  readonly confirmations?: ConfirmationExchange | undefined
  /** Upstreams that are leaving, for this VM's followers. */
  readonly leaving?: LeavingNotices
}

/** Passes on what this VM knows of the store to its followers. */
export class FeedServer implements Component, FeedPublisher {
  readonly name = 'feed server'
  /** Messages sent since the start. */
  sent = 0
  private httpServer: Server | undefined
  private server: WebSocketServer | undefined
  /** Connections of followers. */
  private readonly followerSockets = new WeakSet<Socket>()
  private heartbeat: NodeJS.Timeout | undefined
  private positionTimer: NodeJS.Timeout | undefined
  private positionsSentAt: Milliseconds = -Infinity
  /** Followers that wait for a copy of a table which this VM does not know yet. */
  private readonly requests = new Map<WebSocket, Set<TableName>>()

  private constructor (private readonly options: FeedServerOptions) {}

  static create (options: FeedServerOptions): FeedServer {
    return new FeedServer(options)
  }

  /** Address of the server, with the bound port once it listens. */
  get address (): string {
    const bound = this.httpServer?.address()
    const { host } = splitAddress(this.options.address)
    return bound === null || bound === undefined || typeof bound === 'string' ? this.options.address : `${host}:${bound.port}`
  }

  /** Number of VMs that follow this one. */
  get followers (): number {
    return this.server?.clients.size ?? 0
  }

  async start (onFailure: (error: Error) => void): Promise<void> {
    const httpServer = createServer((_request, response) => void response.writeHead(UPGRADE_REQUIRED, { connection: 'close' }).end())
    const server = new WebSocketServer({ server: httpServer, perMessageDeflate: false, maxPayload: MAX_REQUEST_BYTES })
    this.httpServer = httpServer
    this.server = server
    // Errors of the HTTP server, which the listener below handles, are passed on.
    server.on('error', () => {})
    ConnectionLimit.create(httpServer, { maximum: this.options.maxConnections, stateOf: socket => this.isFollower(socket) ? 'busy' : 'new' })
    await listenOn(httpServer, this.options.address, onFailure)
    server.on('connection', (socket, request) => {
      this.followerSockets.add(request.socket)
      this.accept(socket)
    })
    this.heartbeat = setInterval(() => this.sendHeartbeat(), HEARTBEAT_MS / 2)
  }

  async stop (): Promise<void> {
    clearInterval(this.heartbeat)
    clearTimeout(this.positionTimer)
    this.positionTimer = undefined
    for (const socket of this.server?.clients ?? []) socket.terminate()
    this.server?.close()
    if (this.httpServer !== undefined) closeImmediately(this.httpServer)
  }

  onChanges (table: TableName, { epoch, from, records }: OffsetChanges): void {
    if (bytesOf(records) * this.followers > MAX_SENT_BYTES) return
    this.broadcast({ kind: 'changes', table, epoch, from, records: encodeFeedRecords(records) })
  }

  onPosition (): void {
    for (const socket of this.requests.keys()) this.answerRequests(socket)
    const delayMs = this.positionsSentAt + POSITION_INTERVAL_MS - this.options.clock.now()
    if (delayMs <= 0) this.sendPositions()
    else this.positionTimer ??= setTimeout(() => this.sendPositions(), delayMs)
  }

  /** Sends the positions unless a message has shown a short time ago that this VM is up. */
  private sendHeartbeat (): void {
    if (this.options.clock.now() - this.positionsSentAt >= HEARTBEAT_MS / 2) this.sendPositions()
  }

  private sendPositions (): void {
    clearTimeout(this.positionTimer)
    this.positionTimer = undefined
    this.positionsSentAt = this.options.clock.now()
    this.broadcast(this.positions())
  }

  private isFollower (socket: Socket): boolean {
    return this.followerSockets.has(socket)
  }

  private accept (socket: WebSocket): void {
    socket.on('error', () => socket.terminate())
    socket.on('close', () => this.requests.delete(socket))
    socket.on('message', data => this.onMessage(socket, data))
    this.send(socket, this.positions())
  }

  private onMessage (socket: WebSocket, data: RawData): void {
    const request = FEED_REQUEST.safeParse(parseJson(String(data))).data
    if (request === undefined) return socket.terminate()
    if (request.kind === 'confirm') return this.confirm(socket, request)
    this.requests.set(socket, new Set(request.tables))
    this.answerRequests(socket)
  }

  private confirm (socket: WebSocket, request: ConfirmationRequest): void {
    this.send(socket, this.options.confirmations?.answer(request) ?? { kind: 'confirmed', id: request.id })
  }

  /** Sends the requested copies that this VM has; the others follow once it knows the tables. */
  private answerRequests (socket: WebSocket): void {
    const tables = this.requests.get(socket) ?? new Set()
    for (const table of tables) {
      const answer = this.answerFor(table)
      if (answer === undefined) continue
      tables.delete(table)
      this.send(socket, answer)
    }
    if (tables.size === 0) this.requests.delete(socket)
  }

  private answerFor (table: TableName): FeedMessage | undefined {
    const copy = this.options.feed.copyOf(table)
    if (copy === undefined) return undefined
    if (this.backlogBytes() + bytesOf(copy.records) > MAX_SENT_BYTES) return { kind: 'declined', table }
    const { epoch, offset } = copy.position
    return { kind: 'copy', table, position: { epoch, end: offset, ageMs: copy.ageMs }, records: encodeFeedRecords(copy.records), held: encodeHeld(copy.held) }
  }

  private backlogBytes (): number {
    return [...this.server?.clients ?? []].reduce((sum, { bufferedAmount }) => sum + bufferedAmount, 0)
  }

  private positions (): FeedMessage {
    const leaving = this.options.leaving?.recent() ?? []
    return { kind: 'positions', tables: this.options.feed.positions(), leaving: leaving.length > 0 ? leaving : undefined }
  }

  private broadcast (message: FeedMessage): void {
    if (this.followers === 0) return
    const text = JSON.stringify(message)
    for (const socket of this.server?.clients ?? []) {
      if (socket.bufferedAmount > MAX_BACKLOG_BYTES) socket.terminate()
      else if (socket.readyState === socket.OPEN) this.sendText(socket, text)
    }
  }

  private send (socket: WebSocket, message: FeedMessage): void {
    this.sendText(socket, JSON.stringify(message))
  }

  private sendText (socket: WebSocket, text: string): void {
    this.sent += 1
    socket.send(text)
  }
}

function encodeHeld (held: HeldRecords | undefined): { readonly records: FeedRecords, readonly leftMs: Milliseconds } | undefined {
  return held && { records: encodeFeedRecords(held.records), leftMs: held.leftMs }
}
