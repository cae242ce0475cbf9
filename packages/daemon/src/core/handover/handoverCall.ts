import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { CallerSink } from '../callers/callerSink.js'
import type { RequestBody } from '../callers/requestBody.js'

/** A caller's request that is to be handed over. */
export interface HandoverCall {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly sink: CallerSink
  readonly requestId: string
  readonly arrivedAt: Milliseconds
  /** Infinite if the caller does not say and the request was not routed. */
  readonly deadlineAt: Milliseconds
  readonly body: RequestBody
}
