import { expect } from 'chai'
import { FakeClock } from '@cowsliplead/core/types/clock.js'
import { TickTimer, type Ticking } from '../src/core/supervision/tickTimer.js'
import { sleep } from '../src/utils/sleep.js'

/** Due at once, every time. */
function createTicking (): Ticking & { ticks: number } {
  return {
    ticks: 0,
    nextTimerAt: () => 0,
    tick () {
      this.ticks++
    }
  }
}

describe('tick timer', () => {
  // Guards against a stopped daemon whose process stays alive because a late event armed the timer again.
  it('runs until it is stopped and is not armed by later events', async () => {
    const timer = TickTimer.create(FakeClock.create())
    const ticking = createTicking()
    timer.add(ticking)
    while (ticking.ticks < 2) await sleep(1)
    timer.stop()
    const { ticks } = ticking
    timer.reschedule(ticking)
    await sleep(20)
    expect(ticking.ticks).to.equal(ticks)
  })
})
