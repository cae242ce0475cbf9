import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Component } from '../../types/component.js'
import type { Timers } from '../../types/timers.js'

const FIRST_DELAY_MS = 100
const LONGEST_DELAY_MS = 5000

/** A component that failed this often within the window makes the daemon unready. */
const FAILURE_LIMIT = 5
const FAILURE_WINDOW_MS = 60_000

/** Receives the state changes of supervised components. */
export interface SupervisorObserver {
  onFailure (component: string, error: Error, restartInMs: Milliseconds): void
  onStart (component: string, restarts: number): void
}

/** State of one component, for the state dump. */
export interface ComponentState {
  readonly name: string
  readonly running: boolean
  readonly restarts: number
  readonly recentFailures: number
}

interface Supervised {
  readonly component: Component
  running: boolean
  restarts: number
  failures: Milliseconds[]
  cancelRestart: () => void
}

/** Starts components in order and restarts each one that fails, on its own, with growing delays. */
export class Supervisor {
  private readonly supervised: Supervised[] = []
  private stopping = false

  private constructor (
    private readonly clock: Clock,
    private readonly timers: Timers,
    private readonly observer: SupervisorObserver
  ) {}

  static create (clock: Clock, timers: Timers, observer: SupervisorObserver): Supervisor {
    return new Supervisor(clock, timers, observer)
  }

  /** Adds a component and starts it. */
  async add (component: Component): Promise<void> {
    const entry: Supervised = { component, running: false, restarts: 0, failures: [], cancelRestart: () => {} }
    this.supervised.push(entry)
    await this.start(entry)
  }

  /** Names of components that fail too often for the daemon to be ready. */
  failing (): string[] {
    return this.supervised
      .filter(entry => this.recentFailures(entry) >= FAILURE_LIMIT)
      .map(entry => entry.component.name)
  }

  /** The state of every component. */
  states (): ComponentState[] {
    return this.supervised.map(entry => ({
      name: entry.component.name,
      running: entry.running,
      restarts: entry.restarts,
      recentFailures: this.recentFailures(entry)
    }))
  }

  /** Stops all components, the last one first. */
  async stop (): Promise<void> {
    this.stopping = true
    for (const entry of [...this.supervised].reverse()) {
      entry.cancelRestart()
      entry.running = false
      await entry.component.stop()
    }
  }

  private async start (entry: Supervised): Promise<void> {
    let failed = false
    const fail = (error: Error): void => {
      if (failed) return
      failed = true
      this.scheduleRestart(entry, error)
    }
    try {
      await entry.component.start(fail)
      if (failed) return
      entry.running = true
      this.observer.onStart(entry.component.name, entry.restarts)
    } catch (error) {
      fail(error as Error)
    }
  }

  private scheduleRestart (entry: Supervised, error: Error): void {
    if (this.stopping) return
    entry.running = false
    entry.failures = [...this.failuresInWindow(entry), this.clock.now()]
    const delay = Math.min(FIRST_DELAY_MS * 2 ** (entry.failures.length - 1), LONGEST_DELAY_MS)
    this.observer.onFailure(entry.component.name, error, delay)
    entry.cancelRestart = this.timers.after(delay, () => void this.restart(entry))
  }

  private async restart (entry: Supervised): Promise<void> {
    await entry.component.stop().catch(() => {})
    if (this.stopping) return
    entry.restarts++
    await this.start(entry)
  }

  private recentFailures (entry: Supervised): number {
    return this.failuresInWindow(entry).length
  }

  private failuresInWindow (entry: Supervised): Milliseconds[] {
    const oldest = this.clock.now() - FAILURE_WINDOW_MS
    return entry.failures.filter(at => at > oldest)
  }
}
