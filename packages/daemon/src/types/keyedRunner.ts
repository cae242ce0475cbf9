import type { Call } from '@cowsliplead/core/types/dispatch.js'
import type { CallRequest } from '../core/callers/callRun.js'
import type { ResponseSink } from './responseSink.js'

/** A non-idempotent call with an idempotency key. */
export interface KeyedRequest {
  readonly key: string
  readonly service: string
  readonly call: Call
  readonly request: CallRequest
}

/** Runs keyed calls at most once. */
export interface KeyedRunner {
  run (keyed: KeyedRequest, sink: ResponseSink): void
}
