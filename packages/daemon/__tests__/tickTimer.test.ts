import { expect } from 'chai'
import { FakeClock } from '@cowsliplead/core/types/clock.js'
import { TickTimer, type Tickable } from '../src/core/supervision/tickTimer.js'
import { sleep } from '../src/utils/sleep.js'
import { throwError } from './harness.js'

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
    const timer = TickTimer.create(FakeClock.create(), throwError)
    const tickable = createTickable()
    timer.add(tickable)
    while (tickable.ticks < 2) await sleep(1)
    timer.stop()
    const { ticks } = tickable
    timer.reschedule(tickable)
    await sleep(20)
    expect(tickable.ticks).to.equal(ticks)
  })

  // Guards against an unexpected error in the work of one service that ends the process or the timers of the others.
  it('goes on with the work of the others if one throws', async () => {
    const errors: string[] = []
    const timer = TickTimer.create(FakeClock.create(), error => errors.push(error.message))
    const failing = { nextTimerAt: () => 0, tick: () => throwError(new Error('unexpected')) }
    const tickable = createTickable()
    timer.add(failing)
    timer.add(tickable)
    while (tickable.ticks < 2) await sleep(1)
    timer.stop()
    expect(new Set(errors)).to.deep.equal(new Set(['unexpected']))
  })

  // Guards against a loop without a pause: Node runs a timer with a longer delay than it supports at once.
  it('does not run work that is due in more than a month', async () => {
    const timer = TickTimer.create(FakeClock.create(), throwError)
    let checks = 0
    timer.add({
      nextTimerAt: () => {
        checks++
        return 1e12
      },
      tick: () => {}
    })
    await sleep(20)
    timer.stop()
    expect(checks).to.equal(1)
  })
})
