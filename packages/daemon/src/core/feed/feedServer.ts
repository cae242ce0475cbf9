import { WebSocketServer, type WebSocket } from 'ws'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Component } from '../../types/component.js'
import type { TableName } from '../../types/controlStore.js'
import type { FeedMessage } from '../../types/feedMessage.js'
import { splitAddress } from '../../utils/address.js'
import type { ChangeFeed, FeedPublisher, OffsetChanges } from './changeFeed.js'

/** Interval of position messages. Followers consider a VM down after three intervals without a message. */
export const HEARTBEAT_MS: Milliseconds = 400

/** A follower with a larger send backlog is disconnected; it then reads the store itself. */
const MAX_BACKLOG_BYTES = 1_000_000

/**
 * Changes that add up to more than this over all followers are not relayed, as they would saturate the link of a small
 * VM; the followers read them from the store.
 */
const MAX_BROADCAST_BYTES = 256 * 1024

/** Options of the feed server. */
export interface FeedServerOptions {
  /** IP address and port to listen on. */
  readonly address: string
  readonly feed: ChangeFeed
  /** Called when the number of followers has changed. */
  readonly onFollowersChange: () => void
}

/** Relays what this VM reads from the store to its followers. */
export class FeedServer implements Component, FeedPublisher {
  readonly name = 'feed server'
  private server: WebSocketServer | undefined
  private heartbeat: NodeJS.Timeout | undefined

  private constructor (private readonly options: FeedServerOptions) {}

  static create (options: FeedServerOptions): FeedServer {
    return new FeedServer(options)
  }

  /** Address of the server, with the bound port once it listens. */
  get address (): string {
    const bound = this.server?.address()
    const { host } = splitAddress(this.options.address)
    return bound === null || bound === undefined || typeof bound === 'string' ? this.options.address : `${host}:${bound.port}`
  }

  /** Number of VMs that follow this one. */
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
    if (bytes * this.followers > MAX_BROADCAST_BYTES) return
    const encoded = records.map(({ key, value }) => ({ key, value: value?.toString('base64') }))
    this.broadcast({ kind: 'changes', table, from, records: encoded })
  }

  onPosition (): void {
    this.broadcast(this.positions())
  }

  private accept (socket: WebSocket): void {
    const { onFollowersChange } = this.options
    socket.on('error', () => socket.terminate())
    socket.on('close', onFollowersChange)
    socket.send(JSON.stringify(this.positions()))
    onFollowersChange()
  }

  private positions (): FeedMessage {
    return { kind: 'positions', tables: this.options.feed.ownPositions() }
  }

  private broadcast (message: FeedMessage): void {
    if (this.followers === 0) return
    const text = JSON.stringify(message)
    for (const socket of this.server?.clients ?? []) {
      if (socket.bufferedAmount > MAX_BACKLOG_BYTES) socket.terminate()
      else if (socket.readyState === socket.OPEN) socket.send(text)
    }
  }
}
