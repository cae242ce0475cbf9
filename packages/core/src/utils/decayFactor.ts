import type { Milliseconds } from '../types/clock.js'

/**
 * Factor by which an estimate decays after `idleMs` without new samples, from 1 linearly down to 0 at `forgetMs`. It
 * reaches 0, so that a bad estimate cannot keep traffic away from an upstream forever.
 */
export function decayFactor (idleMs: Milliseconds, forgetMs: Milliseconds): number {
  return Math.max(0, 1 - idleMs / forgetMs)
}
