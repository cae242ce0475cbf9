// Stand-in of the platform's store as PROTOCOL.md describes it: topics with one partition, log-append, log-read and log-newest.
import { createServer } from 'node:http'

const LENGTH_BYTES = 4

export class Store {
  topics = new Map()

  static async start (host = '127.0.0.1') {
    const store = new Store()
    store.server = createServer((request, response) => void store.handle(request, response).catch(() => response.destroy()))
    await new Promise(resolve => store.server.listen(0, host, resolve))
    store.address = `${host}:${store.server.address().port}`
    return store
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Writes a record as the operator or a server; the store's ack is the return of this method. */
  put (topic, key, value) {
    this.append(topic, [{ key, value: Buffer.from(value === undefined ? '' : JSON.stringify(value)) }])
  }

  topic (name) {
    if (!this.topics.has(name)) this.topics.set(name, { records: [], waiters: new Set() })
    return this.topics.get(name)
  }

  append (name, records) {
    const topic = this.topic(name)
    topic.records.push(...records)
    for (const wake of [...topic.waiters]) wake()
  }

  async handle (request, response) {
    const url = new URL(request.url, 'http://store')
    const body = await readAll(request)
    const name = url.searchParams.get('topic') ?? ''
    const topic = this.topic(name)
    if (url.pathname === '/-/log-append') {
      if (name === 'keyed.op' || name === 'keyed.servers') return response.writeHead(403).end()
      const at = url.searchParams.get('at')
      if (at !== null && Number(at) !== topic.records.length) return response.writeHead(412).end(JSON.stringify({ end: topic.records.length }))
      const offset = topic.records.length
      this.append(name, decode(body))
      return response.writeHead(200).end(JSON.stringify({ offset, end: topic.records.length }))
    }
    if (url.pathname === '/-/log-newest') {
      const after = url.searchParams.get('after') ?? ''
      const newest = new Map(topic.records.map((record, offset) => [record.key, { ...record, offset }]))
      const found = [...newest.values()].filter(({ key, value }) => value.length > 0 && key > after).sort((a, b) => a.key < b.key ? -1 : 1)
      const items = found.slice(0, 500).map(({ key, value, offset }) => ({ key, value: value.toString('base64'), offset }))
      return response.writeHead(200).end(JSON.stringify({ items, more: found.length > 500, end: topic.records.length }))
    }
    if (url.pathname === '/-/log-read') {
      const from = Number(url.searchParams.get('from'))
      const waitMs = Number(url.searchParams.get('waitMs') ?? 0)
      if (from === topic.records.length && waitMs > 0) await waitForRecord(topic, waitMs)
      const prefix = Buffer.alloc(16)
      prefix.writeBigUInt64BE(BigInt(topic.records.length), 0)
      return response.writeHead(200).end(Buffer.concat([prefix, ...topic.records.slice(from).map(encode)]))
    }
    response.writeHead(404).end()
  }
}

function waitForRecord (topic, waitMs) {
  return new Promise(resolve => {
    const wake = () => {
      clearTimeout(timer)
      topic.waiters.delete(wake)
      resolve()
    }
    const timer = setTimeout(wake, waitMs)
    topic.waiters.add(wake)
  })
}

function decode (body) {
  const records = []
  for (let position = 0; position < body.length;) {
    const start = position + LENGTH_BYTES
    const end = start + body.readUInt32BE(position)
    const keyEnd = start + 1 + body[start]
    records.push({ key: body.toString('utf8', start + 1, keyEnd), value: body.subarray(keyEnd, end) })
    position = end
  }
  return records
}

function encode ({ key, value }) {
  const content = Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), value])
  const length = Buffer.alloc(LENGTH_BYTES)
  length.writeUInt32BE(content.length)
  return Buffer.concat([length, content])
}

async function readAll (stream) {
  const chunks = []
  for await (const chunk of stream) chunks.push(chunk)
  return Buffer.concat(chunks)
}
