import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { ConnectionState } from './connectionLimit.js'

interface Activity {
  /** Requests that have not been read to their end. */
  readonly receiving: Set<IncomingMessage>
  /** Responses that have not been sent. */
  responses: number
  /** Bytes read when the last request began or ended; undefined before the first. */
  parsedBytes: number | undefined
}

/** What each connection of a server is doing. */
export class ConnectionActivity {
  private readonly activities = new Map<Socket, Activity>()

  private constructor () {}

  static create (): ConnectionActivity {
    return new ConnectionActivity()
  }

  /** The open connections. */
  get sockets (): Iterable<Socket> {
    return this.activities.keys()
  }

  /** Adds a connection until it closes. */
  add (socket: Socket): void {
    this.activities.set(socket, { receiving: new Set(), responses: 0, parsedBytes: undefined })
    socket.once('close', () => this.activities.delete(socket))
  }

  /** A request has arrived whose body may follow. */
  onRequest (request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request
    const activity = this.activities.get(socket)
    if (activity === undefined) return
    activity.parsedBytes = socket.bytesRead
    activity.receiving.add(request)
    activity.responses += 1
    request.once('close', () => {
      activity.receiving.delete(request)
      activity.parsedBytes = socket.bytesRead
    })
    response.once('close', () => {
      activity.responses -= 1
      activity.parsedBytes = socket.bytesRead
    })
  }

  stateOf (socket: Socket): ConnectionState {
    const activity = this.activities.get(socket)
    if (activity?.parsedBytes === undefined) return 'new'
    if ([...activity.receiving].some(({ complete }) => !complete)) return 'receiving'
    return activity.responses > 0 ? 'busy' : 'idle'
  }

  /** Bytes that have been read since the last request, if none is in progress. */
  unparsedBytes (socket: Socket): number {
    const state = this.stateOf(socket)
    if (state === 'busy' || state === 'receiving') return 0
    return socket.bytesRead - (this.activities.get(socket)?.parsedBytes ?? 0)
  }
}
