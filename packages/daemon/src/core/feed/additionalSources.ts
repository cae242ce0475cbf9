import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { RandomSource } from '@cowsliplead/core/types/randomSource.js'

/** A VM whose tables are older follows further VMs: usual ages are below this even after two relays. */
const OUTDATED_AGE_MS: Milliseconds = 2500

/** VMs that are followed in addition. */
const ADDITIONAL_SOURCES = 2

/** How long an additional source is kept, whether it helped or not. Unsuccessful ones get longer, as in an outage none helps. */
const KEEP_MS: Milliseconds = 10_000
const FIRST_TRY_MS: Milliseconds = 1000
const MAX_TRY_MS: Milliseconds = 8000

/** Chooses VMs to follow in addition while those that a VM follows by its role do not keep its tables recent. */
export class AdditionalSources {
  private current: readonly string[] = []
  /** Undefined before the first update. */
  private until: Milliseconds | undefined
  private tryMs = FIRST_TRY_MS

  private constructor (private readonly random: RandomSource) {}

  static create (random: RandomSource): AdditionalSources {
    return new AdditionalSources(random)
  }

  /** Ids of the VMs to follow in addition, from among `candidates`. */
  update (ageMs: Milliseconds, candidates: readonly string[], now: Milliseconds): readonly string[] {
    // A VM that starts has time to hear of the age from those that it follows by its role.
    this.until ??= now + OUTDATED_AGE_MS
    if (ageMs <= OUTDATED_AGE_MS) this.onRecent(now, this.until)
    else if (now >= this.until) this.choose(candidates, now)
    return this.current
  }

  private onRecent (now: Milliseconds, until: Milliseconds): void {
    if (this.tryMs > FIRST_TRY_MS) this.until = now + KEEP_MS
    else if (now >= until) this.current = []
    this.tryMs = FIRST_TRY_MS
  }

  private choose (candidates: readonly string[], now: Milliseconds): void {
    const left = [...candidates]
    const chosen: string[] = []
    while (chosen.length < ADDITIONAL_SOURCES && left.length > 0) chosen.push(...left.splice(Math.floor(this.random.next() * left.length), 1))
    this.current = chosen
    this.until = now + this.tryMs
    this.tryMs = Math.min(this.tryMs * 2, MAX_TRY_MS)
  }
}
