import type { MachineLimits } from '../../types/machineLimits.js'

/** Share of the machine's memory for the bodies of callers' requests, from their first byte until their response. */
const MEMORY_SHARE = 1 / 8

const BYTES_PER_MB = 1024 * 1024

/** Counted for each chunk of a body that has not ended: what handling it costs does not depend on its length. */
const CHUNK_BYTES = 512

/** Refuses the request of a body, or closes its connection. */
export type EvictBody = () => void

/** One body's part of the budget. */
export class BodyCharge {
  /** Bytes counted. */
  total = 0
  private held = 0
  private chunks = 0

  private constructor (private readonly budget: BodyBudget, readonly evict: EvictBody) {}

  static create (budget: BodyBudget, evict: EvictBody): BodyCharge {
    return new BodyCharge(budget, evict)
  }

  /** Whether the chunks cost more than the bytes that they carry, so that what follows is not to be read any more. */
  get isMostlyChunks (): boolean {
    return this.chunks * CHUNK_BYTES > this.held
  }

  /** A chunk has arrived, after which `held` bytes are in memory. */
  onChunk (held: number): void {
    this.held = held
    this.chunks += 1
    this.budget.update(this, this.held + this.chunks * CHUNK_BYTES)
  }

  /** The body has ended; `held` bytes are kept until the response. */
  onEnd (held: number): void {
    this.held = held
    this.budget.onEnd(this, held)
  }

  /** The request is over. */
  release (): void {
    this.budget.remove(this)
  }
}

/**
 * Bounds what the bodies of all callers' requests take together. A single one is bounded by the limits of the configuration, but
 * many that stop short of their end would fill the memory, and many small chunks take all of the processor's time. If the bodies
 * take too much, the one that has not ended and takes most is given up first: ordinary requests take little and end soon.
 */
export class BodyBudget {
  /** Bodies given up since the start. */
  evicted = 0
  private total = 0
  private readonly unfinished = new Set<BodyCharge>()

  private constructor (private readonly maximum: number) {}

  /** The budget of a machine with these limits. */
  static create ({ memoryMb }: MachineLimits): BodyBudget {
    return new BodyBudget(memoryMb * BYTES_PER_MB * MEMORY_SHARE)
  }

  /** Opens the part of a body that begins; `evict` is called at most once, and not after its end. */
  open (evict: EvictBody): BodyCharge {
    const charge = BodyCharge.create(this, evict)
    this.unfinished.add(charge)
    return charge
  }

  /** See `BodyCharge.onChunk`. */
  update (charge: BodyCharge, bytes: number): void {
    // What one read of the socket has brought goes on arriving after a body was given up.
    if (!this.unfinished.has(charge)) return
    this.count(charge, bytes)
    while (this.total > this.maximum && this.evictLargest()) this.evicted += 1
  }

  /** See `BodyCharge.onEnd`. */
  onEnd (charge: BodyCharge, bytes: number): void {
    if (!this.unfinished.delete(charge)) return
    this.count(charge, bytes)
  }

  /** See `BodyCharge.release`. */
  remove (charge: BodyCharge): void {
    this.unfinished.delete(charge)
    this.count(charge, 0)
  }

  private count (charge: BodyCharge, bytes: number): void {
    this.total += bytes - charge.total
    charge.total = bytes
  }

  /** Gives up the largest body that has not ended. A body within its limits is served if it alone takes the budget. */
  private evictLargest (): boolean {
    let largest: BodyCharge | undefined
    for (const charge of this.unfinished) if (largest === undefined || charge.total > largest.total) largest = charge
    if (largest === undefined || (this.unfinished.size === 1 && largest.total > this.total / 2)) return false
    this.remove(largest)
    largest.evict()
    return true
  }
}
