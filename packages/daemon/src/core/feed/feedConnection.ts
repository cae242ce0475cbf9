import { WebSocket, type RawData } from 'ws'
import type { FleetMember } from '@cowsliplead/core/types/fleetMember.js'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import { parseJson } from '@cowsliplead/core/utils/parseJson.js'
import { FEED_MESSAGE, type FeedMessage } from '../../types/feedMessage.js'
import { HEARTBEAT_MS } from './feedServer.js'

const CONNECT_TIMEOUT_MS: Milliseconds = 500

/** A VM that was silent for this long is taken to be gone. */
const SILENCE_MS: Milliseconds = 3 * HEARTBEAT_MS

/** Why a connection ended. */
export type FeedLoss = 'closed' | 'silent' | 'invalid'

/** The owner of a connection. */
export interface FeedConnectionObserver {
  onMessage (source: FleetMember, message: FeedMessage): void
  /** Called at most once, and not after `close`. */
  onLost (source: FleetMember, loss: FeedLoss): void
}

/** The connection to one VM that this one follows. */
export class FeedConnection {
  private readonly socket: WebSocket
  private timer: NodeJS.Timeout | undefined
  private isEnded = false

  private constructor (readonly source: FleetMember, private readonly observer: FeedConnectionObserver) {
    this.socket = new WebSocket(`ws://${source.feedAddress}`, { handshakeTimeout: CONNECT_TIMEOUT_MS, perMessageDeflate: false })
    this.socket.on('message', data => this.onMessage(data))
    this.socket.on('error', () => this.lose('closed'))
    this.socket.on('close', () => this.lose('closed'))
    this.expectMessage()
  }

  /** Starts to connect at once. */
  static create (source: FleetMember, observer: FeedConnectionObserver): FeedConnection {
    return new FeedConnection(source, observer)
  }

  /** Ends the connection without a word to its owner. */
  close (): void {
    this.isEnded = true
    clearTimeout(this.timer)
    this.socket.terminate()
  }

  private onMessage (data: RawData): void {
    if (this.isEnded) return
    this.expectMessage()
    const message = FEED_MESSAGE.safeParse(parseJson(String(data))).data
    if (message === undefined) this.lose('invalid')
    else this.observer.onMessage(this.source, message)
  }

  private expectMessage (): void {
    clearTimeout(this.timer)
    this.timer = setTimeout(() => this.lose('silent'), SILENCE_MS)
  }

  private lose (loss: FeedLoss): void {
    if (this.isEnded) return
    this.close()
    this.observer.onLost(this.source, loss)
  }
}
