import { expect } from 'chai'
import { resolveSettings } from '../src/core/configuration/effectivePolicy.js'
import { describeIssues, policyDocumentSchema } from '../src/types/policyDocument.js'

function problemsOf (value: unknown): string[] {
  const result = policyDocumentSchema.safeParse(value)
  return result.success ? [] : describeIssues(result.error)
}

function exception (scope: object, routing: object, reason = 'measured'): object {
  return { scope, settings: { routing }, reason }
}

describe('policy document', () => {
  // Guards against a faulty document that takes effect because the schema accepts it, and against errors without path.
  const faults: Array<[string, unknown, RegExp]> = [
    ['unknown key', { extra: 1 }, /document: .*extra/],
    ['unknown setting', { defaults: { routing: { queueLimit: 1 } } }, /defaults\.routing.*queueLimit/],
    ['wrong type', { defaults: { routing: { queueLimitCalls: 'many' } } }, /defaults\.routing\.queueLimitCalls: .*number/],
    ['no reason', { exceptions: [{ scope: { kind: 'issue' }, settings: { routing: { hedgeMinMs: 1 } } }] }, /exceptions\.0\.reason: /],
    ['empty reason', { exceptions: [exception({ kind: 'issue' }, { hedgeMinMs: 1 }, ' ')] }, /exceptions\.0\.reason: accepted/],
    ['empty scope', { exceptions: [exception({}, { hedgeMinMs: 1 })] }, /exceptions\.0\.scope: accepted/],
    ['service of an upstream', { exceptions: [exception({ service: 'a', upstream: 'u1' }, { slowStartMs: 1 })] }, /exceptions\.0\.scope: accepted/],
    ['no setting', { exceptions: [exception({ kind: 'issue' }, {})] }, /exceptions\.0\.settings: accepted/],
    ['same scope and setting twice', { exceptions: [exception({ kind: 'issue' }, { hedgeMinMs: 1 }), exception({ kind: 'issue' }, { hedgeMinMs: 2 })] },
      /exceptions\.1\.settings\.routing\.hedgeMinMs: exception 0/],
    ['setting out of range in an exception', { exceptions: [exception({ kind: 'issue' }, { hedgeMinMs: -1 })] }, /exceptions\.0\.settings\.routing\.hedgeMinMs: .*>=0/],
    // A setting that has no effect in its scope would still be reported as in force on every VM.
    ['service setting for a kind', { exceptions: [exception({ service: 'permits', kind: 'issue' }, { queueLimitCalls: 1 })] },
      /exceptions\.0\.settings\.routing\.queueLimitCalls: .*a kind; accepted there: .*attemptsPerCall/],
    ['kind setting for an upstream', { exceptions: [exception({ upstream: 'u1' }, { hedgeMinMs: 1 })] },
      /exceptions\.0\.settings\.routing\.hedgeMinMs: .*an upstream; accepted there: .*slowStartMs/]
  ]
  for (const [name, value, expected] of faults) {
    it(`rejects: ${name}`, () => expect(problemsOf(value).join('\n')).to.match(expected))
  }

  // Guards against an exception that resets settings it does not contain, or that is overridden by a less specific one.
  it('gives precedence to the most specific exception and changes nothing else', () => {
    const parsed = policyDocumentSchema.parse({
      exceptions: [
        exception({ upstream: 'u1' }, { slowStartMs: 5 }),
        exception({ service: 'permits', kind: 'issue' }, { hedgeMinMs: 4 }),
        exception({ kind: 'issue' }, { hedgeMinMs: 3, stallMinMs: 3 }),
        exception({ service: 'permits' }, { hedgeMinMs: 2, stallMinMs: 2, slowStartMs: 2 })
      ],
      defaults: { routing: { hedgeMinMs: 1, slowStartMs: 1 } }
    })
    expect(resolveSettings(parsed, {})).to.deep.equal({ hedgeMinMs: 1, slowStartMs: 1 })
    expect(resolveSettings(parsed, { service: 'permits', kind: 'lookup' })).to.deep.equal({ hedgeMinMs: 2, stallMinMs: 2, slowStartMs: 2 })
    const narrow = resolveSettings(parsed, { service: 'permits', kind: 'issue' })
    expect(narrow).to.deep.equal({ hedgeMinMs: 4, stallMinMs: 3, slowStartMs: 2 })
    expect(resolveSettings(parsed, { service: 'permits', kind: 'issue', upstream: 'u1' }).slowStartMs).to.equal(5)
  })
})
