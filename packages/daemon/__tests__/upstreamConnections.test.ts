import { expect } from 'chai'
import { MonotonicClock } from '../src/core/gateway/monotonicClock.js'
import { UpstreamConnections } from '../src/core/upstreams/upstreamConnections.js'
import { DEFAULT_ROUTING_POLICY, NO_POLICY_EXCEPTIONS } from '@cowsliplead/core/types/routingPolicy.js'
import type { Upstream } from '@cowsliplead/core/types/upstream.js'
import { throwError } from './harness.js'

const UPSTREAM: Upstream = { id: 'u1', service: 's', address: '127.0.0.1', port: 9, failureDomain: 'a', slots: 4, state: 'live' }

describe('connections to one upstream', () => {
  // Guards against VMs that each open as many connections as the upstream accepts in total, so that it resets some.
  for (const [vms, limit] of [[1, 1000], [6, 166], [47, 21], [1453, 2]] as const) {
    it(`are limited to ${limit} of 1000 for each of ${vms} VMs`, () => {
      const connections = UpstreamConnections.create(MonotonicClock.create(), { connectTimeoutMs: 100, onError: throwError })
      connections.setPolicy({ ...DEFAULT_ROUTING_POLICY, connectionsPerUpstream: 1000 }, NO_POLICY_EXCEPTIONS.upstreams)
      connections.setUpstreams([UPSTREAM], vms)
      expect(connections.describe()).to.have.nested.property('u1.limit', limit)
    })
  }
})
