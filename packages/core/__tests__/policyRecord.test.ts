import { expect } from 'chai'
import fc from 'fast-check'
import { evaluateChange, type ChangeDecision, type PolicyChange, type PolicyRecord } from '../src/core/configuration/policyRecord.js'

const OPERATORS = 3
const SCHEDULES = 2000
const LONGEST_SCHEDULE = 40
const SEED = 11

function change (id: string, base: number): PolicyChange {
  return { id, base, author: `author of ${id}`, document: { id } }
}

function replaced (step: ChangeDecision): PolicyRecord {
  if (step.kind !== 'replace') throw new Error(`unexpected outcome ${step.kind}`)
  return step.record
}

describe('evaluateChange', () => {
  const first = replaced(evaluateChange(undefined, change('a', 0)))
  const second = replaced(evaluateChange(first, change('b', 1)))

  it('numbers revisions and records their authors', () => {
    expect(second).to.deep.equal({
      revision: 2,
      document: { id: 'b' },
      changes: [{ revision: 1, id: 'a', author: 'author of a' }, { revision: 2, id: 'b', author: 'author of b' }]
    })
  })

  // Guards against a repeated change that is applied twice or reported as a conflict with itself.
  it('recognises a repeat of an applied change, also after later changes', () => {
    expect(evaluateChange(second, change('a', 0))).to.deep.equal({ kind: 'applied', revision: 1 })
  })

  it('reports the change that was applied first on the same revision', () => {
    expect(evaluateChange(second, change('c', 0))).to.deep.equal({ kind: 'conflict', winner: first.changes[0], revision: 2 })
    expect(evaluateChange(undefined, change('c', 5))).to.deep.equal({ kind: 'conflict', winner: undefined, revision: 0 })
  })

  // Guards against a record that grows with every change.
  it('keeps a bounded number of changes', () => {
    let record: PolicyRecord | undefined
    for (let revision = 0; revision < 300; revision++) record = replaced(evaluateChange(record, change(`c${revision}`, revision)))
    expect(record?.changes).to.have.length(100)
    expect(record?.changes.at(-1)).to.include({ id: 'c299', revision: 300 })
  })
})

/** One step of an operator in a schedule. */
type Action = 'read' | 'write' | 'loseResponse' | 'arriveLate' | 'nextChange'

interface Operator {
  change: PolicyChange
  read: { readonly record: PolicyRecord | undefined, readonly end: number } | undefined
  verdicts: number
}

/** A publishing protocol; the faulty variants show that the checks detect the faults they are meant for. */
interface Variant {
  readonly isConditional: boolean
  readonly evaluate: typeof evaluateChange
}

const SOUND: Variant = { isConditional: true, evaluate: evaluateChange }

const BROKEN: Readonly<Record<string, Variant>> = {
  'writes unconditionally': { ...SOUND, isConditional: false },
  'does not check whether its change was already applied': { ...SOUND, evaluate: (newest, proposed) => evaluateChange(newest && { ...newest, changes: [] }, { ...proposed, base: newest?.revision ?? 0 }) },
  'does not compare the base revision': { ...SOUND, evaluate: (newest, proposed) => evaluateChange(newest, { ...proposed, base: newest?.revision ?? 0 }) }
}

/** Operators that publish through a store that may lose responses and apply writes late. */
class PublishingModel {
  private readonly log: PolicyRecord[] = []
  private readonly late: Array<{ readonly record: PolicyRecord, readonly end: number }> = []
  private readonly operators: Operator[]
  private changes = 0

  constructor (private readonly variant: Variant) {
    this.operators = Array.from({ length: OPERATORS }, () => ({ change: this.nextChange(), read: undefined, verdicts: 0 }))
  }

  step (action: Action, operator: Operator): void {
    if (action === 'read') operator.read = { record: this.log.at(-1), end: this.log.length }
    else if (action === 'arriveLate') this.append(this.late.shift())
    else if (action === 'nextChange') operator.change = this.nextChange()
    else this.write(operator, action === 'loseResponse')
  }

  operator (index: number): Operator {
    return this.operators[index % OPERATORS] as Operator
  }

  /** Violations of the log's invariants: consecutive revisions, no change twice, each based on the revision before. */
  problems (): string[] {
    const problems: string[] = []
    const ids = new Set<string>()
    this.log.forEach((record, index) => {
      const { id } = record.changes.at(-1) ?? { id: '' }
      if (record.revision !== index + 1) problems.push(`revision ${record.revision} at ${index}`)
      if (ids.has(id)) problems.push(`change ${id} was applied twice`)
      if (Number(id.split('@')[1]) !== index) problems.push(`change ${id} was applied on revision ${index}`)
      ids.add(id)
    })
    return problems
  }

  /** Creates a change based on the newest revision; its id contains that revision. */
  private nextChange (): PolicyChange {
    return change(`${this.changes++}@${this.log.length}`, this.log.length)
  }

  private write (operator: Operator, isLate: boolean): void {
    const { read } = operator
    if (read === undefined) return
    const step = this.variant.evaluate(read.record, operator.change)
    operator.read = undefined
    if (step.kind !== 'replace') return
    const write = { record: step.record, end: read.end }
    if (isLate) this.late.push(write)
    else this.append(write)
  }

  private append (write: { readonly record: PolicyRecord, readonly end: number } | undefined): void {
    if (write === undefined || (this.variant.isConditional && write.end !== this.log.length)) return
    this.log.push(write.record)
  }
}

function findViolation (variant: Variant): string | undefined {
  const action = fc.constantFrom<Action>('read', 'read', 'write', 'write', 'loseResponse', 'arriveLate', 'nextChange')
  const schedule = fc.array(fc.tuple(action, fc.nat(OPERATORS - 1)), { maxLength: LONGEST_SCHEDULE })
  const result = fc.check(fc.property(schedule, steps => {
    const model = new PublishingModel(variant)
    for (const [name, index] of steps) model.step(name, model.operator(index))
    return model.problems().length === 0
  }), { seed: SEED, numRuns: SCHEDULES })
  return result.failed ? JSON.stringify(result.counterexample) : undefined
}

describe('publishing with races, lost responses and late writes', () => {
  // Guards against two operators that both appear to have won, a change that is applied twice, and a revision that goes
  // backwards.
  it(`keeps the log consistent in ${SCHEDULES} random schedules`, () => {
    expect(findViolation(SOUND)).to.equal(undefined)
  })

  for (const [name, variant] of Object.entries(BROKEN)) {
    // Guards against checks that cannot fail.
    it(`finds a violation if a publisher ${name}`, () => {
      expect(findViolation(variant)).to.be.a('string')
    })
  }
})
