import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { PassThrough } from 'node:stream'
import { expect } from 'chai'
import type { ExchangeHandler, ExchangeFailure } from '../src/core/upstreams/exchangeHandler.js'
import { HttpConnection } from '../src/core/upstreams/httpConnection.js'
import type { OutgoingRequest } from '../src/core/upstreams/outgoingRequest.js'
import type { ParsedHead } from '../src/core/upstreams/responseParser.js'
import { throwError, waitUntil } from './harness.js'

const GET: OutgoingRequest = { method: 'GET', path: '/', headers: ['X-Id', '1'], body: null }

/** Records an exchange. `accepts` decides whether to accept a response, `flows` whether to continue reading. */
class Recorder implements ExchangeHandler {
  readonly heads: ParsedHead[] = []
  body = ''
  readonly ended: Promise<'complete' | ExchangeFailure>
  private end: (how: 'complete' | ExchangeFailure) => void = () => {}

  constructor (private readonly accepts: (head: ParsedHead) => boolean = () => true, private readonly flows: () => boolean = () => true) {
    this.ended = new Promise(resolve => {
      this.end = resolve
    })
  }

  onSent (): void {}

  onBodySent (): void {}

  onHead (head: ParsedHead): 'accept' | 'skip' {
    this.heads.push(head)
    return this.accepts(head) ? 'accept' : 'skip'
  }

  onData (chunk: Buffer): boolean {
    this.body += chunk.toString()
    return this.flows()
  }

  onComplete (): void {
    this.end('complete')
  }

  onFailure (failure: ExchangeFailure): void {
    this.end(failure)
  }
}

function response (body: string, id = 'own'): string {
  return `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`
}

