import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { expect } from 'chai'
import { ConnectionLimit, maxConnectionsOf, type ConnectionState } from '../src/core/overload/connectionLimit.js'
import { sleep } from '../src/utils/sleep.js'

const MAXIMUM = 3

/** Enough for a close to arrive on loopback. */
const SETTLE_MS = 100

describe('the limit of connections', () => {
  let server: Server
  let states: ConnectionState[]
  let accepted: Socket[]
  let clients: Socket[]

  beforeEach(async () => {
    states = []
    accepted = []
    clients = []
    server = createServer(socket => {
      accepted.push(socket)
      socket.on('error', () => {})
    })
    ConnectionLimit.create(server, { maximum: MAXIMUM, stateOf: socket => states[accepted.indexOf(socket)] ?? 'new' })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  })

  afterEach(() => {
    for (const client of clients) client.destroy()
    server.close()
  })

  /** Connects a client for each state; returns which of them are still connected. */
  async function connectAll (...wanted: ConnectionState[]): Promise<boolean[]> {
    for (const state of wanted) {
      states.push(state)
      const client = connect((server.address() as AddressInfo).port, '127.0.0.1')
      client.on('error', () => {})
      client.resume()
      clients.push(client)
      await new Promise(resolve => client.once('connect', resolve))
    }
    await sleep(SETTLE_MS)
    return clients.map(({ destroyed }) => !destroyed)
  }

  it('closes the oldest connection that has had no request', async () => {
    expect(await connectAll('busy', 'new', 'idle', 'busy')).to.deep.equal([true, false, true, true])
  })

  it('closes one whose request has not ended rather than one that is idle', async () => {
    expect(await connectAll('idle', 'receiving', 'busy', 'busy')).to.deep.equal([true, false, true, true])
  })

  // Guards against a crowd of new clients for which requests in progress are cut off.
  it('closes the new one if all others are busy', async () => {
    expect(await connectAll('busy', 'busy', 'busy', 'new')).to.deep.equal([true, true, true, false])
  })

  // Guards against limits that the users' own callers reach: 1756 of them at most, if a single VM is left.
  it('leaves room for all ordinary callers on the smallest VM', () => {
    expect(maxConnectionsOf({ memoryMb: 250, descriptors: 4100 }, 'callers')).to.be.above(1756)
  })
})
