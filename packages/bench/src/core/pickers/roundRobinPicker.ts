import type { PickContext, Picker, UpstreamView } from '@cowsliplead/core/types/picker.js'
import { preferOtherDomains } from './selection.js'

/** Picks upstreams in turn, from a random start so that VMs do not move in lockstep. */
export class RoundRobinPicker implements Picker {
  private nextTurn: number | undefined

  private constructor () {}

  static create (): RoundRobinPicker {
    return new RoundRobinPicker()
  }

  pick (candidates: readonly UpstreamView[], context: PickContext): UpstreamView | undefined {
    const eligible = preferOtherDomains(candidates, context)
    const turn = this.nextTurn ?? Math.floor(context.random.next() * eligible.length)
    this.nextTurn = turn + 1
    return eligible[turn % eligible.length]
  }
}
