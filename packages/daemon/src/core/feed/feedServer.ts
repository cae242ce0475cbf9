import { WebSocketServer, type WebSocket } from 'ws'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Component } from '../../types/component.js'
import type { TableName } from '../../types/controlStore.js'
import type { FeedMessage } from '../../types/feedMessage.js'
import { splitAddress } from '../../utils/address.js'
import type { ChangeFeed, FeedPublisher, OffsetChanges } from './changeFeed.js'

/** Followers take a VM that was silent for three of these for gone. */
export const HEARTBEAT_MS: Milliseconds = 400

/** A follower that does not read what it gets is cut off; it then reads the store itself. */
const LARGEST_BACKLOG_BYTES = 1_000_000

/** Larger copies of a change for all followers together would hold up the link of a small VM; they read it from the store. */
const LARGEST_BROADCAST_BYTES = 256 * 1024

/** What the server is made of. */
export interface FeedServerOptions {
  /** IP address and port. */
  readonly address: string
  readonly feed: ChangeFeed
  /** The number of followers changed. */
  readonly onFollowers: () => void
}

/** Hands what this VM reads from the store to the VMs that follow it. */
export class FeedServer implements Component, FeedPublisher {
  readonly name = 'feed server'
  private server: WebSocketServer | undefined
  private heartbeat: NodeJS.Timeout | undefined

  private constructor (private readonly options: FeedServerOptions) {}

  static create (options: FeedServerOptions): FeedServer {
    return new FeedServer(options)
  }

  /** Where the server listens. */
  get address (): string {
    const bound = this.server?.address()
    const { host } = splitAddress(this.options.address)
    return bound === null || bound === undefined || typeof bound === 'string' ? this.options.address : `${host}:${bound.port}`
  }

  /** VMs that follow this one. */
  get followers (): number {
    return this.server?.clients.size ?? 0
  }

  async start (onFailure: (error: Error) => void): Promise<void> {
    const server = new WebSocketServer({ ...splitAddress(this.options.address), perMessageDeflate: false })
    this.server = server
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.once('listening', () => {
        server.off('error', reject)
        resolve()
      })
    })
    server.once('error', onFailure)
    server.on('connection', socket => this.accept(socket))
    this.heartbeat = setInterval(() => this.onPosition(), HEARTBEAT_MS)
  }

  async stop (): Promise<void> {
    clearInterval(this.heartbeat)
    for (const socket of this.server?.clients ?? []) socket.terminate()
    this.server?.close()
  }

  onChanges (table: TableName, { from, records }: OffsetChanges): void {
    const bytes = records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0)
    if (bytes * this.followers > LARGEST_BROADCAST_BYTES) return
    const encoded = records.map(({ key, value }) => ({ key, value: value?.toString('base64') }))
    this.broadcast({ kind: 'changes', table, from, records: encoded })
  }

  onPosition (): void {
    this.broadcast(this.positions())
  }

  private accept (socket: WebSocket): void {
    const { onFollowers } = this.options
    socket.on('error', () => socket.terminate())
    socket.on('close', onFollowers)
    socket.send(JSON.stringify(this.positions()))
    onFollowers()
  }

  private positions (): FeedMessage {
    return { kind: 'positions', tables: this.options.feed.ownPositions() }
  }

  private broadcast (message: FeedMessage): void {
    if (this.followers === 0) return
    const text = JSON.stringify(message)
    for (const socket of this.server?.clients ?? []) {
      if (socket.bufferedAmount > LARGEST_BACKLOG_BYTES) socket.terminate()
      else if (socket.readyState === socket.OPEN) socket.send(text)
    }
  }
}
