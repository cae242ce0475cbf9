import type { CallResult } from '../../types/dispatch.js'
import type { DispatchCounters } from '../../types/dispatcherSnapshot.js'
import type { ResultCodeName } from '../../types/resultCode.js'

/** Mutable form of `DispatchCounters`. */
export type Counters = { -readonly [Name in keyof DispatchCounters]: DispatchCounters[Name] }

export function createCounters (): Counters {
  return {
    calls: 0,
    delivered: 0,
    cancelled: 0,
    attempts: 0,
    retries: 0,
    hedges: 0,
    stalls: 0,
    ejections: 0,
    readmissions: 0,
    probes: 0,
    notRun: {},
    outcomeUnknown: {}
  }
}

export function countResult (counters: Counters, result: CallResult): void {
  if (result.kind === 'delivered') counters.delivered += 1
  else if (result.kind === 'cancelled') counters.cancelled += 1
  else increment(counters[result.kind], result.code)
}

function increment (byCode: Partial<Record<ResultCodeName, number>>, code: ResultCodeName): void {
  byCode[code] = (byCode[code] ?? 0) + 1
}
