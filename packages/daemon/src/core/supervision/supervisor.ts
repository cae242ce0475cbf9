import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Component } from '../../types/component.js'
import type { Timers } from '../../types/timers.js'

const INITIAL_RESTART_DELAY_MS = 100
const MAX_RESTART_DELAY_MS = 5000

/** Number of failures within the window at which a component makes the daemon unready. */
const FAILURE_LIMIT = 5
const FAILURE_WINDOW_MS = 60_000

/** Notified when a supervised component fails or starts. */
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

interface SupervisedComponent {
  readonly component: Component
  running: boolean
  restarts: number
  failures: Milliseconds[]
  cancelRestart: () => void
}

/** Starts components in order and restarts each failed one independently, with exponential backoff. */
export class Supervisor {
  private readonly entries: SupervisedComponent[] = []
  private isStopping = false

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
    const entry: SupervisedComponent = { component, running: false, restarts: 0, failures: [], cancelRestart: () => {} }
    this.entries.push(entry)
    await this.start(entry)
  }

  /** Names of the components that fail so often that the daemon is not ready. */
  failingComponents (): string[] {
    return this.entries
      .filter(entry => this.recentFailures(entry) >= FAILURE_LIMIT)
      .map(entry => entry.component.name)
  }

  /** State of each component. */
  componentStates (): ComponentState[] {
    return this.entries.map(entry => ({
      name: entry.component.name,
      running: entry.running,
      restarts: entry.restarts,
      recentFailures: this.recentFailures(entry)
    }))
  }

  /** Stops all components in reverse order. */
  async stop (): Promise<void> {
    this.isStopping = true
    for (const entry of [...this.entries].reverse()) {
      entry.cancelRestart()
      entry.running = false
      await entry.component.stop()
    }
  }

  private async start (entry: SupervisedComponent): Promise<void> {
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

  private scheduleRestart (entry: SupervisedComponent, error: Error): void {
    if (this.isStopping) return
    entry.running = false
    entry.failures = [...this.failuresInWindow(entry), this.clock.now()]
    const delayMs = Math.min(INITIAL_RESTART_DELAY_MS * 2 ** (entry.failures.length - 1), MAX_RESTART_DELAY_MS)
    this.observer.onFailure(entry.component.name, error, delayMs)
    entry.cancelRestart = this.timers.after(delayMs, () => void this.restart(entry))
  }

  private async restart (entry: SupervisedComponent): Promise<void> {
    await entry.component.stop().catch(() => {})
    if (this.isStopping) return
    entry.restarts++
    await this.start(entry)
  }

  private recentFailures (entry: SupervisedComponent): number {
    return this.failuresInWindow(entry).length
  }

  private failuresInWindow (entry: SupervisedComponent): Milliseconds[] {
    const windowStartedAt = this.clock.now() - FAILURE_WINDOW_MS
    return entry.failures.filter(at => at > windowStartedAt)
  }
}
