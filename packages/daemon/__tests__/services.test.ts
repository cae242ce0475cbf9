import { expect } from 'chai'
import { createPeerClient } from '../src/core/peers/peerClients.js'
import { call, DOCUMENT, Rig, SHARED_KEY } from './harness.js'

interface ServiceDump {
  readonly dispatcher: { readonly upstreams: ReadonlyArray<{ readonly id: string, readonly limit: number }> }
  readonly connections: Readonly<Record<string, { readonly limit: number }>>
}

describe('exceptions in the daemon', () => {
  // Guards against an exception that is in force by every report while routing and connections go by the service's numbers.
  it('apply to the kind and the upstream that they name', async () => {
    const rig = await Rig.create(...Array.from({ length: 2 }, () => (_request: unknown, response: { socket: { destroy (): void } | null }) => response.socket?.destroy()))
    try {
      const { ports } = await rig.start()
      const { operator } = createPeerClient(`127.0.0.1:${ports.private}`, SHARED_KEY)
      const exceptions = [
        { scope: { kind: 'lookup' }, settings: { routing: { attemptsPerCall: 1 } }, reason: 'test' },
        { scope: { upstream: 'u1' }, settings: { routing: { queueAllowanceCalls: 7, connectionsPerUpstream: 20 } }, reason: 'test' }
      ]
      const document = { ...DOCUMENT, exceptions }
      expect(await operator.publish.mutate({ id: 'scoped', base: 1, author: 'test', document })).to.deep.equal({ kind: 'applied', revision: 2 })
      const [service] = (await operator.dump.query()).services as readonly ServiceDump[]
      expect(service?.dispatcher.upstreams.map(({ id, limit }) => [id, limit])).to.deep.equal([['u1', 11], ['u2', 5]])
      expect([service?.connections.u1?.limit, service?.connections.u2?.limit]).to.deep.equal([20, 250])
      await call(ports.public, 'GET', '/permits/1')
      const { body } = await call(ports.private, 'GET', '/metrics')
      expect(body.split('\n').filter(line => line.includes('attempts_total{')).join('\n')).to.match(/first"\} 1/).and.not.match(/retry"\} [1-9]/)
    } finally {
      await rig.close()
    }
  })
})
