import type { Milliseconds } from './clock.js'

/** How long the attempts of a kind of request take until their responses are complete. */
export interface LatencyEstimate {
  /** The median. */
  readonly typicalMs: Milliseconds
  /** Few take longer. */
  readonly longMs: Milliseconds
}
