import type { ReceiverFailure } from '@cowsliplead/core/core/handover/receiverChoice.js'

/**
 * Errors after which another VM may take the call, and how the one that gave it is avoided. All of them state that the
 * call has not run. Other errors, such as an unknown key, would be the same at every VM.
 */
export const FAILURE_BY_RESULT: Readonly<Record<string, ReceiverFailure>> = {
  cutOff: 'cutOff',
  noUpstream: 'full',
  shed: 'full',
  full: 'full',
  queueFull: 'full',
  memoryFull: 'full',
  deadlineUnreachable: 'full',
  rateLimited: 'full',
  stopping: 'unreached',
  notReady: 'unreached',
  keysUnconfirmed: 'full'
}

/** Reasons that a receiver gives before it takes a call; they are no answers for callers. */
export const RECEIVER_ONLY_RESULTS: ReadonlySet<string> = new Set(['cutOff', 'full', 'stopping'])
