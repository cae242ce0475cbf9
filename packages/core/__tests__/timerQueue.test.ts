import { expect } from 'chai'
import { TimerQueue } from '../src/utils/timerQueue.js'

describe('timer queue', () => {
  // Guards against calls that never end because an unexpected error in another call's timer has dropped theirs.
  it('keeps the timers that are due behind one that throws', () => {
    const timers = TimerQueue.create()
    const run: string[] = []
    timers.schedule(1, () => run.push('first'))
    timers.schedule(2, () => {
      throw new Error('unexpected')
    })
    timers.schedule(3, () => run.push('third'))
    expect(() => timers.runDue(5)).to.throw('unexpected')
    expect([timers.size, timers.nextAt()]).to.deep.equal([1, 3])
    timers.runDue(5)
    expect(run).to.deep.equal(['first', 'third'])
  })
})
