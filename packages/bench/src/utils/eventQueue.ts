import { FakeClock, type Milliseconds } from '@cowsliplead/core/types/clock.js'

/** Clock time at which a run starts. The core uses Unix times, of which zero is not a valid one. */
export const RUN_START_MS: Milliseconds = 1_000_000

/** Uptime of the VMs when a run starts. */
const UPTIME_MS = 60_000

interface ScheduledEvent {
  readonly at: Milliseconds
  /** Orders events that are due at the same time by when they were scheduled, so that equal seeds give equal runs. */
  readonly sequence: number
  readonly action: () => void
}

/** A binary heap of scheduled actions, each run at its time on a fake clock. Times are relative to the run's start. */
export class EventQueue {
  readonly clock = FakeClock.create(RUN_START_MS - UPTIME_MS)
  private readonly heap: ScheduledEvent[] = []
  private scheduledCount = 0

  private constructor () {}

  static create (): EventQueue {
    return new EventQueue()
  }

  now (): Milliseconds {
    return this.clock.now() - RUN_START_MS
  }

  /** Schedules `action` for the time `at`; a time in the past means now. */
  schedule (at: Milliseconds, action: () => void): void {
    this.scheduledCount += 1
    const event = { at: Math.max(at, this.now()), sequence: this.scheduledCount, action }
    this.heap.push(event)
    this.siftUp(this.heap.length - 1)
  }

  /** Runs all actions due up to `end`, in order of time, and advances the clock to `end`. */
  runUntil (end: Milliseconds): void {
    for (let event = this.heap[0]; event !== undefined && event.at <= end; event = this.heap[0]) {
      this.removeFirst()
      this.clock.advanceTo(RUN_START_MS + event.at)
      event.action()
    }
    this.clock.advanceTo(RUN_START_MS + end)
  }

  private removeFirst (): void {
    const last = this.heap.pop()
    if (last === undefined || this.heap.length === 0) return
    this.heap[0] = last
    this.siftDown()
  }

  private siftUp (start: number): void {
    const heap = this.heap
    const event = heap[start]!
    let index = start
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(event, heap[parent]!)) break
      heap[index] = heap[parent]!
      index = parent
    }
    heap[index] = event
  }

  private siftDown (): void {
    const heap = this.heap
    const event = heap[0]!
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child += 1
      if (!isBefore(heap[child]!, event)) break
      heap[index] = heap[child]!
      index = child
    }
    heap[index] = event
  }
}

function isBefore (a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.at < b.at || (a.at === b.at && a.sequence < b.sequence)
}
