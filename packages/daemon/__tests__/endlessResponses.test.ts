import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { expect } from 'chai'
import type { ExchangeHandler } from '../src/core/upstreams/exchangeHandler.js'
import { HttpConnection } from '../src/core/upstreams/httpConnection.js'
import { throwError } from './harness.js'

const PART = 'x'.repeat(16 * 1024)
const HEAD = 'HTTP/1.1 200 OK\r\nX-Id: own\r\n'

/** What an upstream starts with, and what it then sends until the connection is closed. */
interface EndlessResponse {
  readonly name: string
  readonly start: string
  readonly part: string
}

const RESPONSES: readonly EndlessResponse[] = [
  { name: 'a header line', start: `${HEAD}X-Long: `, part: PART },
  { name: 'interim responses', start: '', part: 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(700) },
  { name: 'the digits of a chunk size', start: `${HEAD}Transfer-Encoding: chunked\r\n\r\n`, part: '0'.repeat(PART.length) },
  { name: 'a chunk extension', start: `${HEAD}Transfer-Encoding: chunked\r\n\r\n5;`, part: PART },
  { name: 'trailers', start: `${HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n`, part: 'X-Trailer: 1\r\n'.repeat(1200) },
  { name: 'a response to another request', start: 'HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n', part: PART }
]

/** Writes as fast as the receiver reads, until the connection is closed. */
function writeEndlessly (socket: Socket, { start, part }: EndlessResponse): void {
  socket.write(start)
  const writeMore = (): void => {
    while (!socket.destroyed && socket.write(part));
  }
  socket.on('drain', writeMore)
  writeMore()
}

class FailureRecorder implements ExchangeHandler {
  constructor (private readonly onEnd: (how: string) => void) {}

  onSent (): void {}

  onBodySent (): void {}

  onHead ({ rawHeaders }: Parameters<ExchangeHandler['onHead']>[0]): 'accept' | 'skip' {
    return rawHeaders.includes('own') ? 'accept' : 'skip'
  }

  onData (): boolean {
    return true
  }

  onComplete (): void {
    this.onEnd('complete')
  }

  onFailure (failure: string): void {
    this.onEnd(failure)
  }
}

describe('an upstream that never ends', () => {
  let server: Server

  afterEach(() => {
    server.close()
  })

  // Guards against one upstream that fills the memory of a VM and so ends its process.
  for (const response of RESPONSES) {
    it(`${response.name} loses its connection`, async () => {
      server = createServer(socket => {
        socket.on('error', () => {})
        socket.once('data', () => writeEndlessly(socket, response))
      })
      await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
      const how = await new Promise<string>(resolve => {
        const { port } = server.address() as AddressInfo
        const connection = HttpConnection.create({ host: '127.0.0.1', port, connectTimeoutMs: 1000, onError: throwError, onClose: () => {} })
        connection.send({ method: 'GET', path: '/', headers: [], body: null }, new FailureRecorder(resolve))
      })
      expect(how).to.equal('invalid')
    })
  }
})
