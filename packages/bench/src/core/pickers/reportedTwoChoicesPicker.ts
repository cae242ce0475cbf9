import type { PickContext, Picker, UpstreamView } from '@cowsliplead/core/types/picker.js'
import { preferOtherDomains, pickTwo } from './selection.js'

/** Age at which a report has decayed to about a third of its weight; load changes within milliseconds. */
const REPORT_DECAY_MS = 20

/** Picks the less loaded of two random upstreams by their last reports; reports lose weight with age. */
export class ReportedTwoChoicesPicker implements Picker {
  private constructor () {}

  static create (): ReportedTwoChoicesPicker {
    return new ReportedTwoChoicesPicker()
  }

  pick (candidates: readonly UpstreamView[], context: PickContext): UpstreamView | undefined {
    const [first, second] = pickTwo(preferOtherDomains(candidates, context), context.random)
    if (first === undefined || second === undefined) return first
    return estimateLoad(second, context.now) < estimateLoad(first, context.now) ? second : first
  }
}

/** Estimated requests per slot: the reported requests of other VMs, weighted by age, plus this VM's own in flight. */
function estimateLoad (view: UpstreamView, now: number): number {
  const slots = view.slots ?? 1
  if (view.report === undefined) return view.inFlight / slots
  const weight = Math.exp(-(now - view.report.receivedAt) / REPORT_DECAY_MS)
  const otherRequests = Math.max(0, view.report.inFlight + view.report.queued - view.inFlightAtReport)
  return (weight * otherRequests + view.inFlight) / slots
}
