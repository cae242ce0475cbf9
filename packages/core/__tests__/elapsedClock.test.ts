import { expect } from 'chai'
import { ElapsedClock, instantBefore } from '../src/types/elapsedClock.js'

describe('ElapsedClock', () => {
  const cases = [
    { name: 'all clocks run', monotonic: 700, boot: 700, wall: 700, elapsed: 700 },
    { name: 'the VM is suspended', monotonic: 10, boot: 6010, wall: 6010, elapsed: 6010 },
    { name: 'the VM is suspended and the time of day set back', monotonic: 10, boot: 6010, wall: -3000, elapsed: 6010 },
    { name: 'the VM is suspended and the boot-time clock stops as well', monotonic: 10, boot: 10, wall: 6010, elapsed: 6010 },
    { name: 'the time of day is set back', monotonic: 700, boot: 700, wall: -9300, elapsed: 700 },
    { name: 'the time of day is set forward', monotonic: 700, boot: 700, wall: 8700, elapsed: 8700 },
    { name: 'the boot-time clock is read in whole seconds', monotonic: 150, boot: 1000, wall: 150, elapsed: 150 },
    { name: 'the boot-time clock is that of a host whose time runs faster', monotonic: 900, boot: 4200, wall: 900, elapsed: 900 },
    { name: 'every clock is set back', monotonic: -1, boot: -1, wall: -1, elapsed: 0 }
  ]
  // Guards against a configuration that looks recent after its VM was suspended.
  for (const { name, elapsed, ...steps } of cases) {
    it(`measures at least the elapsed time when ${name}`, () => {
      const times = { monotonic: 50, boot: 9000, wall: 1_700_000_000_000 }
      const clock = ElapsedClock.create({ monotonic: () => times.monotonic, boot: () => times.boot, wall: () => times.wall })
      const start = clock.now()
      times.monotonic += steps.monotonic
      times.boot += steps.boot
      times.wall += steps.wall
      expect(clock.since(start)).to.equal(elapsed)
      expect(clock.since(instantBefore(start, 400))).to.equal(Math.max(0, elapsed === 0 ? 399 : elapsed + 400))
    })
  }

  // Guards against a unit or a clock of this system that differs from what is assumed.
  it('reads the clocks of the system in milliseconds', async () => {
    const clock = ElapsedClock.create()
    const start = clock.now()
    await new Promise(resolve => setTimeout(resolve, 60))
    expect(clock.since(start)).to.be.within(50, 1000)
    expect(clock.now().boot - start.boot).to.be.within(40, 1000)
  })
})
