import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Customer } from '@cowsliplead/core/types/customer.js'
import type { RequestKind } from '@cowsliplead/core/types/requestKind.js'
import type { ResponseSink } from '../../types/responseSink.js'
import type { ServiceForwarder } from '../upstreams/serviceForwarder.js'
import type { ActiveCall } from './activeCall.js'
import type { CallerSink } from './callerSink.js'
import type { RequestBody } from './requestBody.js'

/** The service that a request is routed to, its kind and its customer. */
export interface RequestTarget {
  readonly forwarder: ServiceForwarder
  readonly kind: RequestKind
  /** Undefined if the request needs no key. */
  readonly customer?: Customer | undefined
  /** Whether the headers that identify a customer are removed from the request; the upstream learns its name only. */
  readonly hidesCredentials: boolean
}

/** A caller's request that has arrived, here or at the VM that handed it over. */
export interface ArrivedRequest {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly sink: CallerSink
  readonly requestId: string
  readonly arrivedAt: Milliseconds
  /** Whether another VM has handed it over. */
  readonly isHandedOver: boolean
}

/** Hands requests to other VMs while this one reaches no upstream. */
export interface CallHandover {
  /**
   * Hands a request over, with its body, before anything else is decided about it, while this VM is cut off; calls `serve` if no
   * VM takes it. Returns false, without having read the body, if this VM must serve it.
   */
  tryHandOver (arrived: ArrivedRequest, serve: (body: RequestBody) => void): boolean
  /** A sink that hands the call over instead of refusing it where that is allowed. */
  wrapSink (arrived: ArrivedRequest, body: RequestBody, deadlineAt: Milliseconds, call: () => ActiveCall): ResponseSink
}
