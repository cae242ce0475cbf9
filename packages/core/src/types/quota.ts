import type { Milliseconds } from './clock.js'
import type { Customer } from './customer.js'

/** What a customer may use over all VMs together. */
export interface Quota {
  /** Name of the customer. */
  readonly customer: string
  /** Above 0. */
  readonly requestsPerSecond: number
  /** Requests that may exceed the rate once they were saved up. */
  readonly burstRequests: number
}

/** The quota of a customer; undefined if it has no limit. */
export function quotaOf ({ name, requestsPerSecond, burstRequests }: Customer): Quota | undefined {
  if (requestsPerSecond === undefined || requestsPerSecond <= 0) return undefined
  return { customer: name, requestsPerSecond, burstRequests: burstRequests ?? 0 }
}

/** By how much the requests of a customer may exceed its quota in each window; none if the platform does not say. */
export interface QuotaSlack {
  readonly windowMs: Milliseconds
  /** Share of the quota. */
  readonly share: number
  /** Requests in addition to the share. */
  readonly requests: number
}

/** A request of one VM for a customer's tokens, each of which admits one request. */
export interface LeaseRequest {
  readonly customer: string
  /** Id of the VM that asks. */
  readonly vmId: string
  /** Number of tokens, at least 1. */
  readonly tokens: number
}

/** Answer of a holder. */
export type LeaseAnswer =
  | {
    readonly kind: 'granted'
    /** At most as many as were asked for. */
    readonly tokens: number
    /** If fewer than were asked for: time until asking again is of use. */
    readonly nextTokenMs: Milliseconds
  }
  /** The VM is not a holder by its own view, or does not know the customer. */
  | { readonly kind: 'notHolder' }

/** Answer to a request for tokens; unreachable if the holder did not answer in time. */
export type LeaseResult = LeaseAnswer | { readonly kind: 'unreachable' }

/** Whether a request of a customer is admitted. A refusal says when the next one may be. */
export type QuotaDecision =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'refused', readonly retryAfterMs: Milliseconds }
