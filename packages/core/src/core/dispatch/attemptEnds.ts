import type { AttemptEnd, CallResult } from '../../types/dispatch.js'
import { RESULT_CODES, type ResultCodeName } from '../../types/resultCode.js'
import type { CallState } from './callState.js'

const CODES: Record<AttemptEnd['kind'], ResultCodeName> = {
  answered: 'upstreamFailed',
  notRun: 'shed',
  failed: 'upstreamFailed',
  crossed: 'answerCrossed',
  truncated: 'answerTruncated',
  crashed: 'upstreamFailed',
  cancelled: 'upstreamFailed'
}

/** Code that a call gets if this end is its last. */
export function codeOfEnd (end: AttemptEnd): ResultCodeName {
  return CODES[end.kind]
}

/** Whether the end counts against the upstream. A shed call comes with a report; a refused connection does not. */
export function isUpstreamFailure (end: AttemptEnd): boolean {
  if (end.kind === 'answered') return end.serverError === true
  if (end.kind === 'notRun') return end.report === undefined
  return end.kind !== 'cancelled'
}

/** Whether another attempt is allowed: the call provably did not run, or running it again is harmless and it can be sent again. */
export function isRepeatable (state: CallState): boolean {
  if (!state.call.replayable) return state.started === 0
  return state.call.kind.idempotent || !state.mayHaveRun
}

/**
 * Result of a call that ends without a response. Callers read the outcome from the code alone, so the code of the
 * last attempt is replaced where it says another outcome, for instance after a shed retry of a call that may have run.
 */
export function resultWithoutAnswer (state: CallState, code: ResultCodeName): CallResult {
  const kind = state.mayHaveRun ? 'outcomeUnknown' : 'notRun'
  if (RESULT_CODES[code].outcome === kind) return { kind, code }
  if (kind === 'notRun') return { kind, code: 'shed' }
  return { kind, code: code === 'deadlinePassed' || code === 'deadlineUnreachable' ? 'deadlineExceeded' : 'upstreamFailed' }
}
