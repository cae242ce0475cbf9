import { expect } from 'chai'
import type { LeaseResult } from '@cowsliplead/core/types/quota.js'
import { PeerServer } from '../src/core/peers/peerServer.js'
import { LeaseClient } from '../src/core/quotas/leaseClient.js'
import { createLeaseHandler } from '../src/core/quotas/leaseHandler.js'

const ERRORS: Error[] = []

function fail (error: Error): void {
  ERRORS.push(error)
}

describe('requests for tokens between daemons', () => {
  const client = LeaseClient.create({ vmId: 'vm0', grantLocally: () => ({ kind: 'notHolder' }), onError: fail })
  const server = PeerServer.create({
    maxConnections: 100,
    address: '127.0.0.1:0',
    handlers: { quota: createLeaseHandler(({ tokens }) => ({ kind: 'granted', tokens, nextTokenMs: 0 }), fail) },
    onError: fail
  })

  before(() => server.start(fail))

  after(async () => {
    client.close()
    await server.stop()
  })

  function ask (customer: string, peerAddress: string): Promise<LeaseResult> {
    const holder = { vmId: 'vm1', feedAddress: '', peerAddress, failureDomain: 'a' }
    return new Promise(resolve => client.requestLease(holder, { customer, vmId: 'vm0', tokens: 3 }, resolve))
  }

  // Guards against a malformed or huge message that ends the process or is granted tokens.
  it('are refused if they cannot be read, and others go on', async () => {
    const bodies = ['', '{', '[]', '{"vmId":"vm2","leases":[{"customer":"a","tokens":-1}]}', '{"vmId":"vm2","leases":[{"customer":"a","tokens":1e9}]}']
    for (const body of bodies) {
      const { status } = await fetch(`http://${server.address}/`, { method: 'POST', headers: { 'x-cowsliplead-peer': 'quota' }, body })
      expect(status, body).to.equal(400)
    }
    expect(await ask('fenwick', server.address)).to.deep.equal({ kind: 'granted', tokens: 3, nextTokenMs: 0 })
    expect(ERRORS).to.deep.equal([])
  })

  // Guards against calls that wait for a VM that is gone.
  it('end as unreachable where nothing listens', async () => {
    expect(await ask('fenwick', '127.0.0.1:1')).to.deep.equal({ kind: 'unreachable' })
  })
})
