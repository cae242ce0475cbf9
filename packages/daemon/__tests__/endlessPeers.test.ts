import { connect, type Socket } from 'node:net'
import { expect } from 'chai'
import type { LeaseResult } from '@cowsliplead/core/types/quota.js'
import { PeerServer } from '../src/core/peers/peerServer.js'
import { LeaseClient } from '../src/core/quotas/leaseClient.js'
import { createLeaseHandler } from '../src/core/quotas/leaseHandler.js'
import { sleep } from '../src/utils/sleep.js'
import { EndlessWriter } from './endlessWriter.js'
import { heldMegabytes } from './heldBytes.js'
import { throwError } from './harness.js'

const PART = Buffer.alloc(64 * 1024, ' ')

/** More than the largest answer and what the two sockets hold. */
const MAX_TAKEN_BYTES = 16 * 1024 * 1024

/** A bit less than a message may have. */
const REQUEST_CHUNKS = 60_000
const REQUESTS = 10
const MAX_HELD_MEGABYTES = 16
const ARRIVAL_MS = 1500

/** Longer than a VM goes on sending that has got its answer. */
const CLOSE_MS = 3000

/** Longer than the time limit of an exchange. */
const EXCHANGE_MS = 500

const LEASE_HEADS: ReadonlyArray<readonly [string, string]> = [
  ['chunks', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n'],
  ['a length', 'HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n'],
  ['no length', 'HTTP/1.1 200 OK\r\n\r\n'],
  ['an error', 'HTTP/1.1 500 Failed\r\n\r\n'],
  ['an endless head', 'HTTP/1.1 200 OK\r\nX-Long: a']
]

/** Sends a request for tokens whose body, in chunks of one byte, does not end. */
function askEndlessly (address: string): Socket {
  const [host = '', port = ''] = address.split(':')
  const socket = connect(Number(port), host)
  socket.on('error', () => {})
  socket.write('POST / HTTP/1.1\r\nHost: a\r\nX-Cowsliplead-Peer: quota\r\nTransfer-Encoding: chunked\r\n\r\n')
  socket.write('1\r\nx\r\n'.repeat(REQUEST_CHUNKS))
  return socket
}

describe('a VM that never ends its request for tokens', () => {
  // Guards against a faulty VM whose messages take a hundred times their length in memory.
  it('takes little memory', async () => {
    const server = PeerServer.create({
      maxConnections: 100,
      address: '127.0.0.1:0', handlers: { quota: createLeaseHandler(() => ({ kind: 'notHolder' }), throwError) }, onError: throwError
    })
    await server.start(throwError)
    const before = heldMegabytes()
    const sockets = Array.from({ length: REQUESTS }, () => askEndlessly(server.address))
    await sleep(ARRIVAL_MS)
    expect(heldMegabytes() - before).to.be.below(MAX_HELD_MEGABYTES)
    for (const socket of sockets) socket.destroy()
    await server.stop()
  })
})

describe('a VM that never ends a request that was refused', () => {
  // Guards against reading the rest of a body for as long as it is sent.
  it('loses its connection after the answer', async () => {
    const server = PeerServer.create({ maxConnections: 100, address: '127.0.0.1:0', handlers: {}, onError: throwError })
    await server.start(throwError)
    const socket = connect(Number(server.address.split(':')[1]), '127.0.0.1')
    let answer = ''
    socket.on('error', () => {})
    socket.on('data', (chunk: Buffer) => void (answer += chunk.toString()))
    socket.write('POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n')
    const timer = setInterval(() => socket.write('4\r\nbody\r\n'), 10)
    for (let waited = 0; waited < CLOSE_MS && !socket.destroyed; waited += 20) await sleep(20)
    clearInterval(timer)
    expect([answer.slice(0, 12), socket.destroyed]).to.deep.equal(['HTTP/1.1 404', true])
    socket.destroy()
    await server.stop()
  })
})

describe('a VM that never ends its answer', () => {
  for (const [form, start] of LEASE_HEADS) {
    // Guards against a faulty VM that fills the memory of those that ask it for tokens.
    it(`to a request for tokens, with ${form}, is not kept`, async () => {
      const peer = await EndlessWriter.start({ start, part: PART })
      const client = LeaseClient.create({ vmId: 'vm0', grantLocally: () => ({ kind: 'notHolder' }), onError: throwError })
      const holder = { vmId: 'vm1', feedAddress: '', peerAddress: peer.address, failureDomain: 'a' }
      const result = await new Promise<LeaseResult>(resolve => client.requestLease(holder, { customer: 'c', vmId: 'vm0', tokens: 1 }, resolve))
      expect(result).to.deep.equal({ kind: 'unreachable' })
      await sleep(EXCHANGE_MS)
      expect(peer.taken).to.be.below(MAX_TAKEN_BYTES)
      client.close()
      peer.close()
    })
  }
})
