import { createServer, type IncomingHttpHeaders, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { gzipSync } from 'node:zlib'
import { expect } from 'chai'
import { HttpLog } from '@cowsliplead/daemon/core/control/httpLog.js'
import { HttpVmList } from '@cowsliplead/daemon/core/control/httpVmList.js'

interface ResponseCase {
  readonly status: number
  readonly body: string
  readonly append: 'ok' | 'unavailable' | 'unconfirmed'
  readonly read: 'ok' | 'unavailable' | 'expired'
}

const PAGE = '{"records":[],"earliest":0,"next":0}'
const BAD_VM = '{"asOf":1,"vms":[{"role":"upstream","id":"u"}]}'

// Responses of proxies and of other versions of the service, besides the ordinary ones.
const CASES: readonly ResponseCase[] = [
  { status: 200, body: '{"offset":3}', append: 'ok', read: 'unavailable' },
  { status: 200, body: PAGE, append: 'unconfirmed', read: 'ok' },
  { status: 200, body: 'not json', append: 'unconfirmed', read: 'unavailable' },
  { status: 201, body: '{"offset":-1}', append: 'unconfirmed', read: 'unavailable' },
  { status: 400, body: '', append: 'unavailable', read: 'unavailable' },
  { status: 408, body: '', append: 'unconfirmed', read: 'unavailable' },
  { status: 410, body: '{"earliest":7}', append: 'unavailable', read: 'expired' },
  { status: 410, body: '', append: 'unavailable', read: 'unavailable' },
  { status: 502, body: '', append: 'unconfirmed', read: 'unavailable' },
  { status: 503, body: '', append: 'unavailable', read: 'unavailable' }
]

describe('HTTP adapters of the platform', () => {
  let server: Server
  let url: string
  let current: { readonly status: number, readonly body: string | Buffer, readonly encoding?: string }
  let asked: IncomingHttpHeaders

  before(async () => {
    server = createServer((request, response) => {
      asked = request.headers
      response.writeHead(current.status, current.encoding === undefined ? {} : { 'content-encoding': current.encoding }).end(current.body)
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  })

  after(() => {
    server.close()
    server.closeAllConnections()
  })

  for (const response of CASES) {
    // Guards against an unclear response that is taken for success or for 'nothing was appended'.
    it(`status ${response.status} with body '${response.body}': append ${response.append}, read ${response.read}`, async () => {
      current = response
      const log = HttpLog.create({ url, clientId: 'vm-1', timeoutMs: 10_000 })
      const append = await log.append('s', 1)
      const read = await log.read('s', 0, 10, 0)
      expect(append.isOk ? 'ok' : append.error.kind).to.equal(response.append)
      expect(read.isOk ? 'ok' : read.error.kind).to.equal(response.read)
    })
  }

  const compressed = gzipSync('{"asOf":1,"vms":[]}')
  const encoded: Array<[string, Buffer, boolean]> = [['whole', compressed, true], ['cut', compressed.subarray(0, 12), false]]
  for (const [name, body, accepted] of encoded) {
    // Guards against a list read uncompressed, 8 times as long, and against a cut one that is taken for empty.
    it(`asks for compression and ${accepted ? 'takes' : 'refuses'} a ${name} compressed list`, async () => {
      current = { status: 200, body, encoding: 'gzip' }
      const result = await HttpVmList.create({ url, clientId: 'vm-1', timeoutMs: 10_000 }).read()
      expect(asked['accept-encoding']).to.equal('gzip')
      expect(result.isOk).to.equal(accepted)
    })
  }

  // Guards against leaving out an invalid entry: its absence would confirm that the VM is gone.
  it('refuses a whole VM list with one invalid entry', async () => {
    current = { status: 200, body: BAD_VM }
    const result = await HttpVmList.create({ url, clientId: 'vm-1', timeoutMs: 10_000 }).read()
    expect(result.isErr).to.equal(true)
  })
})
