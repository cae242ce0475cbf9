import type { Milliseconds } from '@cowsliplead/core/types/clock.js'

/** Work that waits for news. */
export class Waiters {
  private readonly wakes = new Set<() => void>()

  private constructor () {}

  static create (): Waiters {
    return new Waiters()
  }

  /** Resolves when there is news, after `withinMs`, or when `signal` is aborted. */
  wait (withinMs: Milliseconds, signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const done = (): void => {
        clearTimeout(timer)
        signal.removeEventListener('abort', done)
        this.wakes.delete(done)
        resolve()
      }
      const timer = setTimeout(done, Math.max(Math.ceil(withinMs), 1))
      signal.addEventListener('abort', done)
      this.wakes.add(done)
    })
  }

  /** Wakes all that wait. */
  wake (): void {
    for (const wake of [...this.wakes]) wake()
  }
}
