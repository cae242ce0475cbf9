import type { PickContext, Picker, UpstreamView } from '@cowsliplead/core/types/picker.js'
import { preferOtherDomains, pickTwo } from './selection.js'

/** Picks the one of two random upstreams with fewer attempts in flight from this VM. */
export class TwoChoicesPicker implements Picker {
  private constructor () {}

  static create (): TwoChoicesPicker {
    return new TwoChoicesPicker()
  }

  pick (candidates: readonly UpstreamView[], context: PickContext): UpstreamView | undefined {
    const [first, second] = pickTwo(preferOtherDomains(candidates, context), context.random)
    if (first === undefined || second === undefined) return first
    return second.inFlight < first.inFlight ? second : first
  }
}
