/** A request that waits for a slot. */
interface Waiter {
  readonly grant: (granted: boolean) => void
}

/** A fixed number of slots with a bounded FIFO queue. */
export class SlotQueue {
  private occupied = 0
  private readonly waiters: Waiter[] = []

  private constructor (readonly slots: number, private readonly queueLimit: number) {}

  static create (slots: number, queueLimit: number): SlotQueue {
    return new SlotQueue(slots, queueLimit)
  }

  get inFlight (): number {
    return this.occupied
  }

  get queued (): number {
    return this.waiters.length
  }

  /** Whether all slots are occupied and the queue is full. */
  isFull (): boolean {
    return this.occupied >= this.slots && this.waiters.length >= this.queueLimit
  }

  /** Resolves with true once the request holds a slot, or with false once `cancelled` is aborted. */
  acquire (cancelled: AbortSignal): Promise<boolean> {
    if (cancelled.aborted) return Promise.resolve(false)
    if (this.occupied < this.slots) {
      this.occupied += 1
      return Promise.resolve(true)
    }
    return this.wait(cancelled)
  }

  /** Hands the slot to the request that has waited longest, or frees it. */
  release (): void {
    const waiter = this.waiters.shift()
    if (waiter === undefined) this.occupied -= 1
    else waiter.grant(true)
  }

  private wait (cancelled: AbortSignal): Promise<boolean> {
    return new Promise(resolve => {
      const abandon = () => {
        this.waiters.splice(this.waiters.indexOf(waiter), 1)
        resolve(false)
      }
      const grant = () => {
        cancelled.removeEventListener('abort', abandon)
        resolve(true)
      }
      const waiter = { grant }
      this.waiters.push(waiter)
      cancelled.addEventListener('abort', abandon, { once: true })
    })
  }
}
