import { SeededRandom, type RandomSource } from '@cowsliplead/core/types/randomSource.js'
import type { NoisyPeriod, ServiceShape, UpstreamPlan } from '../../types/decisions.js'

/** Noisy neighbours slow an upstream down for a few milliseconds, a few times a second. */
const MEAN_QUIET_MS = 400
const MIN_NOISY_MS = 4
const MAX_NOISY_MS = 20
const MIN_NOISY_SLOWDOWN = 1.5
const MAX_NOISY_SLOWDOWN = 4

/** Slowdown of a cold upstream when it joins. */
const COLD_SLOWDOWN = 5

/** Plans healthy upstreams of equal speed, spread over the failure domains of the service. */
export function planUpstreams (shape: ServiceShape, seed: number, endAt: number): UpstreamPlan[] {
  const plans: UpstreamPlan[] = []
  for (let index = 0; index < shape.upstreams; index += 1) {
    plans.push({
      id: `u${index}`,
      failureDomain: failureDomainName(index % shape.failureDomains),
      slots: shape.slots,
      noisyPeriods: planNoisyPeriods(SeededRandom.create(seed + 7919 * (index + 1)), endAt),
      speed: 1,
      joinAt: 0,
      coldMs: 0,
      slowFrom: Infinity,
      slowFactor: 1,
      failFrom: Infinity,
      drainFrom: Infinity,
      reportMode: 'accurate',
      reportLagMs: 0
    })
  }
  return plans
}

/** Returns the name of the failure domain with this index. */
export function failureDomainName (index: number): string {
  return `fd${index}`
}

function planNoisyPeriods (random: RandomSource, endAt: number): NoisyPeriod[] {
  const periods: NoisyPeriod[] = []
  let at = 0
  for (;;) {
    at -= Math.log(1 - random.next()) * MEAN_QUIET_MS
    if (at >= endAt) return periods
    const until = at + MIN_NOISY_MS + random.next() * (MAX_NOISY_MS - MIN_NOISY_MS)
    const slowdown = MIN_NOISY_SLOWDOWN + random.next() * (MAX_NOISY_SLOWDOWN - MIN_NOISY_SLOWDOWN)
    periods.push({ from: at, until, slowdown })
    at = until
  }
}

/** Factor by which work that starts at `now` takes longer than on a healthy upstream of speed 1. */
export function slowdownAt (plan: UpstreamPlan, now: number): number {
  const faultFactor = now >= plan.slowFrom ? plan.slowFactor : 1
  return faultFactor * coldSlowdownAt(plan, now) * noiseSlowdownAt(plan.noisyPeriods, now) / plan.speed
}

function coldSlowdownAt (plan: UpstreamPlan, now: number): number {
  if (now >= plan.joinAt + plan.coldMs) return 1
  return COLD_SLOWDOWN - (COLD_SLOWDOWN - 1) * (now - plan.joinAt) / plan.coldMs
}

function noiseSlowdownAt (periods: readonly NoisyPeriod[], now: number): number {
  for (const period of periods) {
    if (now < period.from) return 1
    if (now < period.until) return period.slowdown
  }
  return 1
}
