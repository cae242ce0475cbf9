import { expect } from 'chai'
import fc from 'fast-check'
import { judgeChange, type ChangeStep, type PolicyChange, type PolicyRecord } from '../src/core/configuration/policyRecord.js'

const OPERATORS = 3
const SCHEDULES = 2000
const LONGEST_SCHEDULE = 40
const SEED = 11

function change (id: string, base: number): PolicyChange {
  return { id, base, author: `author of ${id}`, document: { id } }
}

function replaced (step: ChangeStep): PolicyRecord {
  if (step.kind !== 'replace') throw new Error(`unexpected verdict ${step.kind}`)
  return step.record
}

describe('judgement of policy changes', () => {
  const first = replaced(judgeChange(undefined, change('a', 0)))
  const second = replaced(judgeChange(first, change('b', 1)))

  it('counts revisions and keeps who made them', () => {
    expect(second).to.deep.equal({
      revision: 2,
      document: { id: 'b' },
      changes: [{ revision: 1, id: 'a', author: 'author of a' }, { revision: 2, id: 'b', author: 'author of b' }]
    })
  })

  // Guards against a repeat of a change that is applied twice or answered as a conflict with itself.
  it('finds a repeat of an applied change, later changes notwithstanding', () => {
    expect(judgeChange(second, change('a', 0))).to.deep.equal({ kind: 'applied', revision: 1 })
  })

  it('names the change that came first on the same revision', () => {
    expect(judgeChange(second, change('c', 0))).to.deep.equal({ kind: 'conflict', winner: first.changes[0], revision: 2 })
    expect(judgeChange(undefined, change('c', 5))).to.deep.equal({ kind: 'conflict', winner: undefined, revision: 0 })
  })

  // Guards against a record that grows with every change ever made.
  it('carries a bounded number of changes', () => {
    let record: PolicyRecord | undefined
    for (let revision = 0; revision < 300; revision++) record = replaced(judgeChange(record, change(`c${revision}`, revision)))
    expect(record?.changes).to.have.length(100)
    expect(record?.changes.at(-1)).to.include({ id: 'c299', revision: 300 })
  })
})

/** One step of an operator, chosen by a schedule. */
type Action = 'read' | 'write' | 'loseAnswer' | 'arriveLate' | 'nextChange'

interface Operator {
  change: PolicyChange
  read: { readonly record: PolicyRecord | undefined, readonly end: number } | undefined
  verdicts: number
}

/** How a publisher treats the store; broken variants show that the checks find what they are for. */
interface Variant {
  readonly isConditional: boolean
  readonly judge: typeof judgeChange
}

const SOUND: Variant = { isConditional: true, judge: judgeChange }

const BROKEN: Readonly<Record<string, Variant>> = {
  'writes without a condition': { ...SOUND, isConditional: false },
  'does not look for its own change': { ...SOUND, judge: (newest, proposed) => judgeChange(newest && { ...newest, changes: [] }, { ...proposed, base: newest?.revision ?? 0 }) },
  'does not compare the base': { ...SOUND, judge: (newest, proposed) => judgeChange(newest, { ...proposed, base: newest?.revision ?? 0 }) }
}

/** Operators that publish through a store which loses answers and carries out writes late. */
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
    else this.write(operator, action === 'loseAnswer')
  }

  operator (index: number): Operator {
    return this.operators[index % OPERATORS] as Operator
  }

  /** What must hold of the log: revisions without gap or repeat, no change twice, each made on the revision before. */
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

  /** Each change is made on the revision that is newest as it is made; its id tells which one. */
  private nextChange (): PolicyChange {
    return change(`${this.changes++}@${this.log.length}`, this.log.length)
  }

  private write (operator: Operator, isLate: boolean): void {
    const { read } = operator
    if (read === undefined) return
    const step = this.variant.judge(read.record, operator.change)
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
  const action = fc.constantFrom<Action>('read', 'read', 'write', 'write', 'loseAnswer', 'arriveLate', 'nextChange')
  const schedule = fc.array(fc.tuple(action, fc.nat(OPERATORS - 1)), { maxLength: LONGEST_SCHEDULE })
  const result = fc.check(fc.property(schedule, steps => {
    const model = new PublishingModel(variant)
    for (const [name, index] of steps) model.step(name, model.operator(index))
    return model.problems().length === 0
  }), { seed: SEED, numRuns: SCHEDULES })
  return result.failed ? JSON.stringify(result.counterexample) : undefined
}

describe('publishing under races, lost answers and late writes', () => {
  // Guards P7: two operators that both believe to have won, a change applied twice, and a revision that goes back.
  it(`holds in ${SCHEDULES} random schedules`, () => {
    expect(findViolation(SOUND)).to.equal(undefined)
  })

  for (const [name, variant] of Object.entries(BROKEN)) {
    // Guards against a check that cannot fail.
    it(`is found broken where a publisher ${name}`, () => {
      expect(findViolation(variant)).to.be.a('string')
    })
  }
})
