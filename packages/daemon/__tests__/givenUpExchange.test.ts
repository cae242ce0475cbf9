import { createServer, type AddressInfo, type Server } from 'node:net'
import { expect } from 'chai'
import { PeerExchange, type PeerExchangeHandler } from '../src/core/handover/peerExchange.js'
import { sleep } from '../src/utils/sleep.js'

/** When an exchange is given up, seen from the call that starts it. */
const MOMENTS: Readonly<Record<string, (giveUp: () => void) => void>> = {
  'at once': giveUp => giveUp(),
  'in a microtask': giveUp => queueMicrotask(giveUp),
  'in the next tick': giveUp => process.nextTick(giveUp)
}

const EXCHANGES = 20

/** Time for a connection on loopback to open and carry a request. */
const DELIVERY_MS = 20

const HANDLER: PeerExchangeHandler = {
  onHead: () => {},
  onData: () => true,
  onComplete: () => {},
  onPeerError: () => {},
  onUnsent: () => {},
  onBroken: () => {}
}

describe('an exchange with another VM that is given up while its connection opens', () => {
  let server: Server
  let received = ''

  beforeEach(async () => {
    received = ''
    server = createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', chunk => {
        received += chunk.toString('latin1')
      })
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  })

  afterEach(() => {
    server.close()
  })

  for (const [moment, schedule] of Object.entries(MOMENTS)) {
    // Guards against a request that runs at another VM after its caller was told that it has not run.
    it(`sends nothing afterwards (${moment})`, async () => {
      const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
      for (let i = 0; i < EXCHANGES; i++) {
        const exchange = PeerExchange.send({ address, method: 'POST', path: '/issues/1', headers: [], body: Buffer.from('x') }, HANDLER)
        schedule(() => exchange.cancel())
        await sleep(DELIVERY_MS)
        expect([exchange.mayHaveRun, received]).to.deep.equal([false, ''])
      }
    })
  }
})
