import { expect } from 'chai'
import { ExpectedDelayPicker } from '../src/core/routing/expectedDelayPicker.js'
import { DEFAULT_ROUTING_POLICY } from '../src/types/routingPolicy.js'
import { createUpstreams, Harness, LOOKUP } from './dispatcherHarness.js'

const OWN_DOMAIN = 'domain1'
const SERVICE_MS = 20
const KILOBYTE = 1024

const POLICY = {
  ...DEFAULT_ROUTING_POLICY, crossDomainTargetShare: 0.2, crossDomainTargetSharePerKilobyte: 0.05, crossDomainMaxTargetShare: 0.5, spreadShare: 0
}

/** The failure domains of `calls` calls at once, with `targetMs` and responses of `bytes`, at two upstreams of four slots. */
function domainsOf (calls: number, targetMs: number, bytes: number): string[] {
  const harness = Harness.create(2, POLICY, ExpectedDelayPicker.create(POLICY), OWN_DOMAIN)
  const kind = { ...LOOKUP, targetMs }
  for (let index = 0; index < 50; index++) {
    const id = harness.submit(kind)
    harness.advance(SERVICE_MS)
    harness.end(harness.attemptOf(id), 'answered', { bytes })
  }
  const before = harness.started.length
  for (let index = 0; index < calls; index++) harness.submit(kind)
  const domainById = new Map(createUpstreams(2).map(({ id, failureDomain }) => [id, failureDomain]))
  return harness.started.slice(before).map(({ upstreamId }) => domainById.get(upstreamId) as string)
}

describe('calls of a VM in one of two failure domains', () => {
  // Guards against avoidable traffic between failure domains.
  it('stay in the own domain as long as they have time to spare', () => {
    expect(domainsOf(5, 100, KILOBYTE)).to.deep.equal(Array(5).fill(OWN_DOMAIN))
  })

  // Guards against calls that miss their target in a full domain although another one has room.
  it('leave the own domain where they would be late there', () => {
    const domains = domainsOf(8, 25, KILOBYTE)
    expect(domains.filter(domain => domain !== OWN_DOMAIN)).to.have.length.of.at.least(3)
  })

  // Guards against large responses that are late in their own domain, whatever the load there.
  it('leave a full domain also with large responses', () => {
    const domains = domainsOf(8, 25, 500 * KILOBYTE)
    expect(domains).to.include('domain0')
  })
})
