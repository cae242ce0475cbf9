import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

/** Source of uniformly distributed numbers in [0, 1). */
export interface RandomSource {
  /** The next number, at least 0 and below 1. */
  next (): number
}

/** A reproducible source: equal seeds give equal sequences. */
export class SeededRandom implements RandomSource {
  private constructor (private readonly generator: RandomGenerator) {}

  static create (seed: number): SeededRandom {
    return new SeededRandom(xoroshiro128plus(seed))
  }

  next (): number {
    return uniformFloat64(this.generator)
  }
}