describe('connections to upstreams', () => {
  let server: Server
  const sockets = new Set<Socket>()

  /** Starts a server that calls `onRequest` with the number of the request on its connection, and connects to it. */
  async function listen (onRequest: (socket: Socket, count: number) => void): Promise<HttpConnection> {
    server = createServer(socket => {
      let count = 0
      sockets.add(socket)
      socket.on('error', () => {})
      socket.on('data', () => onRequest(socket, ++count))
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    return connect()
  }

  function connect (): HttpConnection {
    return HttpConnection.create({ host: '127.0.0.1', port: (server.address() as AddressInfo).port, connectTimeoutMs: 1000, onError: throwError, onClose: () => {} })
  }

  async function exchange (connection: HttpConnection, recorder = new Recorder()): Promise<Recorder> {
    connection.send(GET, recorder)
    await recorder.ended
    return recorder
  }

  afterEach(() => {
    for (const socket of sockets) socket.destroy()
    sockets.clear()
    server.close()
  })

  // Guards against a stray response that is delivered to the next request on the connection or fails it.
  it('skips a late extra response and waits for the expected one', async () => {
    const connection = await listen((socket, count) => socket.write(count === 1 ? response('first', 'a') : response('stray', 'a') + response('second', 'b')))
    await exchange(connection)
    const recorder = new Recorder(({ rawHeaders }) => rawHeaders.includes('b'))
    await exchange(connection, recorder)
    expect([recorder.body, await recorder.ended]).to.deep.equal(['second', 'complete'])
  })

  // Guards against a request that is given up because the second copy of a long download comes first.
  it('skips a late extra response of several hundred kilobytes', async () => {
    const stray = response('x'.repeat(400_000), 'stray')
    const connection = await listen((socket, count) => socket.write(count === 1 ? response('first') : stray + response('second')))
    await exchange(connection)
    const recorder = await exchange(connection, new Recorder(head => head.rawHeaders[1] === 'own'))
    expect([await recorder.ended, recorder.body]).to.deep.equal(['complete', 'second'])
  })

  // Guards against a streamed body that is not sent to its end because a stray response arrives meanwhile.
  it('goes on sending a body when a stray response arrives', async () => {
    const body = new PassThrough()
    let received = ''
    const connection = await listen((socket, count) => {
      if (count === 1) socket.write(response('first'))
    })
    await exchange(connection)
    for (const socket of sockets) socket.on('data', chunk => (received += chunk.toString()))
    const recorder = new Recorder(({ rawHeaders }) => rawHeaders.includes('own'))
    connection.send({ ...GET, method: 'POST', body }, recorder)
    body.write('one')
    for (const socket of sockets) socket.write(response('stray', 'other'))
    await waitUntil(() => recorder.heads.length > 0)
    body.end('two')
    await waitUntil(() => received.includes('two'))
    for (const socket of sockets) socket.write(response('second'))
    expect(await recorder.ended).to.equal('complete')
    expect([recorder.body, connection.isReusable]).to.deep.equal(['second', false])
  })

  // Guards against reusing a connection on which unsolicited bytes arrived.
  it('is not reusable after bytes beyond the response', async () => {
    const connection = await listen(socket => socket.write(response('whole') + response('more')))
    expect((await exchange(connection)).body).to.equal('whole')
    await new Promise(resolve => setTimeout(resolve, 20))
    expect(connection.isReusable).to.equal(false)
  })

  // Guards against a connection that stays paused for its next request because the last chunk paused it.
  it('reads the next response after one whose last chunk paused reading', async () => {
    const connection = await listen(socket => socket.write(response('x')))
    await exchange(connection, new Recorder(() => true, () => false))
    expect((await exchange(connection)).body).to.equal('x')
  })

  // Guards against treating a response without a length as complete when the connection is reset.
  it('fails a response without a length on a reset, and completes it on an orderly close', async () => {
    const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart'
    const reset = await listen(socket => socket.write(head, () => setTimeout(() => socket.resetAndDestroy(), 10)))
    expect(await (await exchange(reset)).ended).to.equal('closed')
    server.close()
    const ended = await listen(socket => socket.end(head))
    expect(await (await exchange(ended)).ended).to.equal('complete')
  })

  const invalid: Array<[string, string]> = [
    ['text that is not HTTP', 'hello\r\n\r\n'],
    ['a chunk size that is not a number', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n\r\n'],
    ['a content length that is not a number', 'HTTP/1.1 200 OK\r\nContent-Length: ten\r\n\r\n0123456789'],
    ['a control character in a header value', 'HTTP/1.1 200 OK\r\nX-Record: permit\u0001record\r\nContent-Length: 0\r\n\r\n'],
    ['a control character in a header name', 'HTTP/1.1 200 OK\r\nX-Re\u0001cord: permit\r\nContent-Length: 0\r\n\r\n'],
    ['a status below the range', 'HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n'],
    ['a status above the range', 'HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n'],
    ['a length beside chunks', 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n'],
    ['two lengths', 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc'],
    ['an unknown transfer encoding', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunkee\r\n\r\n3\r\nabc\r\n0\r\n\r\n'],
    ['several transfer encodings', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n'],
    ['two transfer encodings', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n'],
    ['a change of the protocol', 'HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: upgrade\r\n\r\n']
  ]
  for (const [name, bytes] of invalid) {
    // Guards against accepting malformed bytes as a complete response.
    it(`rejects ${name} as invalid`, async () => {
      const connection = await listen(socket => socket.write(bytes))
      expect(await (await exchange(connection)).ended).to.equal('invalid')
    })
  }

  // Guards against a caller that never gets an answer because an error in the handling of its response is taken for a parse error.
  it('reports what a handler throws, and fails its exchange', async () => {
    const errors: string[] = []
    const { port } = (await listen(socket => socket.write(response('x'))), server.address() as AddressInfo)
    const connection = HttpConnection.create({ host: '127.0.0.1', port, connectTimeoutMs: 1000, onError: error => errors.push(error.message), onClose: () => {} })
    const throwing = new Recorder(() => {
      throw new Error('unexpected')
    })
    expect(await (await exchange(connection, throwing)).ended).to.equal('invalid')
    expect(errors).to.deep.equal(['unexpected'])
  })

  // Guards against an exception in a timer, which ends the process, where the address of an upstream is impossible.
  it('fails as unsent, and not with an exception, if the port is out of range', async () => {
    const connection = HttpConnection.create({ host: '127.0.0.1', port: 70_000, connectTimeoutMs: 1000, onError: throwError, onClose: () => {} })
    expect(await (await exchange(connection)).ended).to.equal('unsent')
  })

  const FRAMINGS = ['Content-Length: 3\r\n\r\nabc', 'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n', 'Connection: close\r\n\r\n']
  for (const framing of FRAMINGS) {
    for (const method of ['GET', 'POST', 'HEAD']) {
      // Guards against a part of a response that is delivered as a whole one, with an empty or a short body.
      it(`does not complete a cut response to ${method} with ${framing.split('\r\n', 1)[0]}`, async () => {
        const whole = `HTTP/1.1 200 OK\r\nX-Id: own\r\n${framing}`
        const length = method === 'HEAD' ? whole.indexOf('\r\n\r\n') + 4 : whole.length
        let cut = 0
        await listen(socket => socket.end(whole.slice(0, cut)))
        for (; cut < length; cut++) {
          const recorder = new Recorder()
          connect().send({ ...GET, method }, recorder)
          expect([cut, await recorder.ended]).to.deep.equal([cut, 'closed'])
        }
      })
    }
  }

  // Guards against reporting a sent request as not run, and an unsent one as having an unknown outcome.
  it('distinguishes a refused connection from one that closed after the request was sent', async () => {
    const sent = await listen(socket => socket.destroy())
    expect(await (await exchange(sent)).ended).to.equal('closed')
    const { port } = server.address() as AddressInfo
    await new Promise(resolve => server.close(resolve))
    const refused = HttpConnection.create({ host: '127.0.0.1', port, connectTimeoutMs: 1000, onError: throwError, onClose: () => {} })
    expect(await (await exchange(refused)).ended).to.equal('unsent')
  })
})
