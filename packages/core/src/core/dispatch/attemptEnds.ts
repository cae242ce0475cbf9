import type { AttemptEnd, CallResult } from '../../types/dispatch.js'
import { RESULT_CODES, type ResultCodeName } from '../../types/resultCode.js'
import type { CallState } from './callState.js'

const RESULT_CODE_BY_END: Record<AttemptEnd['kind'], ResultCodeName> = {
  answered: 'upstreamFailed',
  notRun: 'shed',
  failed: 'upstreamFailed',
  crossed: 'answerCrossed',
  truncated: 'answerTruncated',
  unsigned: 'upstreamFailed',
  crashed: 'upstreamFailed',
  cancelled: 'upstreamFailed'
}

/** Result code of a call whose last attempt ended like this without a delivered response. */
export function resultCodeOf (end: AttemptEnd): ResultCodeName {
  return RESULT_CODE_BY_END[end.kind]
}

/**
 * Whether the end counts as a failure of the upstream. An attempt that was not run counts if the connection was refused,
 * but not if the upstream shed it; only then is there a load report. A refusal that asks for a pause is handled as such.
 */
export function isUpstreamFailure (end: AttemptEnd): boolean {
  if (end.retryAfterMs !== undefined) return false
  if (end.kind === 'answered') return end.serverError === true
  if (end.kind === 'notRun') return end.report === undefined
  return end.kind !== 'cancelled'
}

/** Whether another attempt is safe: the request can be sent again, and it is idempotent or provably did not run. */
export function isRetryable (state: CallState): boolean {
  if (!state.call.replayable) return state.attemptCount === 0
  return state.call.kind.idempotent || !state.mayHaveRun
}

/**
 * Result of a call that ends without a response. Callers derive the outcome from the code alone, so a code that implies
 * a different outcome is replaced, for instance `shed` for the retry of a call that may have run.
 */
export function failureResult (state: CallState, code: ResultCodeName): CallResult {
  const kind = state.mayHaveRun ? 'outcomeUnknown' : 'notRun'
  if (RESULT_CODES[code].outcome === kind) return { kind, code }
  if (kind === 'notRun') return { kind, code: 'shed' }
  return { kind, code: code === 'deadlinePassed' || code === 'deadlineUnreachable' ? 'deadlineExceeded' : 'upstreamFailed' }
}
