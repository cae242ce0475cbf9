import { expect } from 'chai'
import { Ownership } from '../src/core/keyed/ownership.js'
import { KEYED_TIMING } from '../src/types/keyedTiming.js'
import type { WitnessEntry } from '../src/types/keyedRecords.js'

function take (claimant: string, baseEpoch: number, witnesses: string[] = []): object {
  return { type: 'take', version: 1, at: 1_000, id: 'x', claimant, listedAsOf: 1, witnesses, partitions: [{ partition: 0, baseEpoch }] }
}

function handover (from: string, claimant: string, baseEpoch: number, witnesses: string[]): object {
  return { ...take(claimant, baseEpoch, witnesses), type: 'handover', from }
}

function hold (owner: string, epoch: number, holdNumber: number, witnesses: WitnessEntry[]): object {
  return { type: 'hold', version: 1, at: 1_000, owner, listedAsOf: 2, groups: [{ witnesses, partitions: [{ partition: 0, epoch, holdNumber, unseenUntil: 0 }] }] }
}

function read (records: object[], from = 0): Ownership {
  const ownership = Ownership.create(KEYED_TIMING)
  records.forEach((record, index) => ownership.apply({ offset: from + index, data: JSON.stringify(record) }))
  return ownership
}

describe('ownership', () => {
  // Guards against two VMs that both take themselves for the owner.
  const cases: Array<[string, object[], string, number]> = [
    ['the first of two takes wins', [take('a#1', 0), take('b#1', 0)], 'a#1', 1],
    ['a take on the current epoch wins', [take('a#1', 0), take('b#1', 1)], 'b#1', 2],
    ['a take on an epoch that is past loses', [take('a#1', 0), take('b#1', 1), take('c#1', 1)], 'b#1', 2],
    ['a handover by another than the owner loses', [take('a#1', 0), handover('b#1', 'c#1', 1, [])], 'a#1', 1],
    ['a take before the handover ends it', [take('a#1', 0), take('a#1', 1), handover('a#1', 'b#1', 1, [])], 'a#1', 2],
    ['a hold of an earlier owner changes nothing', [take('a#1', 0), take('b#1', 1), hold('a#1', 1, 1, [])], 'b#1', 2]
  ]
  for (const [name, records, owner, epoch] of cases) {
    it(name, () => expect(read(records).entryOf(0)).to.include({ owner, epoch }))
  }

  // Guards against a takeover that does not ask a member which may hold claims.
  it('keeps every member that may hold claims', () => {
    const until = 1_000 + KEYED_TIMING.listEvidenceMs + KEYED_TIMING.keyRetentionMs + KEYED_TIMING.maxDeadlineMs
    const taken = read([take('a#1', 0, ['w#1', 'v#1']), take('b#1', 1, ['v#1', 'u#1'])])
    expect(taken.entryOf(0)?.witnesses).to.have.deep.members([{ member: 'w#1', until }, { member: 'v#1' }, { member: 'u#1' }])
    const handed = read([take('a#1', 0, ['w#1']), take('b#1', 1, ['v#1']), handover('b#1', 'c#1', 2, ['u#1'])])
    expect(handed.entryOf(0)?.witnesses).to.have.deep.members([{ member: 'w#1', until }, { member: 'u#1' }])
  })

  // Guards against a hold that took effect late and brings back witnesses which the owner no longer uses.
  it('ignores a hold that is older than the newest', () => {
    const ownership = read([take('a#1', 0), hold('a#1', 1, 2, [{ member: 'w#1' }]), hold('a#1', 1, 1, [{ member: 'v#1' }])])
    expect(ownership.entryOf(0)?.witnesses).to.deep.equal([{ member: 'w#1' }])
  })

  // Guards against a VM that takes a partition for never owned because the records have expired.
  it('is incomplete after a gap until a complete peer closes it', () => {
    const records = [take('a#1', 0), take('b#1', 1), hold('b#1', 2, 1, [])]
    const complete = read(records)
    const late = read(records.slice(2), 2)
    expect(late.isComplete).to.equal(false)
    expect(late.entryOf(0)).to.include({ owner: 'b#1', epoch: 2 })
    late.adoptTable({ ...read(records.slice(0, 1)).table() })
    expect(late.isComplete).to.equal(false)
    late.adoptTable(complete.table())
    expect(late).to.include({ isComplete: true })
    const unseen = read([take('c#1', 0)], 5).entryOf(0)
    expect(unseen?.unseenUntil).to.be.greaterThan(KEYED_TIMING.keyRetentionMs)
  })
})
