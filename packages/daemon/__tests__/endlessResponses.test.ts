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
  { name: 'header lines', start: HEAD, part: 'X-Line: 1\r\n'.repeat(1500) },
  { name: 'a status line', start: 'HTTP/1.1 200 ', part: PART },
  { name: 'empty lines', start: '', part: '\r\n'.repeat(8000) },
  { name: 'bytes that are no response', start: '', part: PART },
  { name: 'a length beyond all numbers', start: `${HEAD}Content-Length: 1`, part: '0'.repeat(PART.length) },
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

  /** Sends a request to an upstream that answers so; returns how the exchange ended once its connection is closed. */
  async function exchange (response: EndlessResponse, method: string): Promise<string> {
    server = createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => writeEndlessly(socket, response))
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const { port } = server.address() as AddressInfo
    return new Promise<string>(resolve => {
      let end = ''
      const connection = HttpConnection.create({ host: '127.0.0.1', port, connectTimeoutMs: 1000, onError: throwError, onClose: () => setImmediate(() => resolve(end)) })
      const body = method === 'POST' ? Buffer.from('body') : null
      connection.send({ method, path: '/', headers: [], body }, new FailureRecorder(how => void (end = how)))
    })
  }

  // Guards against one upstream that fills the memory of a VM and so ends its process.
  for (const response of RESPONSES) {
    for (const method of ['GET', 'POST']) {
      it(`${response.name} loses its connection, in answer to a ${method}`, async () => {
        expect(await exchange(response, method)).to.equal('invalid')
      })
    }
  }

  // Guards against bytes that are kept because they follow an answer that is whole.
  for (const method of ['GET', 'HEAD', 'POST']) {
    it(`after a complete response loses its connection, in answer to a ${method}`, async () => {
      const start = `${HEAD}Content-Length: ${method === 'HEAD' ? 999_999 : 2}\r\n\r\n${method === 'HEAD' ? '' : 'ok'}`
      expect(await exchange({ name: '', start, part: PART }, method)).to.equal('complete')
    })
  }
})
