import { expect } from 'chai'
import { Result } from 'true-myth/result'
import { PolicyPublisher } from '../src/core/control/policyPublisher.js'
import { encodePolicyRecord, POLICY_KEY } from '../src/core/control/policyState.js'
import { MonotonicClock } from '../src/core/gateway/monotonicClock.js'
import { MemoryStore } from '../src/testing/memoryStore.js'

describe('publisher of the policy document', () => {
  let store: MemoryStore
  let publisher: PolicyPublisher

  beforeEach(() => {
    store = MemoryStore.create()
    publisher = createPublisher()
  })

  function createPublisher (): PolicyPublisher {
    return PolicyPublisher.create({ store, clock: MonotonicClock.create(), timeoutMs: 250 })
  }

  const change = (id: string, base: number) => ({ id, base, author: `author of ${id}`, document: { id } })

  async function newestRevision (): Promise<number> {
    return (await publisher.newest()).unwrapOrElse(() => expect.fail()).record?.revision ?? 0
  }

  it('applies changes one on the other', async () => {
    expect(await publisher.publish(change('one', 0))).to.deep.equal({ kind: 'applied', revision: 1 })
    expect(await publisher.publish(change('two', 1))).to.deep.equal({ kind: 'applied', revision: 2 })
  })

  // Guards against a lost update: two operators that edit the same revision.
  it('lets one of two racing operators win and names it to the other', async () => {
    const verdicts = await Promise.all([publisher.publish(change('one', 0)), createPublisher().publish(change('two', 0))])
    const winner = verdicts.findIndex(({ kind }) => kind === 'applied') === 0 ? 'one' : 'two'
    expect(verdicts.map(({ kind }) => kind).sort()).to.deep.equal(['applied', 'conflict'])
    expect(verdicts.find(({ kind }) => kind === 'conflict')).to.deep.equal({
      kind: 'conflict', revision: 1, winner: { revision: 1, id: winner, author: `author of ${winner}` }
    })
    expect(await newestRevision()).to.equal(1)
  })

  // Guards against a change that overwrites one that was made between its reading and its writing.
  it('judges again where the table changed before the write', async () => {
    const rival = { revision: 1, document: {}, changes: [{ revision: 1, id: 'rival', author: 'r' }] }
    store.beforeWrite = () => store.records('fleet').push({ key: POLICY_KEY, value: encodePolicyRecord(rival) })
    expect(await publisher.publish(change('one', 0))).to.include({ kind: 'conflict', revision: 1 })
  })

  // Guards against a verdict "conflict" for a change that was pushed aside by a record of another kind only.
  it('applies where other records of the table were written meanwhile', async () => {
    store.beforeWrite = () => store.records('fleet').push({ key: 'suspect/x', value: Buffer.from('x') })
    expect(await publisher.publish(change('one', 0))).to.deep.equal({ kind: 'applied', revision: 1 })
  })

  // Guards against a change that is applied twice because the answer to its first write was lost.
  it('finds a change that took effect without an answer', async () => {
    store.lostAnswers = 1
    expect(await publisher.publish(change('one', 0))).to.deep.equal({ kind: 'applied', revision: 1 })
    expect(await publisher.publish(change('one', 0))).to.deep.equal({ kind: 'applied', revision: 1 })
    expect(await newestRevision()).to.equal(1)
  })

  // Guards against "nothing was changed" said of a change that may still be applied.
  it('tells an unknown outcome from an unreachable store', async () => {
    store.failure = 'refused'
    expect(await publisher.publish(change('one', 0))).to.deep.equal({ kind: 'unavailable', failure: 'refused' })
    store.failure = undefined
    store.put = async () => {
      store.failure = 'refused'
      return Result.err('unanswered')
    }
    expect(await publisher.publish(change('two', 0))).to.deep.equal({ kind: 'unconfirmed' })
  })

  // Guards against a revision that goes back because an unreadable record was taken for none.
  it('does not write over a record that cannot be read', async () => {
    store.records('fleet').push({ key: POLICY_KEY, value: Buffer.from('{}') })
    expect(await publisher.publish(change('one', 0))).to.deep.equal({ kind: 'unavailable', failure: 'invalid' })
    expect(store.records('fleet')).to.have.length(1)
  })
})
