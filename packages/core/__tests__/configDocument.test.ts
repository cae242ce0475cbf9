import { expect } from 'chai'
import { findSettings } from '../src/core/configuration/effectiveSettings.js'
import { RequestMatcher } from '../src/core/routing/requestMatcher.js'
import { configDocumentSchema, describeIssues } from '../src/types/configDocument.js'

const LOOKUP = { method: 'GET', path: '/permits/:id', weight: 1, idempotent: true, deadlineMs: 200, cancellable: true, hedgeable: true }
const ISSUE = { ...LOOKUP, method: 'POST', path: '/permits', idempotent: false, hedgeable: false }

function document (overrides: object = {}): unknown {
  return { services: { permits: { hosts: ['permits.example'], kinds: { lookup: LOOKUP, issue: ISSUE } } }, ...overrides }
}

function problemsOf (value: unknown): string[] {
  const result = configDocumentSchema.safeParse(value)
  return result.success ? [] : describeIssues(result.error)
}

function exception (scope: object, settings: object, reason = 'measured') {
  return { scope, settings, reason }
}

describe('configuration document', () => {
  // Guards against a fault in a document that takes force because the schema lets it through, or that names no path.
  const faults: Array<[string, unknown, RegExp]> = [
    ['unknown key', document({ extra: 1 }), /document: .*extra/],
    ['unknown setting', document({ defaults: { routing: { queueLimit: 1 } } }), /defaults\.routing.*queueLimit/],
    ['wrong type', document({ defaults: { routing: { queueLimitCalls: 'many' } } }), /defaults\.routing\.queueLimitCalls: .*number/],
    ['hedged non-idempotent kind', document({ services: { a: { hosts: ['a'], kinds: { k: { ...ISSUE, hedgeable: true } } } } }), /services\.a\.kinds\.k\.hedgeable: accepted/],
    ['same route twice', document({ services: { a: { hosts: ['x'], kinds: {} }, b: { hosts: ['x'], kinds: {} } } }), /services\.b\.hosts\.0: .*service a/],
    ['same pattern twice', document({ services: { a: { hosts: ['x'], kinds: { k: LOOKUP, l: { ...LOOKUP, path: '/permits/:other' } } } } }), /kinds\.l\.path: .*kind k/],
    ['empty reason', document({ exceptions: [exception({ kind: 'issue' }, { routing: { queueLimitCalls: 1 } }, ' ')] }), /exceptions\.0\.reason: accepted/],
    ['empty scope', document({ exceptions: [exception({}, { routing: { queueLimitCalls: 1 } })] }), /exceptions\.0\.scope: accepted/],
    ['unknown kind in scope', document({ exceptions: [exception({ kind: 'nope' }, { routing: { queueLimitCalls: 1 } })] }), /scope\.kind: no such kind; accepted: lookup, issue/],
    ['no setting', document({ exceptions: [exception({ kind: 'issue' }, {})] }), /exceptions\.0\.settings: accepted/],
    ['same scope and setting twice', document({
      exceptions: [exception({ kind: 'issue' }, { routing: { hedgeMinMs: 1 } }), exception({ kind: 'issue' }, { routing: { hedgeMinMs: 2 } })]
    }), /exceptions\.1\.settings\.routing\.hedgeMinMs: exception 0/],
    ['setting out of bounds in an exception', document({ exceptions: [exception({ kind: 'issue' }, { routing: { hedgeMinMs: -1 } })] }), /exceptions\.0\.settings\.routing\.hedgeMinMs: .*>=0/],
    // A setting without effect in its scope would be reported as in force on every VM while nothing follows it.
    ['keyed calls in an exception', document({ exceptions: [exception({ service: 'permits' }, { keyedCalls: { maxKeys: 7 } })] }), /exceptions\.0\.settings\.keyedCalls: accepted .*defaults only/],
    ['service setting for a kind', document({ exceptions: [exception({ service: 'permits', kind: 'issue' }, { routing: { queueLimitCalls: 1 } })] }),
      /exceptions\.0\.settings\.routing\.queueLimitCalls: .*a kind; accepted there: .*attemptsPerCall/],
    ['kind setting for an upstream', document({ exceptions: [exception({ upstream: 'u1' }, { routing: { hedgeMinMs: 1 } })] }),
      /exceptions\.0\.settings\.routing\.hedgeMinMs: .*an upstream; accepted there: .*slowStartMs/]
  ]
  for (const [name, value, expected] of faults) {
    it(`refuses: ${name}`, () => expect(problemsOf(value).join('\n')).to.match(expected))
  }

  // Guards against an exception that resets settings it does not name, or that loses to a wider scope.
  it('lets the narrowest exception win and changes nothing else', () => {
    const parsed = configDocumentSchema.parse(document({
      exceptions: [
        exception({ upstream: 'u1' }, { routing: { slowStartMs: 5 } }),
        exception({ service: 'permits', kind: 'issue' }, { routing: { hedgeMinMs: 4 } }),
        exception({ kind: 'issue' }, { routing: { hedgeMinMs: 3, stallMinMs: 3 } }),
        exception({ service: 'permits' }, { routing: { hedgeMinMs: 2, stallMinMs: 2, slowStartMs: 2 } })
      ],
      defaults: { routing: { hedgeMinMs: 1, slowStartMs: 1 } }
    }))
    expect(findSettings(parsed, {}).routing).to.deep.equal({ hedgeMinMs: 1, slowStartMs: 1 })
    expect(findSettings(parsed, { service: 'permits', kind: 'lookup' }).routing).to.deep.equal({ hedgeMinMs: 2, stallMinMs: 2, slowStartMs: 2 })
    const narrow = findSettings(parsed, { service: 'permits', kind: 'issue' })
    expect(narrow.routing).to.deep.equal({ hedgeMinMs: 4, stallMinMs: 3, slowStartMs: 2 })
    expect(narrow.keyedCalls).to.deep.equal(parsed.defaults.keyedCalls)
    expect(findSettings(parsed, { service: 'permits', kind: 'issue', upstream: 'u1' }).routing.slowStartMs).to.equal(5)
  })

  // Guards against a request that is treated as another kind, for instance a non-idempotent one as idempotent.
  it('matches the most specific route', () => {
    const kind = { ...LOOKUP, path: '/**' }
    const matcher = RequestMatcher.create(configDocumentSchema.parse({
      services: {
        permits: { hosts: ['permits.example', '*'], kinds: { any: kind, lookup: LOOKUP, latest: { ...LOOKUP, path: '/permits/latest' }, issue: ISSUE } },
        maps: { hosts: ['permits.example'], pathPrefix: '/maps', kinds: { tile: { ...LOOKUP, path: '/*/tile' } } }
      }
    }))
    const cases: Array<[string, string, string, string | undefined, string | undefined]> = [
      ['permits.example', '/permits/7?x=/latest', 'GET', 'permits', 'lookup'],
      ['PERMITS.example:8080', '/permits/latest', 'GET', 'permits', 'latest'],
      ['permits.example', '/permits/7/8', 'GET', 'permits', 'any'],
      ['permits.example', '/permits', 'POST', 'permits', 'issue'],
      ['permits.example', '/permits', 'PUT', 'permits', undefined],
      ['permits.example', '/maps/3/tile', 'GET', 'maps', 'tile'],
      ['permits.example', '/mapsx/3/tile', 'GET', 'permits', 'any'],
      ['other.example', '/maps/3/tile', 'GET', 'permits', 'any'],
      ['constructor', 'no-slash', 'GET', undefined, undefined]
    ]
    for (const [host, path, method, service, found] of cases) {
      const match = matcher.match(host, path, method)
      expect([match?.service, match?.kind?.name], `${host} ${method} ${path}`).to.deep.equal([service, found])
    }
  })
})
