// Stand-in of a backend as PROTOCOL.md describes it. It reads one request at a time on a connection and writes raw bytes, so
// that a case can spoil an answer as the pages allow.
import { createServer } from 'node:net'
import { randomBytes } from 'node:crypto'

const HEARTBEAT_MS = 1000

export class Backend {
  running = 0
  waiting = []
  sequence = 0
  /** `answer(request, backend, connection)` may be replaced by a case; it resolves once the answer is written. */
  constructor (options) {
    Object.assign(this, { host: '127.0.0.1', slots: 4, queue: 8, tellsLoad: true, workMs: 20 }, options)
    this.id = `i-${randomBytes(4).toString('hex')}`
    this.born = Date.now()
  }

  async start () {
    this.server = createServer(socket => this.accept(socket))
    await new Promise(resolve => this.server.listen(0, this.host, resolve))
    this.address = `${this.host}:${this.server.address().port}`
    this.sockets = new Set()
    this.server.on('connection', socket => {
      this.sockets.add(socket)
      socket.on('close', () => this.sockets.delete(socket))
    })
    this.beat()
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS)
    return this
  }

  beat () {
    this.store.put('keyed.servers', this.id, {
      address: this.address,
      born: this.born,
      info: { service: this.service, version: 'v1', zone: this.zone, slots: this.slots },
      status: { state: 'ready', sequence: ++this.sequence, warmupLeftS: 0 }
    })
  }

  stop () {
    clearInterval(this.timer)
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  /** Resets all connections and refuses new ones, and comes back after `downMs` as a new lifetime at the same address. */
  async crash (downMs) {
    clearInterval(this.timer)
    this.isDown = true
    for (const socket of this.sockets) socket.resetAndDestroy()
    await sleep(downMs)
    this.store.put('keyed.servers', this.id, undefined)
    Object.assign(this, { id: `i-${randomBytes(4).toString('hex')}`, born: Date.now(), sequence: 0, isDown: false })
    this.beat()
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS)
  }

  accept (socket) {
    if (this.isDown) return void socket.resetAndDestroy()
    socket.setNoDelay(true)
    socket.on('error', () => {})
    const connection = { socket, buffer: Buffer.alloc(0), isBusy: false, isClosed: false, state: {} }
    socket.on('close', () => {
      connection.isClosed = true
    })
    socket.on('data', chunk => {
      connection.buffer = Buffer.concat([connection.buffer, chunk])
      void this.serveNext(connection)
    })
  }

  async serveNext (connection) {
    if (connection.isBusy) return
    connection.isBusy = true
    try {
      for (;;) {
        const request = takeRequest(connection)
        if (request === undefined || connection.isClosed) return
        await this.serve(request, connection)
      }
    } finally {
      connection.isBusy = false
    }
  }

  async serve (request, connection) {
    const target = request.headers['x-cowsliplead-target-instance']
    if (target !== undefined && target !== this.id) return this.write(connection, request, 421, { notRun: true, sealed: false, body: 'other instance' })
    if (request.path === '/health') return this.health(request, connection)
    if (!await this.takeSlot()) return this.reject(request, connection)
    try {
      await this.run(request, connection)
    } finally {
      this.freeSlot()
    }
  }

  async health (request, connection) {
    this.write(connection, request, 200, { sealed: false, body: 'ok' })
  }

  async run (request, connection) {
    this.onRun?.(request, this)
    await sleep(this.workMs)
    const answer = this.answer ?? (async () => this.write(connection, request, 200, { body: `done ${request.id}` }))
    await answer(request, this, connection)
  }

  reject (request, connection) {
    this.write(connection, request, 503, { notRun: true, sealed: false, body: 'full' })
  }

  /** The bytes of an answer. */
  encode (request, status, { notRun = false, sealed = true, body = '', headers = [], framing = 'length' }) {
    const bytes = Buffer.isBuffer(body) ? body : Buffer.from(body)
    const lines = [`HTTP/1.1 ${status} ${status < 300 ? 'OK' : 'Refused'}`]
    if (request.id !== undefined) lines.push(`X-Cowsliplead-Attempt-Id: ${request.id}`)
    if (request.path === '/health') lines.push(`X-Cowsliplead-Instance-Id: ${this.id}`)
    if (sealed) lines.push(`X-Cowsliplead-Backend-Seal: ${sealOf(request.id, bytes)}`)
    if (this.tellsLoad) lines.push(`X-Cowsliplead-Backend-Load: ${this.running},${this.waiting.length},${this.slots},100`)
    if (notRun) lines.push('X-Cowsliplead-Not-Executed: 1')
    if (framing === 'length') lines.push(`Content-Length: ${bytes.length}`)
    lines.push(...headers)
    return Buffer.concat([Buffer.from(`${lines.join('\r\n')}\r\n\r\n`, 'latin1'), bytes])
  }

  write (connection, request, status, options) {
    if (!connection.isClosed) connection.socket.write(this.encode(request, status, options))
  }

  async takeSlot () {
    if (this.running < this.slots) {
      this.running++
      return true
    }
    if (this.waiting.length >= this.queue) return false
    await new Promise(resolve => this.waiting.push(resolve))
    return true
  }

  freeSlot () {
    const next = this.waiting.shift()
    if (next !== undefined) next()
    else this.running--
  }
}

/** The proof that comes with an answer: it covers the request's id and the whole body. */
export function sealOf (id, body) {
  let sum = 0
  for (const byte of body) sum = (sum * 31 + byte) >>> 0
  return `${id}.${body.length}.${sum.toString(16)}`
}

/** Takes the next whole request from the connection's buffer; undefined if none has arrived. */
function takeRequest (connection) {
  const headEnd = connection.buffer.indexOf('\r\n\r\n')
  if (headEnd < 0) return undefined
  const [line, ...lines] = connection.buffer.toString('latin1', 0, headEnd).split('\r\n')
  const [method, path] = line.split(' ')
  const headers = Object.fromEntries(lines.map(text => [text.slice(0, text.indexOf(':')).toLowerCase(), text.slice(text.indexOf(':') + 1).trim()]))
  const length = Number(headers['content-length'] ?? 0)
  const end = headEnd + 4 + length
  if (connection.buffer.length < end) return undefined
  const body = connection.buffer.subarray(headEnd + 4, end)
  connection.buffer = connection.buffer.subarray(end)
  return { method, path, headers, body, id: headers['x-cowsliplead-attempt-id'] }
}

export function sleep (ms) {
  return new Promise(resolve => setTimeout(resolve, ms))
}
