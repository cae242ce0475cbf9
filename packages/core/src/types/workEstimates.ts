import type { Milliseconds } from './clock.js'
import type { Call } from './dispatch.js'
import type { RequestKind } from './requestKind.js'

/** What a queue knows of the work of calls. */
export interface WorkEstimates {
  /** Mean service time of a kind. */
  serviceMsOf (kind: RequestKind): Milliseconds
  /** Latest time at which a call can start and be in time. */
  latestStartAt? (call: Call): Milliseconds
}
