import type { PickContext, Picker, UpstreamView } from '@cowsliplead/core/types/picker.js'
import { pickCheapest, preferOtherDomains } from './selection.js'

/** Picks the upstream with the fewest attempts in flight from this VM. */
export class LeastLocalPicker implements Picker {
  private constructor () {}

  static create (): LeastLocalPicker {
    return new LeastLocalPicker()
  }

  pick (candidates: readonly UpstreamView[], context: PickContext): UpstreamView | undefined {
    return pickCheapest(preferOtherDomains(candidates, context), view => view.inFlight, context.random)
  }
}
