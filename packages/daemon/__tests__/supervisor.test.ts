import { expect } from 'chai'
import { FakeClock } from '@cowsliplead/core/types/clock.js'
import { Supervisor } from '../src/core/supervision/supervisor.js'
import { EventLoopMonitor } from '../src/core/supervision/eventLoopMonitor.js'
import type { Component } from '../src/types/component.js'
import type { Timers } from '../src/types/timers.js'

/** Timers that fire only when the test calls `fire`. */
class FakeTimers implements Timers {
  readonly delays: number[] = []
  private pending: (() => void)[] = []

  after (delay: number, action: () => void): () => void {
    this.delays.push(delay)
    this.pending.push(action)
    return () => {
      this.pending = this.pending.filter(other => other !== action)
    }
  }

  async fire (): Promise<void> {
    for (const action of this.pending.splice(0)) action()
    await new Promise(resolve => setImmediate(resolve))
  }
}

/** A component that fails on demand. */
class FakeComponent implements Component {
  starts = 0
  stops = 0
  fail: (error: Error) => void = () => {}

  constructor (readonly name: string) {}

  async start (onFailure: (error: Error) => void): Promise<void> {
    this.starts++
    this.fail = onFailure
  }

  async stop (): Promise<void> {
    this.stops++
  }
}

describe('supervisor', () => {
  let clock: FakeClock
  let timers: FakeTimers
  let supervisor: Supervisor
  let component: FakeComponent
  let other: FakeComponent

  beforeEach(async () => {
    clock = FakeClock.create(1_000_000)
    timers = new FakeTimers()
    supervisor = Supervisor.create(clock, timers, { onFailure: () => {}, onStart: () => {} })
    component = new FakeComponent('one')
    other = new FakeComponent('other')
    await supervisor.add(component)
    await supervisor.add(other)
  })

  async function failTimes (count: number): Promise<void> {
    for (let i = 0; i < count; i++) {
      component.fail(new Error('test'))
      await timers.fire()
    }
  }

  // Guards against a tight restart loop, and against one failure that restarts all components.
  it('restarts only the failed component, with delays that double up to 5 s', async () => {
    await failTimes(8)
    expect(timers.delays).to.deep.equal([100, 200, 400, 800, 1600, 3200, 5000, 5000])
    expect(component.starts).to.equal(9)
    expect(other.starts).to.equal(1)
  })

  // Guards against a daemon that stays ready while one of its components cannot run.
  it('reports a component as failing after 5 failures within 60 s', async () => {
    await failTimes(4)
    expect(supervisor.failingComponents()).to.deep.equal([])
    await failTimes(1)
    expect(supervisor.failingComponents()).to.deep.equal(['one'])
    clock.advance(60_001)
    expect(supervisor.failingComponents()).to.deep.equal([])
  })

  // Guards against a component that is restarted after the daemon has stopped.
  it('restarts no component after it was stopped', async () => {
    component.fail(new Error('test'))
    await supervisor.stop()
    await timers.fire()
    expect([component.starts, component.stops, other.stops]).to.deep.equal([1, 1, 1])
  })
})

describe('event-loop monitor', () => {
  // Guards against undetected stalls, and against reports of normal jitter.
  it('reports stalls above 200 ms only', () => {
    const clock = FakeClock.create(0)
    const stalls: number[] = []
    const monitor = EventLoopMonitor.create(clock, length => stalls.push(length))
    monitor.start()
    for (const elapsed of [50, 250, 251, 50]) {
      clock.advance(elapsed)
      monitor.check()
    }
    monitor.stop()
    expect(stalls).to.deep.equal([201])
  })
})
