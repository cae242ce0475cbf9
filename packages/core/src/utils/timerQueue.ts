import type { Milliseconds } from '../types/clock.js'

/** A scheduled action. `heapIndex` is its index in the heap, negative if it is not in the heap. */
export interface Timer {
  readonly at: Milliseconds
  readonly action: () => void
  heapIndex: number
}

// Values of `heapIndex` for timers outside the heap: run or cancelled, and due but not yet run.
const INACTIVE = -1
const DUE = -2

/** Binary heap of timers that supports removal, so that finished calls leave no timers behind. */
export class TimerQueue {
  private readonly heap: Timer[] = []

  private constructor () {}

  static create (): TimerQueue {
    return new TimerQueue()
  }

  get size (): number {
    return this.heap.length
  }

  /** Time at which the earliest timer is due; undefined if there is none. */
  nextAt (): Milliseconds | undefined {
    return this.heap[0]?.at
  }

  schedule (at: Milliseconds, action: () => void): Timer {
    const timer: Timer = { at, action, heapIndex: INACTIVE }
    this.insert(timer)
    return timer
  }

  /** Removes a timer. Ignores one that has already run. */
  cancel (timer: Timer | undefined): void {
    if (timer === undefined) return
    const position = timer.heapIndex
    timer.heapIndex = INACTIVE
    if (position < 0) return
    const last = this.heap.pop()
    if (last === undefined || last === timer) return
    this.place(last, position)
    this.siftUp(last)
    this.siftDown(last)
  }

  /**
   * Runs the timers due at `now`. Timers that they schedule for `now` or earlier run on the next call, and so do those behind
   * one whose action throws.
   */
  runDue (now: Milliseconds): void {
    const due: Timer[] = []
    for (let first = this.heap[0]; first !== undefined && first.at <= now; first = this.heap[0]) {
      this.cancel(first)
      due.push(first)
      first.heapIndex = DUE
    }
    try {
      for (const timer of due) {
        if (timer.heapIndex === DUE) this.run(timer)
      }
    } finally {
      this.putBack(due)
    }
  }

  private putBack (due: readonly Timer[]): void {
    for (const timer of due) {
      if (timer.heapIndex === DUE) this.insert(timer)
    }
  }

  private insert (timer: Timer): void {
    timer.heapIndex = this.heap.length
    this.heap.push(timer)
    this.siftUp(timer)
  }

  private run (timer: Timer): void {
    timer.heapIndex = INACTIVE
    timer.action()
  }

  private place (timer: Timer, position: number): void {
    timer.heapIndex = position
    this.heap[position] = timer
  }

  private siftUp (timer: Timer): void {
    while (timer.heapIndex > 0) {
      const parent = this.heap[(timer.heapIndex - 1) >> 1]
      if (parent === undefined || parent.at <= timer.at) return
      this.swap(timer, parent)
    }
  }

  private siftDown (timer: Timer): void {
    for (;;) {
      const left = this.heap[2 * timer.heapIndex + 1]
      const right = this.heap[2 * timer.heapIndex + 2]
      const child = right !== undefined && left !== undefined && right.at < left.at ? right : left
      if (child === undefined || child.at >= timer.at) return
      this.swap(timer, child)
    }
  }

  private swap (one: Timer, other: Timer): void {
    const position = one.heapIndex
    this.place(one, other.heapIndex)
    this.place(other, position)
  }
}
