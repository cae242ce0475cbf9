import type { Call } from '../../types/dispatch.js'
import type { ResultCodeName } from '../../types/resultCode.js'
import { failureResult } from './attemptEnds.js'
import type { CallEngine } from './callEngine.js'

/** Refuses the calls that have provably not run and that `selects` names. */
export function refuseNotRun (engine: CallEngine, code: ResultCodeName, selects: (call: Call) => boolean): void {
  for (const state of engine.openCalls) {
    const hasNotRun = state.running.length === 0 && !state.mayHaveRun
    if (hasNotRun && selects(state.call)) engine.finish(state, { kind: 'notRun', code })
  }
}

/** Ends the calls whose response has not begun, because the VM stops. Returns how many of them may have run. */
export function interruptCalls (engine: CallEngine): number {
  let interrupted = 0
  for (const state of engine.openCalls) {
    if (state.respondingAttemptId !== undefined) continue
    engine.cancelRunning(state, 'interrupted')
    if (state.mayHaveRun) interrupted += 1
    engine.finish(state, failureResult(state, state.mayHaveRun ? 'interrupted' : 'stopping'))
  }
  return interrupted
}
