import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { RandomSource } from '@cowsliplead/core/types/randomSource.js'
import type { ServiceTime } from '../types/upstreamOptions.js'

/** Samples the time that one request occupies its slot, at speed 1. */
export function sampleServiceTime ({ distribution, meanMs, sigma }: ServiceTime, random: RandomSource): Milliseconds {
  if (distribution === 'constant') return meanMs
  if (distribution === 'exponential') return -meanMs * Math.log(1 - random.next())
  // Subtracting half the variance makes the mean equal to meanMs for every sigma.
  return meanMs * Math.exp(sigma * sampleNormal(random) - sigma * sigma / 2)
}

/** Samples the standard normal distribution by the Box-Muller transform. */
function sampleNormal (random: RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()))
  return radius * Math.cos(2 * Math.PI * random.next())
}
