import { expect } from 'chai'
import { capPolicies, resolvePolicy, resolvePolicyExceptions } from '../src/core/configuration/effectivePolicy.js'
import { policyDocumentSchema } from '../src/types/policyDocument.js'
import {
  DEFAULT_ROUTING_POLICY, KIND_SETTING_NAMES, UPSTREAM_SETTING_NAMES, type PolicyExceptions, type RoutingPolicy
} from '../src/types/routingPolicy.js'
import { Harness, LOOKUP } from './dispatcherHarness.js'

const UPSTREAM = 'u000'
const OTHER_KIND = { ...LOOKUP, name: 'other' }

function changed (changes: Partial<RoutingPolicy>): RoutingPolicy {
  return { ...DEFAULT_ROUTING_POLICY, ...changes }
}

function forUpstream (changes: Partial<RoutingPolicy>): PolicyExceptions {
  return { kinds: new Map(), upstreams: new Map([[UPSTREAM, changed(changes)]]) }
}

function forKind (changes: Partial<RoutingPolicy>): PolicyExceptions {
  return { kinds: new Map([[LOOKUP.name, changed(changes)]]), upstreams: new Map() }
}

function limitsOf (harness: Harness): Array<number | undefined> {
  return harness.dispatcher.snapshot().upstreams.map(({ limit }) => limit)
}

/** Fills four upstreams with five calls each, fails those on one of them, and returns the ids of ejected upstreams. */
function ejectedByFailures (harness: Harness): string[] {
  const calls = Array.from({ length: 20 }, () => harness.submit(LOOKUP, { replayable: false }))
  for (const id of calls) {
    const attempt = harness.attemptOf(id)
    harness.end(attempt, attempt.upstreamId === UPSTREAM ? 'failed' : 'answered')
  }
  return harness.dispatcher.snapshot().upstreams.filter(({ ejected }) => ejected).map(({ id }) => id)
}

describe('policy exceptions', () => {
  // Guards against an accepted exception that routing ignores, and against one that affects other upstreams.
  it('applies the limits of an exception to its upstream only', () => {
    const harness = Harness.create(3)
    harness.dispatcher.setPolicy(DEFAULT_ROUTING_POLICY, forUpstream({ queueAllowanceCalls: 5 }))
    expect(limitsOf(harness)).to.deep.equal([9, 5, 5])
    harness.dispatcher.setPolicy(DEFAULT_ROUTING_POLICY, forUpstream({ connectionsPerUpstream: 2 }))
    expect(limitsOf(harness)).to.deep.equal([2, 5, 5])
    harness.dispatcher.setPolicy(DEFAULT_ROUTING_POLICY)
    expect(limitsOf(harness)).to.deep.equal([5, 5, 5])
  })

  // Guards against ejection by the service's settings although the operator set others for the upstream.
  it('ejects an upstream by the settings of its exception', () => {
    const run = (exceptions: PolicyExceptions): string[] => {
      const harness = Harness.create(4)
      harness.dispatcher.setPolicy(DEFAULT_ROUTING_POLICY, exceptions)
      return ejectedByFailures(harness)
    }
    expect(run(forUpstream({}))).to.deep.equal([UPSTREAM])
    expect(run(forUpstream({ ejectionFailures: 1000, ejectionErrorShare: 1 }))).to.deep.equal([])
  })

  // Guards against hedging a kind by the service's settings, and against an exception that affects other kinds.
  it('hedges and retries a kind by the settings of its exception', () => {
    const startedBy = (kind: typeof LOOKUP, exceptions: PolicyExceptions): number => {
      const harness = Harness.create(4)
      harness.dispatcher.setPolicy(DEFAULT_ROUTING_POLICY, exceptions)
      for (let index = 0; index < 100; index++) {
        const id = harness.submit(kind)
        harness.clock.advance(5)
        harness.end(harness.attemptOf(id))
      }
      const id = harness.submit(kind)
      harness.advance(20)
      return harness.started.filter(attempt => attempt.callId === id).length
    }
    expect(startedBy(LOOKUP, forKind({}))).to.equal(2)
    expect(startedBy(LOOKUP, forKind({ hedgeMinMs: 40 }))).to.equal(1)
    expect(startedBy(LOOKUP, forKind({ attemptsPerCall: 1 }))).to.equal(1)
    expect(startedBy(OTHER_KIND, forKind({ hedgeMinMs: 40, attemptsPerCall: 1 }))).to.equal(2)
  })

  // Guards against exceptions that are lost between the document and routing, or applied to another service.
  it('resolves the policy of every kind and upstream with an exception', () => {
    const each = (names: readonly string[]): object => Object.fromEntries(names.map(name => [name, 7]))
    const document = policyDocumentSchema.parse({
      exceptions: [
        { scope: { service: 'register' }, settings: { routing: { queueLimitCalls: 9 } }, reason: 'r' },
        { scope: { service: 'register', kind: 'lookup' }, settings: { routing: each(KIND_SETTING_NAMES) }, reason: 'r' },
        { scope: { kind: 'tile' }, settings: { routing: { stallMinMs: 3 } }, reason: 'r' },
        { scope: { upstream: 'u1' }, settings: { routing: each(UPSTREAM_SETTING_NAMES) }, reason: 'r' }
      ]
    })
    const { kinds, upstreams } = resolvePolicyExceptions(DEFAULT_ROUTING_POLICY, document, 'register')
    expect([...kinds.keys()]).to.deep.equal(['lookup', 'tile'])
    expect(kinds.get('lookup')).to.deep.equal(changed({ queueLimitCalls: 9, ...each(KIND_SETTING_NAMES) }))
    expect(upstreams.get('u1')).to.deep.equal(changed({ queueLimitCalls: 9, ...each(UPSTREAM_SETTING_NAMES) }))
    expect([...resolvePolicyExceptions(DEFAULT_ROUTING_POLICY, document, 'maps').kinds]).to.deep.equal([['tile', changed({ stallMinMs: 3 })]])
  })

  // Guards against operators' settings that exceed the fleet's bounds, also by way of an exception.
  it('lowers settings above a bound, also in exceptions, and raises none', () => {
    const document = policyDocumentSchema.parse({
      defaults: { routing: { connectionsPerUpstream: 900, retryBudgetShare: 0.01 } },
      exceptions: [{ scope: { upstream: 'u1' }, settings: { routing: { connectionsPerUpstream: 800 } }, reason: 'r' }]
    })
    const policy = resolvePolicy(DEFAULT_ROUTING_POLICY, document, { service: 'register' })
    const exceptions = resolvePolicyExceptions(DEFAULT_ROUTING_POLICY, document, 'register')
    const bounded = capPolicies({ policy, exceptions }, { connectionsPerUpstream: 240, retryBudgetShare: 0.1 })
    expect(bounded.policy).to.deep.equal(changed({ connectionsPerUpstream: 240, retryBudgetShare: 0.01 }))
    expect(bounded.exceptions.upstreams.get('u1')?.connectionsPerUpstream).to.equal(240)
  })
})
