import { WebSocket, type RawData } from 'ws'
import type { FleetMember } from '@cowsliplead/core/types/fleetMember.js'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import { parseJson } from '@cowsliplead/core/utils/parseJson.js'
import { FEED_MESSAGE, type FeedMessage, type FeedRequest } from '../../types/feedMessage.js'
import { HEARTBEAT_MS } from './feedServer.js'

const CONNECT_TIMEOUT_MS: Milliseconds = 500

/** A VM that sends nothing for this long is considered down. */
const SILENCE_TIMEOUT_MS: Milliseconds = 3 * HEARTBEAT_MS

/** A longer message ends the connection. Changes and copies are bounded well below this by their sender. */
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024

/** Why a connection ended: closed by the peer or failed, no message in time, or an invalid message. */
export type DisconnectReason = 'closed' | 'silent' | 'invalid'

/** Receives the events of a connection. */
export interface FeedConnectionObserver {
  /** What this VM has to ask a VM that it follows. */
  requests (followed: FleetMember): FeedRequest[]
  onMessage (followed: FleetMember, message: FeedMessage): void
  /** Called at most once, and not after `close`. */
  onDisconnect (followed: FleetMember, reason: DisconnectReason): void
}

/** Connection to a VM that this one follows. */
export class FeedConnection {
  private readonly socket: WebSocket
  private timer: NodeJS.Timeout | undefined
  private isClosed = false

  private constructor (readonly followed: FleetMember, private readonly observer: FeedConnectionObserver) {
    this.socket = new WebSocket(`ws://${followed.feedAddress}`, {
      handshakeTimeout: CONNECT_TIMEOUT_MS, perMessageDeflate: false, maxPayload: MAX_MESSAGE_BYTES
    })
    this.socket.on('open', () => this.sendRequests())
    this.socket.on('message', data => this.onMessage(data))
    this.socket.on('error', () => this.handleDisconnect('closed'))
    this.socket.on('close', () => this.handleDisconnect('closed'))
    this.restartSilenceTimer()
  }

  /** Starts connecting immediately. */
  static create (followed: FleetMember, observer: FeedConnectionObserver): FeedConnection {
    return new FeedConnection(followed, observer)
  }

  /** Asks the followed VM, unless the connection is not open. */
  sendRequests (): void {
    if (this.socket.readyState !== WebSocket.OPEN) return
    for (const request of this.observer.requests(this.followed)) this.socket.send(JSON.stringify(request))
  }

  /** Closes the connection without notifying the observer. */
  close (): void {
    this.isClosed = true
    clearTimeout(this.timer)
    this.socket.terminate()
  }

  private onMessage (data: RawData): void {
    if (this.isClosed) return
    this.restartSilenceTimer()
    const message = FEED_MESSAGE.safeParse(parseJson(String(data))).data
    if (message === undefined) this.handleDisconnect('invalid')
    else this.observer.onMessage(this.followed, message)
  }

  private restartSilenceTimer (): void {
    clearTimeout(this.timer)
    this.timer = setTimeout(() => this.handleDisconnect('silent'), SILENCE_TIMEOUT_MS)
  }

  private handleDisconnect (reason: DisconnectReason): void {
    if (this.isClosed) return
    this.close()
    this.observer.onDisconnect(this.followed, reason)
  }
}
