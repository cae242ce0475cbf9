import type { PickContext, Picker, UpstreamView } from '@cowsliplead/core/types/picker.js'
import { preferOtherDomains, pickOne } from './selection.js'

/** Picks an upstream uniformly at random. */
export class RandomPicker implements Picker {
  private constructor () {}

  static create (): RandomPicker {
    return new RandomPicker()
  }

  pick (candidates: readonly UpstreamView[], context: PickContext): UpstreamView | undefined {
    return pickOne(preferOtherDomains(candidates, context), context.random)
  }
}
