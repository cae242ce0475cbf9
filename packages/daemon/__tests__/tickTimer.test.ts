import { expect } from 'chai'
import { FakeClock } from '@cowsliplead/core/types/clock.js'
import { TickTimer, type Tickable } from '../src/core/supervision/tickTimer.js'
import { sleep } from '../src/utils/sleep.js'

/** Always due immediately. */
function createTickable (): Tickable & { ticks: number } {
  return {
    ticks: 0,
    nextTimerAt: () => 0,
    tick () {
      this.ticks++
    }
  }
}

describe('tick timer', () => {
  // Guards against a stopped daemon whose process does not exit because a late event armed the timer again.
  it('runs until it is stopped and is not armed by later events', async () => {
    const timer = TickTimer.create(FakeClock.create())
    const tickable = createTickable()
    timer.add(tickable)
    while (tickable.ticks < 2) await sleep(1)
    timer.stop()
    const { ticks } = tickable
    timer.reschedule(tickable)
    await sleep(20)
    expect(tickable.ticks).to.equal(ticks)
  })
})
