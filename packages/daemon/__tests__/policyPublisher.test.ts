import { expect } from 'chai'
import { Result } from 'true-myth/result'
import { PolicyPublisher } from '../src/core/control/policyPublisher.js'
import { encodePolicyRecord, POLICY_KEY } from '../src/core/control/policyRecordCodec.js'
import { MonotonicClock } from '../src/core/gateway/monotonicClock.js'
import { MemoryStore } from '../src/testing/memoryStore.js'

describe('policy publisher', () => {
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
    return (await publisher.readNewest()).unwrapOrElse(() => expect.fail()).record?.revision ?? 0
  }

  it('applies successive changes', async () => {
    expect(await publisher.publish(change('one', 0))).to.deep.equal({ kind: 'applied', revision: 1 })
    expect(await publisher.publish(change('two', 1))).to.deep.equal({ kind: 'applied', revision: 2 })
  })

  // Guards against a lost update when two operators edit the same revision.
  it('applies one of two concurrent changes and reports it to the author of the other', async () => {
    const verdicts = await Promise.all([publisher.publish(change('one', 0)), createPublisher().publish(change('two', 0))])
    const winner = verdicts.findIndex(({ kind }) => kind === 'applied') === 0 ? 'one' : 'two'
    expect(verdicts.map(({ kind }) => kind).sort()).to.deep.equal(['applied', 'conflict'])
    expect(verdicts.find(({ kind }) => kind === 'conflict')).to.deep.equal({
      kind: 'conflict', revision: 1, winner: { revision: 1, id: winner, author: `author of ${winner}` }
    })
    expect(await newestRevision()).to.equal(1)
  })

  // Guards against a change that overwrites another one made between its read and its write.
  it('checks the change again if the table changed before the write', async () => {
    const rival = { revision: 1, document: {}, changes: [{ revision: 1, id: 'rival', author: 'r' }] }
    store.beforeWrite = () => store.records('fleet').push({ key: POLICY_KEY, value: encodePolicyRecord(rival) })
    expect(await publisher.publish(change('one', 0))).to.include({ kind: 'conflict', revision: 1 })
  })

  // Guards against reporting a conflict although only an unrelated record of the table was written.
  it('applies the change if only other records of the table were written meanwhile', async () => {
    store.beforeWrite = () => store.records('fleet').push({ key: 'suspect/x', value: Buffer.from('x') })
    expect(await publisher.publish(change('one', 0))).to.deep.equal({ kind: 'applied', revision: 1 })
  })

  // Guards against a change that is applied twice because the answer to its first write was lost.
  it('recognizes a change whose write took effect without an answer', async () => {
    store.unansweredWrites = 1
    expect(await publisher.publish(change('one', 0))).to.deep.equal({ kind: 'applied', revision: 1 })
    expect(await publisher.publish(change('one', 0))).to.deep.equal({ kind: 'applied', revision: 1 })
    expect(await newestRevision()).to.equal(1)
  })

  // Guards against reporting that nothing was changed although the change may still be applied.
  it('distinguishes an unknown outcome from an unavailable store', async () => {
    store.failure = 'refused'
    expect(await publisher.publish(change('one', 0))).to.deep.equal({ kind: 'unavailable', failure: 'refused' })
    store.failure = undefined
    store.put = async () => {
      store.failure = 'refused'
      return Result.err('unanswered')
    }
    expect(await publisher.publish(change('two', 0))).to.deep.equal({ kind: 'unconfirmed' })
  })

  // Guards against taking a write for not applied because its answer was too long.
  it('does not know the outcome of a write whose answer was cut off', async () => {
    store.put = async () => {
      store.failure = 'refused'
      return Result.err('tooLarge')
    }
    expect(await publisher.publish(change('one', 0))).to.deep.equal({ kind: 'unconfirmed' })
  })

  // Guards against a revision that decreases because an unreadable record is treated as missing.
  it('does not overwrite a record that cannot be read', async () => {
    store.records('fleet').push({ key: POLICY_KEY, value: Buffer.from('{}') })
    expect(await publisher.publish(change('one', 0))).to.deep.equal({ kind: 'unavailable', failure: 'invalid' })
    expect(store.records('fleet')).to.have.length(1)
  })
})
