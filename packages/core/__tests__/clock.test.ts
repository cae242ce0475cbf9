import { expect } from 'chai'
import { SystemClock } from '../src/types/clock.js'

describe('SystemClock', () => {
  // Guards against a VM that misses the time during which it was suspended, and against time that runs backwards.
  const steps: Array<[string, { wall: number, monotonic: number }, number]> = [
    ['ordinary progress', { wall: 10, monotonic: 10 }, 1010],
    ['monotonic clock stopped during a suspension', { wall: 10_000, monotonic: 10 }, 11_000],
    ['wall clock set back', { wall: -5000, monotonic: 10 }, 1010],
    ['small lag of the wall clock', { wall: 30, monotonic: 10 }, 1010]
  ]
  for (const [name, { wall, monotonic }, expected] of steps) {
    it(`${name}: moves from 1000 to ${expected}`, () => {
      const times = { wall: 1000, monotonic: 7 }
      const clock = SystemClock.create(() => times.wall, () => times.monotonic)
      expect(clock.now()).to.equal(1000)
      times.wall += wall
      times.monotonic += monotonic
      expect(clock.now()).to.equal(expected)
    })
  }
})
