import { createServer, type RequestListener, type Server } from 'node:http'
import type { Socket } from 'node:net'
import { ConnectionLimit } from '../core/overload/connectionLimit.js'
import { hasBody } from '../core/callers/requestBody.js'

/**
 * Creates a server for short requests that are no callers'. It takes one request at a time on a connection and reads no bodies:
 * a client that sends either without end loses its connection, before its answers or its bytes take memory and time. Beyond
 * `maxConnections`, the oldest connection without a request is closed.
 */
export function createPlainServer (maxConnections: number, handle: RequestListener): Server {
  const busy = new WeakSet<Socket>()
  const server = createServer((request, response) => {
    const { socket } = request
    if (busy.has(socket)) return void socket.destroy()
    busy.add(socket)
    response.once('close', () => busy.delete(socket))
    if (hasBody(request)) response.setHeader('connection', 'close')
    handle(request, response)
  })
  ConnectionLimit.create(server, { maximum: maxConnections, stateOf: socket => busy.has(socket) ? 'busy' : 'new' })
  return server
}
