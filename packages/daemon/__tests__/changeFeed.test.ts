import { expect } from 'chai'
import { FakeClock } from '@cowsliplead/core/types/clock.js'
import { ChangeFeed } from '../src/core/feed/changeFeed.js'
import type { FeedTable, OffsetChanges } from '../src/types/feedTable.js'

const TABLE = 'upstreams'
const MAX_AGE_MS = 1000
const REACHED = { epoch: 0, offset: 5 }

/** A table of which the VM knows the first five changes. */
function createTable (): FeedTable {
  return {
    table: TABLE,
    position: REACHED,
    needsCopy: false,
    records: () => [],
    receiveChanges: (changes: OffsetChanges) => changes,
    receiveCopy: () => {}
  }
}

describe('ChangeFeed', () => {
  let clock: FakeClock
  let feed: ChangeFeed

  beforeEach(() => {
    clock = FakeClock.create(10_000)
    feed = ChangeFeed.create(clock)
    feed.register(createTable())
  })

  // Guards against a fleet whose VMs all read the store in the moment in which its source does not.
  it('lets the standby read the store before the other VMs do', () => {
    feed.receivePositions('source', { [TABLE]: { epoch: 0, end: 5, ageMs: 0 } })
    clock.advance(0.9 * MAX_AGE_MS)
    const coveredRoles = (['source', 'standby', 'relay', 'follower'] as const).filter(role => {
      feed.setRole(role)
      return feed.covers(TABLE, REACHED, MAX_AGE_MS)
    })
    expect(coveredRoles).to.deep.equal(['relay', 'follower'])
  })

  // Guards against VMs that pass a position around and never notice that nobody reads the store any more.
  it('keeps the time of a read when it passes the position on', () => {
    feed.setRole('relay')
    feed.receivePositions('source', { [TABLE]: { epoch: 0, end: 5, ageMs: 300 } })
    clock.advance(400)
    expect(feed.positions()).to.deep.equal({ [TABLE]: { epoch: 0, end: 5, ageMs: 700, readForMs: 0 } })
    feed.receivePositions('follower', feed.positions())
    clock.advance(400)
    expect(feed.covers(TABLE, REACHED, MAX_AGE_MS)).to.equal(false)
  })

  // Guards against relays that repeat each position for every VM that they hear it from.
  it('publishes a position once', () => {
    let published = 0
    feed.setPublisher({ onChanges: () => {}, onPosition: () => void (published += 1) })
    feed.receivePositions('source', { [TABLE]: { epoch: 0, end: 5, ageMs: 0 } })
    feed.receivePositions('standby', { [TABLE]: { epoch: 0, end: 5, ageMs: 1 } })
    feed.receivePositions('standby', { [TABLE]: { epoch: 0, end: 5, ageMs: 100 } })
    expect(published).to.equal(1)
    clock.advance(500)
    feed.receivePositions('source', { [TABLE]: { epoch: 0, end: 5, ageMs: 0 } })
    expect(published).to.equal(2)
  })

  // Guards against followers that believe to have all changes because the VM that they follow lacks some as well.
  it('does not pass on a position beyond its own copy', () => {
    feed.setRole('relay')
    feed.receivePositions('source', { [TABLE]: { epoch: 0, end: 6, ageMs: 0 } })
    expect(feed.positions()).to.deep.equal({})
    expect(feed.covers(TABLE, REACHED, MAX_AGE_MS)).to.equal(false)
  })

  // Guards against a fleet that misses a configuration because its new source still waits to retry a failed read.
  it('ends the pause after a failed read once the VM becomes the source', async () => {
    feed.setRole('relay')
    const paused = feed.waitUntilCovered(TABLE, () => REACHED, MAX_AGE_MS, 60_000, new AbortController().signal)
    feed.setRole('source')
    await paused
  })

  // Guards against followers that skip the changes of a restored store, as it gives out lower offsets again.
  it('does not cover a table whose positions are of another epoch', () => {
    feed.setRole('relay')
    feed.receivePositions('source', { [TABLE]: { epoch: 1, end: 2, ageMs: 0 } })
    expect(feed.covers(TABLE, REACHED, MAX_AGE_MS)).to.equal(false)
    expect(feed.positions()).to.deep.equal({})
    expect(feed.covers(TABLE, { epoch: 1, offset: 2 }, MAX_AGE_MS)).to.equal(true)
    expect(feed.covers(TABLE, { epoch: 2, offset: 0 }, MAX_AGE_MS)).to.equal(false)
  })

  it('has no role before this VM is registered, and reads the store', () => {
    feed.receivePositions('source', { [TABLE]: { epoch: 0, end: 5, ageMs: 0 } })
    expect(feed.covers(TABLE, REACHED, MAX_AGE_MS)).to.equal(false)
  })

  // Guards against a source that is cut off from the store, seems to read it, and so is not replaced.
  it('does not pass on what it follows only because the store does not answer', () => {
    feed.publish(TABLE, REACHED)
    clock.advance(5000)
    feed.setAdditionalSources(new Set(['other']))
    feed.receivePositions('other', { [TABLE]: { epoch: 0, end: 5, ageMs: 100, readForMs: 0 } })
    expect(feed.copyAgeMs(TABLE)).to.equal(100)
    expect(feed.positions()[TABLE]?.ageMs).to.equal(5000)
  })

  // Guards against an outage of one VM that counts as one of the store, and the other way round.
  it('knows since when the table was read, by this VM or by others, without a long pause', () => {
    feed.publish(TABLE, REACHED)
    const firstReadAt = clock.now()
    clock.advance(12_000)
    expect(feed.wasReadSince(TABLE, firstReadAt)).to.equal(true)
    feed.publish(TABLE, REACHED)
    expect(feed.wasReadSince(TABLE, firstReadAt)).to.equal(false)
    feed.receivePositions('other', { [TABLE]: { epoch: 0, end: 5, ageMs: 300, readForMs: 9000 } })
    expect(feed.wasReadSince(TABLE, firstReadAt)).to.equal(false)
    feed.receivePositions('another', { [TABLE]: { epoch: 0, end: 5, ageMs: 300, readForMs: 12_000 } })
    expect(feed.wasReadSince(TABLE, firstReadAt)).to.equal(true)
    expect(feed.positions()[TABLE]).to.include({ readForMs: 12_300 })
  })
})
