import { expect } from 'chai'
import { Result } from 'true-myth/result'
import { MonotonicClock } from '../src/core/gateway/monotonicClock.js'
import { ChangeFeed } from '../src/core/feed/changeFeed.js'
import { TableReader } from '../src/core/control/tableReader.js'
import type { TableConsumer } from '../src/types/tableConsumer.js'
import type { ControlStore, StoreFailure, StoreResult, TableChanges, TablePage } from '../src/types/controlStore.js'
import { sleep } from '../src/utils/sleep.js'

type Step =
  | { readonly newest: TablePage | StoreFailure }
  | { readonly changes: TableChanges | StoreFailure }

/** A store with scripted answers; calls that do not match the script fail with `unanswered`. */
class ScriptedStore implements ControlStore {
  readonly calls: string[] = []

  constructor (private readonly steps: Step[]) {}

  async readNewest (_table: string, after?: string): Promise<StoreResult<TablePage>> {
    this.calls.push(`newest ${after ?? ''}`.trim())
    const step = this.steps.shift()
    return answer(step !== undefined && 'newest' in step ? step.newest : 'unanswered')
  }

  async readChanges (_table: string, from: number): Promise<StoreResult<TableChanges>> {
    this.calls.push(`changes ${from}`)
    const step = this.steps.shift()
    return answer(step !== undefined && 'changes' in step ? step.changes : 'unanswered')
  }

  async put (): Promise<StoreResult<void>> {
    return Result.err('refused')
  }

  decodeRoutes (): never {
    throw new Error('not used')
  }

  decodeEvacuation (): undefined {}

  decodeUpstream (): undefined {}

  close (): void {}
}

function answer<Value extends object> (value: Value | StoreFailure): StoreResult<Value> {
  return typeof value === 'string' ? Result.err(value) : Result.ok(value)
}

function record (key: string): { key: string, value: Buffer } {
  return { key, value: Buffer.from(key) }
}

async function follow (steps: Step[]): Promise<{ calls: string[], events: string[] }> {
  const store = new ScriptedStore(steps)
  const events: string[] = []
  const consumer: TableConsumer = {
    isOutdated: () => false,
    onSnapshot: records => events.push(`snapshot ${records.map(({ key }) => key).join()}`),
    onChanges: records => events.push(`changes ${records.map(({ key }) => key).join()}`),
    onRecovery: () => events.push('return'),
    onRestore: ({ previousEpoch, epoch }) => events.push(`restored ${previousEpoch} ${epoch}`),
    onFailure: failure => events.push(failure)
  }
  const clock = MonotonicClock.create()
  const feed = ChangeFeed.create(clock)
  const reader = TableReader.create({ store, table: 'upstreams', consumer, clock, feed, waitMs: 0, pauseMs: 0, maxFeedAgeMs: 0 })
  const expectedCalls = steps.length + 1
  await reader.start(error => events.push(error.message))
  while (store.calls.length < expectedCalls) await sleep(1)
  await reader.stop()
  return { calls: store.calls, events }
}

describe('table reader', () => {
  // Guards against missing changes that are made while the pages of a snapshot are read.
  it('reads all pages, then the changes from the end offset of the first page', async () => {
    const { calls, events } = await follow([
      { newest: { records: [record('a')], nextAfter: 'a', end: 7, epoch: 0 } },
      { newest: { records: [record('b')], nextAfter: undefined, end: 9, epoch: 0 } },
      { changes: { records: [record('c')], end: 8, epoch: 0 } },
      { changes: { records: [], end: 8, epoch: 0 } }
    ])
    expect(calls.slice(0, 4)).to.deep.equal(['newest', 'newest a', 'changes 7', 'changes 8'])
    expect(events.slice(0, 2)).to.deep.equal(['snapshot a,b', 'changes c'])
  })

  // Guards against a reader that skips changes that the store no longer keeps.
  it('reads a new snapshot if the changes have expired', async () => {
    const { events } = await follow([
      { newest: { records: [record('a')], nextAfter: undefined, end: 7, epoch: 0 } },
      { changes: 'expired' },
      { newest: { records: [record('b')], nextAfter: undefined, end: 90, epoch: 0 } }
    ])
    expect(events.slice(0, 2)).to.deep.equal(['snapshot a', 'snapshot b'])
  })

  // Guards against content that is delivered before the consumer knows that there was an outage.
  it('reports an outage once, and its end before the content', async () => {
    const { events } = await follow([
      { newest: { records: [record('a')], nextAfter: undefined, end: 7, epoch: 0 } },
      { changes: 'unanswered' },
      { changes: 'refused' },
      { changes: { records: [record('c')], end: 8, epoch: 0 } }
    ])
    expect(events.slice(0, 4)).to.deep.equal(['snapshot a', 'unanswered', 'return', 'changes c'])
  })

  // Guards against changes that are missed because a restored store gives out the offsets again that a reader has passed.
  it('reads a new snapshot if the store was restored from a copy', async () => {
    const { calls, events } = await follow([
      { newest: { records: [record('a')], nextAfter: undefined, end: 7, epoch: 0 } },
      { changes: { records: [record('b')], end: 8, epoch: 1 } },
      { newest: { records: [record('c')], nextAfter: undefined, end: 8, epoch: 1 } }
    ])
    expect(calls).to.deep.equal(['newest', 'changes 7', 'newest', 'changes 8'])
    expect(events.slice(0, 3)).to.deep.equal(['snapshot a', 'restored 0 1', 'snapshot c'])
  })

  it('does not mix pages of a store from before and after a restore', async () => {
    const { events } = await follow([
      { newest: { records: [record('a')], nextAfter: 'a', end: 7, epoch: 0 } },
      { newest: { records: [record('b')], nextAfter: undefined, end: 5, epoch: 1 } },
      { newest: { records: [record('c')], nextAfter: undefined, end: 5, epoch: 1 } }
    ])
    expect(events[0]).to.equal('snapshot c')
  })
})
