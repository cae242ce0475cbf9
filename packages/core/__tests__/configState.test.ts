import { expect } from 'chai'
import { ConfigState } from '../src/core/configuration/configState.js'
import { FakeClock } from '../src/types/clock.js'
import { CONFIG_RECORD_VERSION, createChange } from '../src/types/configRecords.js'
import type { LogRecord } from '../src/types/logRecord.js'
import { SeededRandom } from '../src/types/randomSource.js'

const SCHEDULES = 100

function documentOf (size: number): unknown {
  return { defaults: { routing: { queueLimitCalls: size } }, services: {} }
}

function toLog (records: unknown[]): LogRecord[] {
  return records.map((record, offset) => ({ offset, data: typeof record === 'string' ? record : JSON.stringify(record) }))
}

function read (log: LogRecord[], from = 0, clock = FakeClock.create()): ConfigState {
  const state = ConfigState.create(clock)
  for (const record of log.slice(from)) state.apply(record)
  return state
}

describe('configuration state', () => {
  // Guards against readers that disagree about which of two racing changes won.
  it('gives each change its verdict and names the winner', () => {
    const state = read(toLog([
      createChange('a', 0, 'ann', documentOf(1)), createChange('b', 0, 'bob', documentOf(2)),
      createChange('a', 1, 'ann', documentOf(1)), createChange('c', 1, 'cid', { services: 3 }),
      createChange('d', 5, 'dan', documentOf(4)), 'not JSON', { type: 'other' }, createChange('e', 1, 'eve', documentOf(5))
    ]))
    expect(state.verdictOf('a')).to.deep.equal({ kind: 'applied', revision: 1 })
    expect(state.verdictOf('b')).to.deep.equal({ kind: 'conflict', winner: { id: 'a', author: 'ann', revision: 1 }, revision: 1 })
    expect(state.verdictOf('c')?.kind).to.equal('invalid')
    expect(state.verdictOf('d')).to.deep.equal({ kind: 'conflict', winner: undefined, revision: 1 })
    expect(state.verdictOf('e')).to.deep.equal({ kind: 'applied', revision: 2 })
    expect(state.verdictOf('f')).to.equal(undefined)
    expect(state.document?.defaults.routing.queueLimitCalls).to.equal(5)
    expect(state.counters).to.include({ applied: 2, conflicts: 2, invalidChanges: 1, unreadableRecords: 2 })
  })

  // Guards against a reader that starts from a checkpoint although changes between the two are lost.
  it('uses a checkpoint only where every record after it was read', () => {
    const source = read(toLog([createChange('a', 0, 'ann', documentOf(1)), createChange('b', 1, 'bob', documentOf(2))]))
    const checkpoint = { ...source.snapshot(), type: 'checkpoint', at: 0 }
    const log = toLog(['x', 'x', createChange('c', 2, 'cid', documentOf(3)), checkpoint, createChange('d', 3, 'dan', documentOf(4))])
    expect(read(log, 2)).to.include({ isComplete: true, revision: 4 })
    expect(read(log, 3)).to.include({ isComplete: false, revision: 0, document: undefined })
  })

  // Guards against two versions that each apply another change as the same revision.
  it('stops at a record of a newer version until it adopts a state that covers it', () => {
    const newer = { ...createChange('n', 1, 'new', documentOf(9)), version: CONFIG_RECORD_VERSION + 1 }
    const state = read(toLog([createChange('a', 0, 'ann', documentOf(1)), newer, createChange('b', 1, 'bob', documentOf(2))]))
    expect(state).to.include({ isComplete: false, revision: 1 })
    expect(state.adoptPeerState({ version: 1, revision: 2, upTo: 1, document: documentOf(9), changes: [] })).to.equal(true)
    expect(state).to.include({ isComplete: true, revision: 2 })
    expect(state.verdictOf('b')?.kind).to.equal('conflict')
  })

  // Guards against a fleet that can judge no change any more after an outage longer than the retention.
  it('starts anew where no VM has read the lost records', () => {
    const log = toLog([createChange('a', 0, 'ann', documentOf(1)), createChange('b', 1, 'bob', documentOf(2))])
    const stuck = read(log.slice(0, 1))
    stuck.skipTo(2)
    const rebase = { offset: 2, data: JSON.stringify(stuck.createRebase()) }
    const next = { offset: 3, data: JSON.stringify(createChange('c', 1_000_001, 'cid', documentOf(3))) }
    const readers = [stuck, read(log), read([], 0)]
    for (const reader of readers) [rebase, rebase, next].forEach(record => reader.apply(record))
    expect(readers.map(reader => [reader.isComplete, reader.revision, reader.document?.defaults.routing.queueLimitCalls]))
      .to.deep.equal(readers.map(() => [true, 1_000_002, 3]))
    expect(stuck.createRebase()).to.equal(undefined)
  })

  // Guards against a revision that goes back because a lagging or broken peer answered.
  it('refuses a state that is older, equal, unreadable or of a newer version', () => {
    const state = read(toLog([createChange('a', 0, 'ann', documentOf(1))]))
    const good = { version: 1, revision: 2, upTo: 4, document: documentOf(2), changes: [] }
    for (const bad of [{ ...good, revision: 0 }, { ...good, revision: 1 }, { ...good, version: 2 }, { ...good, document: 1 }, { ...good, upTo: -1 }, null]) {
      expect(state.adoptPeerState(bad), JSON.stringify(bad)).to.equal(false)
    }
    expect(state.revision).to.equal(1)
    expect(state.adoptPeerState(good)).to.equal(true)
  })

  // Guards against a stream whose checkpoints stop, or that every VM fills with its own.
  it('owes a checkpoint after a quarter of the retention, staggered by rank', () => {
    const clock = FakeClock.create(1_000)
    const first = read(toLog([createChange('a', 0, 'ann', documentOf(1))]), 0, clock)
    const second = read(toLog([createChange('a', 0, 'ann', documentOf(1))]), 0, clock)
    const due = first.dueCheckpoint(8_000, 0, 2)
    expect(due?.revision).to.equal(1)
    expect(second.dueCheckpoint(8_000, 1, 2)).to.equal(undefined)
    second.apply({ offset: 1, data: JSON.stringify(due) })
    clock.advance(2_400)
    expect(second.dueCheckpoint(8_000, 1, 2)).to.equal(undefined)
    clock.advance(200)
    expect(second.dueCheckpoint(8_000, 1, 2)).to.not.equal(undefined)
  })

  // Guards against readers that end with different documents because of where they started or what they adopted.
  it('converges for readers with any start, gap and adoption', () => {
    for (let seed = 1; seed <= SCHEDULES; seed++) {
      const random = SeededRandom.create(seed)
      const pick = (bound: number) => Math.floor(random.next() * bound)
      const writer = ConfigState.create(FakeClock.create())
      const late = ConfigState.create(FakeClock.create())
      const start = pick(15)
      for (let offset = 0; offset < 60; offset++) {
        const change = createChange(`c${pick(40)}`, Math.max(0, writer.revision - pick(3) + 1 - pick(2)), 'x', pick(6) === 0 ? {} : documentOf(offset + 1))
        const record = pick(7) === 0 && writer.snapshot() ? { ...writer.snapshot(), type: 'checkpoint', at: offset } : change
        writer.apply({ offset, data: JSON.stringify(record) })
        const before = late.revision
        if (offset >= start && pick(12) > 0) late.apply({ offset, data: JSON.stringify(record) })
        if (pick(15) === 0) late.adoptPeerState(writer.snapshot())
        expect(late.revision, `seed ${seed}`).to.be.at.least(before)
        if (late.isComplete && late.nextOffset === offset + 1) expect(late.snapshot(), `seed ${seed}`).to.deep.equal(writer.snapshot())
      }
      late.adoptPeerState(writer.snapshot())
      expect(late.revision, `seed ${seed}`).to.equal(writer.revision)
      expect(late.document, `seed ${seed}`).to.deep.equal(writer.document)
    }
  })
})
